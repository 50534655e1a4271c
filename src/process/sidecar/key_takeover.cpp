#include "process/sidecar/key_takeover.h"

#include "process/sidecar/key_heirs.h"
#include "process/sidecar/key_holder.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kRevokeTimeout{ 300 };
constexpr common::milliseconds kReadTimeout{ 700 };
// Pause between tries, so that several witnesses do not get in each other's way for long.
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
    for (const version::key_owner& owner : map->owners) {
      if (owner.vm != mRuntime.settings.vm) {
        Consider(*map, owner);
      }
    }
  }
}

void key_takeover::Consider(const version::key_map& aMap, const version::key_owner& aOwner)
{
  common::boot_time now = mRuntime.Now();
  auto known = mSessions.try_emplace(aOwner.session, watched_session{ now, now }).first;
  watched_session& session = known->second;
  // A claim that has just been made gets the time of a lease to be renewed for the first time.
  if (now < session.firstSeen + mTerms.WitnessTerm() || now < session.nextTry) {
    return;
  }
  bool lapsedHere = std::any_of(aOwner.witnesses.begin(), aOwner.witnesses.end(),
                                [&](const version::witness_ref& aWitness) {
                                  return aWitness.control == mRuntime.settings.listen.control &&
                                         mWitness.MayPromise(aOwner.session, aWitness.boot, now);
                                });
  if (!lapsedHere ||
      (!aOwner.ranges.empty() && UsableHeirs(mRuntime, mPlacement, aMap, aOwner.vm).empty())) {
    return;
  }
  session.nextTry =
    now + kRetryPause + common::milliseconds(int64_t(mRuntime.random.Below(kRetryJitterMs)));
  attempt_ptr started(new attempt());
  started->service = aMap.service;
  started->owner = aOwner;
  // No promise is asked for while the platform could not take the change.
  mStore.Read(kKeyRowPrefix + aMap.service.Str(), now + kReadTimeout,
              [this, started](const common::result<connection::platform_row>& aRow) {
                auto map = aRow.has_value() ? version::DecodeKeyMap(aRow.assume_value().value,
                                                                    aRow.assume_value().version)
                                            : nullptr;
                if (map == nullptr) {
                  return;
                }
                mRuntime.fleet.ApplyKeyMap(map);
                const version::key_owner* owner = map->Owner(started->owner.vm);
                if (owner != nullptr && owner->session == started->owner.session) {
                  started->owner = *owner;
                  Collect(started);
                }
              });
}

void key_takeover::Collect(const attempt_ptr& aAttempt)
{
  common::boot_time now = mRuntime.Now();
  for (const version::witness_ref& witness : aAttempt->owner.witnesses) {
    if (witness.control == mRuntime.settings.listen.control) {
      auto answer = mWitness.OnRevoke(aAttempt->owner.session, witness.boot, now);
      if (answer == lease::revocation_answer::kPromised) {
        OnPromise(aAttempt, witness);
      }
      continue;
    }
    mMessenger.Send(
      witness.control, kRevokePath,
      { { "session", aAttempt->owner.session.Str() }, { "witness", witness.boot.Str() } },
      now + kRevokeTimeout, [this, aAttempt, witness](const common::result<common::json>& aAnswer) {
        if (aAnswer.has_value() && common::GetBool(aAnswer.assume_value(), "promised")) {
          OnPromise(aAttempt, witness);
        }
      });
  }
}

void key_takeover::OnPromise(const attempt_ptr& aAttempt, const version::witness_ref& aWitness)
{
  aAttempt->promised.insert(aWitness);
  bool majority = aAttempt->promised.size() * 2 > aAttempt->owner.witnesses.size();
  if (majority && !aAttempt->committed) {
    aAttempt->committed = true;
    Commit(aAttempt);
  }
}

void key_takeover::Commit(const attempt_ptr& aAttempt)
{
  mEditor.Edit(
    aAttempt->service,
    [this, aAttempt](version::key_map& aMap) {
      version::key_owner* lost = aMap.Owner(aAttempt->owner.vm);
      // The promises are for this claim and for these witnesses only.
      if (lost == nullptr || lost->session != aAttempt->owner.session ||
          lost->witnesses != aAttempt->owner.witnesses) {
        return false;
      }
      std::vector<version::key_range> ranges = version::RangesOf(*lost);
      std::vector<version::heir> heirs = FewHeirs(mRuntime, mPlacement, aMap, lost->vm);
      if (!ranges.empty() && heirs.empty()) {
        return false;
      }
      aMap.RemoveOwner(aAttempt->owner.vm);
      aMap.lastFence = aMap.lastFence.Next();
      if (ranges.empty()) {
        return true;
      }
      for (const auto& part : version::SpreadKeys(ranges, heirs, nullptr)) {
        version::GiveRange(aMap.Owner(part.vm), { part.range, aMap.lastFence, "" });
      }
      return true;
    },
    [this, aAttempt](edit_outcome aOutcome) {
      mRuntime.log.Write(line_class::kState, "takeover", [&] {
        return common::json{ { "lost", aAttempt->owner.vm },
                             { "session", aAttempt->owner.session.Str() },
                             { "promises", aAttempt->promised.size() },
                             { "committed", aOutcome == edit_outcome::kCommitted } };
      });
      if (aOutcome == edit_outcome::kCommitted) {
        mRuntime.counters.Add("bamboograde_takeovers_total");
      }
    });
}

} // namespace bamboograde::process::sidecar
