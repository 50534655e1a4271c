#include "process/sidecar/key_takeover.h"

#include "process/sidecar/key_ownership.h"
#include "process/sidecar/key_successors.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kRevokeTimeout{ 300 };
constexpr common::milliseconds kReadTimeout{ 700 };
// Delay between attempts, with jitter, so that witnesses of the same owner do not conflict
// repeatedly.
constexpr common::milliseconds kRetryPause{ 500 };
constexpr uint64_t kRetryJitterMs = 300;

} // namespace

key_takeover::key_takeover(runtime& aRuntime, connection::platform_store& aStore,
                           key_map_editor& aEditor, peer_messenger& aMessenger,
                           request::placement& aPlacement, common::boot_id aBoot)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mEditor(aEditor)
  , mMessenger(aMessenger)
  , mPlacement(aPlacement)
  , mTerms(LeaseTermsFor(aRuntime.settings.announcePeriod))
  , mWitness(mTerms, std::move(aBoot), aRuntime.Now())
{
}

common::json key_takeover::OnRenew(const common::json& aBody)
{
  lease::renewal_answer answer =
    mWitness.OnRenew(common::session_id(common::GetString(aBody, "session")),
                     common::boot_id(common::GetString(aBody, "witness")), common::table_version(),
                     common::table_version(), mRuntime.Now());
  return { { "outcome", lease::NameOf(answer) } };
}

common::json key_takeover::OnRevoke(const common::json& aBody)
{
  lease::revocation_answer answer =
    mWitness.OnRevoke(common::session_id(common::GetString(aBody, "session")),
                      common::boot_id(common::GetString(aBody, "witness")), mRuntime.Now());
  return { { "promised", answer == lease::revocation_answer::kPromised } };
}

void key_takeover::Tick()
{
  if (mEditor.Busy() || !mEditor.Healthy()) {
    return;
  }
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    if (!IsSettled(*map)) {
      continue;
    }
    for (const version::key_owner& owner : map->owners) {
      if (owner.vm != mRuntime.settings.vm) {
        TryTakeover(*map, owner);
      }
    }
  }
}

bool key_takeover::IsSettled(const version::key_map& aMap) const
{
  return aMap.settled && aMap.version.Era() == mRuntime.fleet.Era();
}

void key_takeover::TryTakeover(const version::key_map& aMap, const version::key_owner& aOwner)
{
  common::boot_time now = mRuntime.Now();
  auto found = mSessions.try_emplace(aOwner.session, observed_session{ now, now }).first;
  observed_session& session = found->second;
  // A newly observed session gets one lease term for its first renewal.
  if (now < session.firstSeen + mTerms.WitnessTerm() || now < session.nextTry) {
    return;
  }
  bool expiredHere = std::any_of(aOwner.witnesses.begin(), aOwner.witnesses.end(),
                                 [&](const version::witness_ref& aWitness) {
                                   return aWitness.control == mRuntime.settings.PublicControl() &&
                                          mWitness.MayPromise(aOwner.session, aWitness.boot, now);
                                 });
  if (!expiredHere ||
      (!aOwner.ranges.empty() && UsableSuccessors(mRuntime, mPlacement, aMap, aOwner.vm).empty())) {
    return;
  }
  session.nextTry =
    now + kRetryPause + common::milliseconds(int64_t(mRuntime.random.Below(kRetryJitterMs)));
  takeover_attempt_ptr started(new takeover_attempt());
  started->service = aMap.service;
  started->owner = aOwner;
  // Reads the row first: promises are final, so none may be requested while the platform is
  // unreachable and the takeover cannot be committed.
  mStore.Read(KeyRowName(aMap.service, aMap.version.Era()), now + kReadTimeout,
              [this, started](const common::result<connection::platform_row>& aRow) {
                auto map = aRow.has_value() ? DecodeKeyRow(aRow.assume_value()) : nullptr;
                if (map == nullptr) {
                  return;
                }
                mRuntime.fleet.ApplyKeyMap(map);
                if (!IsSettled(*map)) {
                  return;
                }
                const version::key_owner* owner = map->Owner(started->owner.vm);
                if (owner != nullptr && owner->session == started->owner.session) {
                  started->owner = *owner;
                  RequestPromises(started);
                }
              });
}

void key_takeover::RequestPromises(const takeover_attempt_ptr& aTakeover)
{
  common::boot_time now = mRuntime.Now();
  for (const version::witness_ref& witness : aTakeover->owner.witnesses) {
    if (witness.control == mRuntime.settings.PublicControl()) {
      auto answer = mWitness.OnRevoke(aTakeover->owner.session, witness.boot, now);
      if (answer == lease::revocation_answer::kPromised) {
        OnPromise(aTakeover, witness);
      }
      continue;
    }
    mMessenger.Send(
      witness.control, kRevokePath,
      { { "session", aTakeover->owner.session.Str() }, { "witness", witness.boot.Str() } },
      now + kRevokeTimeout,
      [this, aTakeover, witness](const common::result<common::json>& aResponse) {
        if (aResponse.has_value() && common::GetBool(aResponse.assume_value(), "promised")) {
          OnPromise(aTakeover, witness);
        }
      });
  }
}

void key_takeover::OnPromise(const takeover_attempt_ptr& aTakeover,
                             const version::witness_ref& aWitness)
{
  aTakeover->promised.insert(aWitness);
  bool majority = aTakeover->promised.size() * 2 > aTakeover->owner.witnesses.size();
  if (majority && !aTakeover->committed) {
    aTakeover->committed = true;
    Commit(aTakeover);
  }
}

void key_takeover::Commit(const takeover_attempt_ptr& aTakeover)
{
  mEditor.Edit(
    aTakeover->service,
    [this, aTakeover](version::key_map& aMap) {
      const version::key_owner* lostOwner = aMap.Owner(aTakeover->owner.vm);
      // The promises are valid only for this session and this witness set.
      if (!aMap.settled || lostOwner == nullptr || lostOwner->session != aTakeover->owner.session ||
          lostOwner->witnesses != aTakeover->owner.witnesses) {
        return false;
      }
      return version::ReplaceOwner(
        &aMap, aTakeover->owner.vm,
        LeastUsedSuccessors(mRuntime, mPlacement, aMap, aTakeover->owner.vm));
    },
    [this, aTakeover](edit_outcome aOutcome) {
      mRuntime.log.Write(line_class::kState, "takeover", [&] {
        return common::json{ { "lost", aTakeover->owner.vm },
                             { "session", aTakeover->owner.session.Str() },
                             { "promises", aTakeover->promised.size() },
                             { "committed", aOutcome == edit_outcome::kCommitted } };
      });
      if (aOutcome == edit_outcome::kCommitted) {
        mRuntime.counters.Add("bamboograde_takeovers_total");
      }
    });
}

} // namespace bamboograde::process::sidecar
