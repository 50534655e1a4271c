#include "process/sidecar/key_ownership.h"

#include "process/sidecar/direct_grants.h"
#include "process/sidecar/key_successors.h"
#include "process/sidecar/response_grants.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kNotifyTimeout{ 500 };
// Expected time from a grant that excludes keys to the commit of their hand-off. The upstream
// finishes running requests and announces the release within 100 ms.
constexpr common::milliseconds kReleaseTime{ 500 };
constexpr common::milliseconds kSessionRetryDelay{ 200 };
// Daemons that start together commit their sessions in order of their addresses, so that each sees
// the earlier commits and avoids conflicts. A commit and its broadcast take about this long.
constexpr common::milliseconds kSessionStartSpacing{ 25 };
constexpr size_t kMaxSessionStartPosition = 100;
// Maximum random delay before a session commit is retried after a conflict.
constexpr uint64_t kConflictJitterMs = 100;
constexpr common::milliseconds kRenewTimeout{ 400 };
// A longer change of witnesses is abandoned, and the next one may choose other daemons.
constexpr common::milliseconds kWitnessChangeTimeout{ 1500 };
constexpr common::milliseconds kRebalancePeriod{ 500 };
// Pause after a rebalancing hand-off, so that the load shows its effect before the next one. All
// owners of a service write the same row and each change is broadcast to all daemons. Above
// kOwnersAtBaseCooldown owners the pause grows with their number, which bounds the fleet-wide rate
// of hand-offs.
constexpr common::milliseconds kRebalanceCooldown{ 1500 };
constexpr size_t kOwnersAtBaseCooldown = 6;
constexpr common::milliseconds kDecayPeriod{ 1000 };
// An owner hands keys off when its utilization exceeds kHighUtilization and exceeds the target's by
// kMinUtilizationGap.
constexpr double kHighUtilization = 0.75;
constexpr double kMinUtilizationGap = 0.3;

// Identifies an incarnation by upstream id and start time, because a restarted upstream may reuse
// its id.
version::upstream_id IncarnationOf(const announcement& aAnnouncement)
{
  return version::upstream_id(aAnnouncement.id.Str() + "@" +
                              std::to_string(aAnnouncement.startedMs));
}

common::milliseconds RebalanceCooldown(size_t aOwners)
{
  return kRebalanceCooldown * int64_t(std::max(aOwners, kOwnersAtBaseCooldown)) /
         int64_t(kOwnersAtBaseCooldown);
}

std::unique_ptr<grant_channel> MakeChannel(runtime& aRuntime, const upstream_codec& aCodec,
                                           upstream_gate& aGate, key_grantor& aGrantor)
{
  common::milliseconds hold =
    std::min(HoldTimeFor(aRuntime.settings.announcePeriod), aRuntime.settings.bounds.maxHold);
  if (aRuntime.settings.grants == grant_method::kDirect) {
    return std::make_unique<direct_grants>(aRuntime, aCodec, aGate, aGrantor, hold);
  }
  return std::make_unique<response_grants>(aRuntime, aGate, aGrantor, hold);
}

bool IsIncarnationOf(const version::upstream_id& aIncarnation,
                     const version::upstream_id& aUpstream)
{
  return aIncarnation.Str().rfind(aUpstream.Str() + "@", 0) == 0;
}

} // namespace

common::milliseconds HoldTimeFor(common::milliseconds aAnnouncePeriod)
{
  return aAnnouncePeriod * 2 + common::milliseconds(250);
}

lease::lease_terms LeaseTermsFor(common::milliseconds aAnnouncePeriod)
{
  lease::lease_terms terms;
  terms.renewPeriod = common::milliseconds(400);
  // One renewal may be lost without shortening grants.
  terms.term = HoldTimeFor(aAnnouncePeriod) + terms.renewPeriod * 2;
  return terms;
}

key_ownership::key_ownership(runtime& aRuntime, const upstream_codec& aCodec,
                             key_map_editor& aEditor, peer_messenger& aMessenger,
                             upstream_gate& aGate, request::placement& aPlacement,
                             owner_watch& aOwners, common::boot_id aBoot)
  : mRuntime(aRuntime)
  , mEditor(aEditor)
  , mMessenger(aMessenger)
  , mGate(aGate)
  , mPlacement(aPlacement)
  , mOwners(aOwners)
  , mBoot(std::move(aBoot))
  , mTerms(LeaseTermsFor(aRuntime.settings.announcePeriod))
  , mLease(mTerms)
  , mChannel(MakeChannel(aRuntime, aCodec, aGate, *this))
{
  mOwners.SetRetained(&mRetained);
}

const version::key_owner* key_ownership::OwnEntry() const
{
  if (mRetained.Unentered() != nullptr) {
    return mRetained.Unentered();
  }
  version::key_map_ptr map = KeyMap();
  return map == nullptr ? nullptr : map->Owner(mRuntime.settings.vm);
}

version::key_owner key_ownership::GrantableEntry(common::store_era aEra) const
{
  const version::key_owner* own = OwnEntry();
  if (own == nullptr) {
    return {};
  }
  version::key_owner grantable = *own;
  grantable.ranges = mRetained.Grantable(*own, aEra);
  return grantable;
}

bool key_ownership::HasSession() const
{
  const version::key_owner* own = OwnEntry();
  return own != nullptr && own->session == mSession && own->upstream == mIncarnation;
}

bool key_ownership::Empty() const
{
  const version::key_owner* own = OwnEntry();
  return own == nullptr || own->ranges.empty();
}

std::vector<version::held_range> key_ownership::GrantableRanges() const
{
  return HasSession() ? mHandoffs.Remaining(GrantableEntry()) : std::vector<version::held_range>();
}

void key_ownership::OnAnnouncement(const announcement& aAnnouncement)
{
  version::upstream_id incarnation = IncarnationOf(aAnnouncement);
  mUpstreamSilent = false;
  if (incarnation != mIncarnation) {
    // The first incarnation that this daemon process sees may still hold grants of an earlier
    // process.
    mChannel->OnStarted(mIncarnation.Empty());
    mIncarnation = incarnation;
    mRetained.Clear();
    mSessionStartAt = {};
    mSessionTurnAt = {};
    mLeaving = false;
  }
  if (!ServiceIsKeyed()) {
    return;
  }
  if (aAnnouncement.leaving) {
    HandOffAllKeys();
  }
  mChannel->OnAnnouncement(aAnnouncement);
  if (!HasSession()) {
    Tick();
  }
}

std::optional<grant> key_ownership::Grant(common::boot_time aHeardAt)
{
  return ServiceIsKeyed() ? mChannel->Respond(aHeardAt) : std::nullopt;
}

void key_ownership::OnOthersExcluded()
{
  mHandoffs.OnExcludedFromGrant();
  UpdatePausedKeys();
}

void key_ownership::OnReport(const key_report& aReport)
{
  mHandoffs.OnReport(aReport);
  CommitHandoffs();
}

void key_ownership::Tick()
{
  if (!ServiceIsKeyed() || mIncarnation.Empty()) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  if (now >= mLoadDecayAt) {
    mLoadDecayAt = now + kDecayPeriod;
    mGate.KeyLoad().Decay();
  }
  if (!HasSession()) {
    bool canStart = MayStartSession() && mGate.Ready() && mEditor.Healthy() &&
                    !(mGate.Cold() && OthersCanServe());
    if (canStart && mSessionTurnAt == common::boot_time()) {
      mSessionTurnAt = now + kSessionStartSpacing * int64_t(SessionStartPosition());
    }
    if (canStart && now >= std::max(mSessionStartAt, mSessionTurnAt)) {
      mSessionStartAt = now + kSessionRetryDelay;
      StartSession();
    }
    return;
  }
  if (mNextSessionSubmitted) {
    if (now >= mSessionStartAt && !mEditor.Busy() && mEditor.Healthy()) {
      mSessionStartAt = now + kSessionRetryDelay;
      StartSession();
    }
  } else if (now >= mRenewAt) {
    mRenewAt = now + mTerms.renewPeriod;
    Renew();
  }
  if (mRetained.Unentered() != nullptr) {
    ClaimRetained();
    mChannel->Update();
    return;
  }
  ReplaceLostWitnesses();
  TakeUnretained();
  ReportRetained();
  AssignUnownedKeys();
  if (now >= mRebalanceAt) {
    mRebalanceAt = now + kRebalancePeriod;
    Rebalance();
  }
  if (MustOwnNoKeys()) {
    HandOffNow();
  }
  mChannel->Update();
  CommitHandoffs();
}

// Whether this daemon owns no keys and other owners can serve all of them. A cold upstream would
// have to reject most requests for the keys that it takes over.
bool key_ownership::OthersCanServe() const
{
  if (!Empty() || KeyMap() == nullptr) {
    return false;
  }
  std::vector<version::successor> others = Successors();
  return std::any_of(others.begin(), others.end(), [this](const version::successor& aOther) {
    return !mRuntime.fleet.Members().Find(aOther.vm)->cold;
  });
}

// Number of daemons of this service that have no session yet and start theirs before this one, at
// most kMaxSessionStartPosition.
size_t key_ownership::SessionStartPosition() const
{
  version::key_map_ptr map = KeyMap();
  size_t before = 0;
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    const version::key_owner* owner = map == nullptr ? nullptr : map->Owner(vm);
    bool hasSession = owner != nullptr && IsIncarnationOf(owner->upstream, member.upstream);
    before += vm < mRuntime.settings.vm && member.Serves(mGate.Service()) && !hasSession ? 1 : 0;
  }
  return std::min(before, kMaxSessionStartPosition);
}

void key_ownership::StartSession()
{
  if (mRetained.Unentered() != nullptr) {
    return;
  }
  common::session_id session(common::MakeUniqueId());
  lease::witness_set witnesses = ChooseWitnesses({});
  bool isRepeated = mNextSessionSubmitted;
  bool submitted = mEditor.Edit(
    mGate.Service(),
    [this, session, witnesses](version::key_map& aMap) {
      version::key_owner* own = aMap.Owner(mRuntime.settings.vm);
      if (own == nullptr) {
        own = &aMap.owners.emplace_back();
        own->vm = mRuntime.settings.vm;
      }
      // A new incarnation has none of the state of the former one, so its ranges get a new fencing
      // token. Adjacent ranges are merged now. A later merge would make the upstream hold the parts
      // and the merged range at once.
      bool isNew = own->upstream != mIncarnation;
      version::RenewTokens(&aMap, own, [&](const version::held_range& aRange) {
        bool mayChange = aMap.settled || version::IsIssuedSince(aMap.version.Era(), aRange.token);
        return isNew ? mayChange : !mRetained.MayGrant(aRange, aMap.version.Era()) && aMap.settled;
      });
      own->session = session;
      own->upstream = mIncarnation;
      own->witnesses = witnesses;
      own->suspicion = {};
      return true;
    },
    [this, session, witnesses, isRepeated, era = mRuntime.fleet.Era()](edit_outcome aOutcome) {
      if (era != mRuntime.fleet.Era()) {
        // Nothing reads what it changed, and the return has ended it.
        return;
      }
      // A submission with an unknown outcome is repeated. A refusal does not tell the outcome of an
      // earlier one, nor does a conflict unless it has shown a later map.
      bool isEarlierOpen = isRepeated && mNextSessionSubmitted;
      mNextSessionSubmitted = aOutcome == edit_outcome::kUnknown ||
                              aOutcome == edit_outcome::kRefused ||
                              (aOutcome == edit_outcome::kConflict && isEarlierOpen);
      if (aOutcome == edit_outcome::kConflict) {
        mSessionStartAt =
          mRuntime.Now() + common::milliseconds(int64_t(mRuntime.random.Below(kConflictJitterMs)));
      }
      if (aOutcome != edit_outcome::kCommitted) {
        return;
      }
      mSession = session;
      mOwners.SetSession(mGate.Service(), session);
      mSessionStartedAt = mRuntime.Now();
      mLease = lease::lease_holder(mTerms);
      mLease.SetWitnesses(witnesses);
      mHandoffs.Clear();
      UpdatePausedKeys();
      mRuntime.log.Write(line_class::kState, "joined", [&] {
        return common::json{ { "session", session.Str() }, { "upstream", mIncarnation.Str() } };
      });
      mRenewAt = {};
      Tick();
    });
  if (!submitted) {
    mSessionStartAt = {};
    return;
  }
  mNextSessionSubmitted = true;
  mNextSessionBase = KeyMap() == nullptr ? common::row_version() : KeyMap()->version;
}

lease::witness_set key_ownership::ChooseWitnesses(const lease::witness_set& aKeep)
{
  const sidecar_settings& settings = mRuntime.settings;
  lease::witness_candidate self;
  self.ref = { settings.PublicControl(), mBoot };
  self.zone = settings.zone;
  std::vector<lease::witness_candidate> others;
  common::boot_time now = mRuntime.Now();
  for (const version::member* peer : mRuntime.fleet.RunningPeers(settings.vm)) {
    if (!mPlacement.IsAvoided(peer->vm, now) && !mOwners.IsSilent(peer->control)) {
      lease::witness_candidate& other = others.emplace_back();
      other.ref = { peer->control, peer->boot };
      other.zone = peer->zone;
    }
  }
  return lease::ChooseWitnesses(self, others, aKeep, mRuntime.random);
}

void key_ownership::Renew()
{
  common::boot_time now = mRuntime.Now();
  for (const version::witness_ref& witness : mLease.RenewalTargets()) {
    mMessenger.Send(
      witness.control, kRenewPath,
      { { "session", mSession.Str() }, { "witness", witness.boot.Str() } }, now + kRenewTimeout,
      [this, witness, session = mSession, now](const common::result<common::json>& aResponse) {
        OnRenewed(witness, session, now, aResponse);
      });
  }
}

void key_ownership::OnRenewed(const version::witness_ref& aWitness,
                              const common::session_id& aSession, common::boot_time aSentAt,
                              const common::result<common::json>& aResponse)
{
  if (!aResponse.has_value()) {
    mOwners.OnNoResponse(aWitness.control);
    return;
  }
  if (aSession != mSession) {
    return;
  }
  std::string outcome = common::GetString(aResponse.assume_value(), "outcome");
  if (outcome == "renewed") {
    mLease.OnRenewed(aWitness, aSentAt);
    return;
  }
  mRuntime.log.Write(line_class::kState, "renewal_refused", [&] {
    return common::json{ { "witness", aWitness.control.Str() }, { "outcome", outcome } };
  });
  mLease.OnRevoked(aWitness);
}

void key_ownership::ReplaceLostWitnesses()
{
  common::boot_time now = mRuntime.Now();
  if (mLease.ChangePending()) {
    CommitWitnessChange();
    return;
  }
  lease::witness_set lost = mLease.LostWitnesses(now);
  bool settled = now >= mSessionStartedAt + mTerms.term / 2;
  if (lost.empty() || !settled || mEditor.Busy() || !mEditor.Healthy() || now < mSessionStartAt) {
    return;
  }
  mSessionStartAt = now + mTerms.renewPeriod * 2;
  if (lost.size() * 2 > mLease.Witnesses().size()) {
    // Without a majority of witnesses the lease cannot be renewed; starts a new session with new
    // witnesses.
    StartSession();
    return;
  }
  lease::witness_set keep;
  for (const version::witness_ref& witness : mLease.Witnesses()) {
    if (std::find(lost.begin(), lost.end(), witness) == lost.end()) {
      keep.push_back(witness);
    }
  }
  mNextWitnesses = ChooseWitnesses(keep);
  mWitnessChangeSubmitted = false;
  mWitnessChangeDeadline = now + kWitnessChangeTimeout;
  mLease.BeginChange(mNextWitnesses);
  Renew();
}

void key_ownership::CommitWitnessChange()
{
  if (mWitnessChangeSubmitted || mEditor.Busy()) {
    return;
  }
  if (mRuntime.Now() >= mWitnessChangeDeadline) {
    mLease.EndChange(false);
    return;
  }
  if (!mLease.MayCommitChange(mChannel->GrantEnd())) {
    return;
  }
  mWitnessChangeBase = KeyMap()->version;
  mWitnessChangeSubmitted = mEditor.Edit(
    mGate.Service(),
    [this](version::key_map& aMap) {
      version::key_owner* own = aMap.Owner(mRuntime.settings.vm);
      if (own == nullptr || own->session != mSession) {
        return false;
      }
      own->witnesses = mNextWitnesses;
      return true;
    },
    [this](edit_outcome aOutcome) {
      if (!mLease.ChangePending()) {
        return;
      }
      if (aOutcome == edit_outcome::kUnknown) {
        // The lease must hold under both witness sets until a new session determines which one is
        // stored.
        StartSession();
        return;
      }
      mLease.EndChange(aOutcome == edit_outcome::kCommitted);
      mRenewAt = {};
    });
}

std::vector<version::successor> key_ownership::Successors() const
{
  return UsableSuccessors(mRuntime, mPlacement, *KeyMap(), mRuntime.settings.vm);
}

// Assigns unowned keys to the owners; at the first start of a service these are all keys. Only the
// usable owner with the lowest address does so, which avoids conflicts.
void key_ownership::AssignUnownedKeys()
{
  version::key_map_ptr map = KeyMap();
  bool settled = map->settled && mRuntime.Now() >= mOwnersChangedAt + kOwnersStableTime;
  if (!settled || mEditor.Busy() || !mEditor.Healthy() || MustOwnNoKeys() ||
      map->Unowned().empty()) {
    return;
  }
  std::vector<version::successor> successors = Successors();
  bool first =
    std::all_of(successors.begin(), successors.end(), [this](const version::successor& aSuccessor) {
      return mRuntime.settings.vm < aSuccessor.vm;
    });
  if (!first) {
    return;
  }
  successors.insert(successors.begin(), { mRuntime.settings.vm, std::max(mGate.Slots(), 1U) });
  mEditor.Edit(
    mGate.Service(),
    [successors](version::key_map& aMap) {
      std::vector<version::key_range> unowned = aMap.Unowned();
      if (unowned.empty() || !aMap.settled) {
        return false;
      }
      aMap.lastFence = aMap.lastFence.Next();
      for (const auto& part : version::AssignKeys(unowned, successors, nullptr)) {
        if (version::key_owner* owner = aMap.Owner(part.vm); owner != nullptr) {
          version::AddRange(owner, { part.range, aMap.lastFence, "" });
        }
      }
      return true;
    },
    [](edit_outcome) {});
}

void key_ownership::Rebalance()
{
  common::boot_time now = mRuntime.Now();
  if (!mHandoffs.Empty() || MustOwnNoKeys() || Empty() || !mEditor.Healthy()) {
    return;
  }
  double ownUse = mGate.Utilization();
  const version::successor* target = nullptr;
  double lowestUse = 1e9;
  bool mostUsed = true;
  std::vector<version::successor> successors = Successors();
  version::key_map_ptr map = KeyMap();
  bool targetEmpty = false;
  for (const version::successor& candidate : successors) {
    bool empty = map->Owner(candidate.vm)->ranges.empty();
    double use = empty ? 0 : mPlacement.Utilization(candidate.vm, now).value_or(ownUse);
    mostUsed = mostUsed && (use < ownUse || (use == ownUse && mRuntime.settings.vm < candidate.vm));
    // An owner without keys is preferred over any other.
    double order = empty ? -1 : use;
    if (order < lowestUse) {
      lowestUse = order;
      target = &candidate;
      targetEmpty = empty;
    }
  }
  if (target == nullptr) {
    return;
  }
  lowestUse = std::max(lowestUse, 0.0);
  bool unevenLoad = ownUse > kHighUtilization && ownUse - lowestUse > kMinUtilizationGap;
  if (!unevenLoad && !(targetEmpty && mostUsed)) {
    return;
  }
  float total = 0;
  version::key_owner own = GrantableEntry();
  for (const version::held_range& held : own.ranges) {
    total += mGate.KeyLoad().Sum(held.range);
  }
  double share = ownUse > 0 ? (ownUse - lowestUse) / (2 * ownUse) : 0.5;
  auto loadToMove = float(total * share);
  std::vector<version::key_assignment> plan;
  for (const version::key_range& range :
       version::ChooseRangesToMove(version::RangesOf(own), mGate.KeyLoad(), loadToMove)) {
    plan.push_back({ range, target->vm });
  }
  if (!plan.empty()) {
    mRebalanceAt = now + RebalanceCooldown(map->owners.size());
    StartHandoff(plan, targetEmpty ? "new_owner" : "uneven_load");
  }
}

bool key_ownership::MustOwnNoKeys() const
{
  return mLeaving || mUpstreamSilent || mRuntime.fleet.IsEvacuated(mRuntime.settings.zone);
}

// Keys that it still owns can only be handed off by a session.
bool key_ownership::MayStartSession() const
{
  bool evacuated = mRuntime.fleet.IsEvacuated(mRuntime.settings.zone);
  return !mLeaving && !mUpstreamSilent && (!evacuated || !Empty());
}

size_t key_ownership::KeyCount() const
{
  const version::key_owner* own = OwnEntry();
  size_t count = 0;
  for (const version::held_range& held :
       own == nullptr ? std::vector<version::held_range>() : own->ranges) {
    count += held.range.last - held.range.first + 1;
  }
  return count;
}

void key_ownership::HandOffAllKeys()
{
  mLeaving = true;
  HandOffNow();
}

void key_ownership::OnUpstreamSilent()
{
  mUpstreamSilent = true;
  HandOffNow();
}

void key_ownership::HandOffNow()
{
  version::key_owner own = GrantableEntry();
  bool mayChange = HasSession() && mRetained.Unentered() == nullptr;
  if (!mayChange || !mHandoffs.Empty() || own.ranges.empty()) {
    return;
  }
  std::vector<version::successor> successors =
    LeastUsedSuccessors(mRuntime, mPlacement, *KeyMap(), mRuntime.settings.vm);
  if (successors.empty()) {
    return;
  }
  StartHandoff(version::AssignKeys(version::RangesOf(own), successors, &mGate.KeyLoad()),
               mLeaving          ? "leaving"
               : mUpstreamSilent ? "upstream_silent"
                                 : "evacuation");
}

void key_ownership::StartHandoff(const std::vector<version::key_assignment>& aPlan,
                                 const char* aCause)
{
  mHandoffs.Add(aPlan);
  mRuntime.counters.Add("bamboograde_key_moves_total");
  mRuntime.log.Write(line_class::kState, "keys_departing", [&] {
    common::json parts = common::json::array();
    for (const version::key_assignment& part : aPlan) {
      parts.push_back({ part.range.first, part.range.last, part.vm });
    }
    return common::json{ { "cause", aCause },
                         { "parts", std::move(parts) },
                         { "map", common::EncodeVersion(KeyMap()->version) } };
  });
  NotifyTargets();
  mChannel->Update();
}

// Notifies the targets so that they defer their upstream's acknowledgement until the keys arrive.
void key_ownership::NotifyTargets()
{
  for (const std::string& vm : mHandoffs.Targets()) {
    const version::member* target = mRuntime.fleet.Members().Find(vm);
    if (target != nullptr) {
      mMessenger.Send(target->control, kHandoffNoticePath, common::json::object(),
                      mRuntime.Now() + kNotifyTimeout, [](const common::result<common::json>&) {});
    }
  }
}

common::json key_ownership::OnHandoffNotice()
{
  mIncomingHandoffUntil = mRuntime.Now() + mRuntime.settings.announcePeriod + kReleaseTime;
  return common::json::object();
}

void key_ownership::UpdatePausedKeys()
{
  mGate.PauseKeys(mHandoffs.PausedKeys());
}

void key_ownership::CommitHandoffs()
{
  bool ready = mRetained.Unentered() == nullptr &&
               mHandoffs.ReadyToCommit(mRuntime.Now() >= mChannel->GrantEnd());
  if (!ready || mEditor.Busy() || !mEditor.Healthy()) {
    return;
  }
  bool isFirst = !mHandoffsSubmitted;
  common::row_version base = KeyMap()->version;
  bool submitted = mEditor.Edit(
    mGate.Service(),
    [this](version::key_map& aMap) {
      const std::string& vm = mRuntime.settings.vm;
      const version::key_owner* own = aMap.Owner(vm);
      if (own == nullptr || own->session != mSession) {
        return false;
      }
      mHandoffs.ApplyTo(&aMap, vm);
      return true;
    },
    [this, isFirst, base](edit_outcome aOutcome) {
      mFirstHandoffsOpen = false;
      if (base.Era() != mRuntime.fleet.Era()) {
        OnHandoffsDecided(isFirst && (aOutcome == edit_outcome::kNotInItsEra ||
                                      aOutcome == edit_outcome::kConflict ||
                                      aOutcome == edit_outcome::kRefused));
        return;
      }
      // With an unknown outcome the keys stay paused, and the commit is retried.
      if (aOutcome == edit_outcome::kCommitted) {
        mHandoffs.Clear();
        UpdatePausedKeys();
      }
      bool undone = aOutcome == edit_outcome::kRefused && isFirst && base == mHandoffsBase;
      mHandoffsSubmitted = mHandoffsSubmitted && aOutcome != edit_outcome::kCommitted && !undone;
    });
  if (submitted) {
    mHandoffsSubmitted = true;
    mHandoffsBase = base;
    mFirstHandoffsOpen = isFirst;
  }
}

void key_ownership::OnHandoffsDecided(bool aNotPerformed)
{
  // Whoever takes keys over does not wait for a lease that has ended.
  if (!aNotPerformed || !mRetained.HasUndecided() || !HasSession() ||
      LeaseEnd() <= mRuntime.Now()) {
    mRetained.DropUndecided();
    return;
  }
  mOwners.SetRetainedIn({});
  mRetained.OnNotHandedOff();
  version::key_map_ptr map = KeyMap();
  if (map != nullptr && map->version.Era() == mRuntime.fleet.Era()) {
    mRetained.OnMap(*map);
  }
  LogRetained();
}

void key_ownership::OnPlatformReturned(common::store_era aFormer)
{
  std::optional<version::key_owner> holder;
  std::vector<version::held_range> undecided;
  if (HasSession() && LeaseEnd() > mRuntime.Now()) {
    holder = GrantableEntry(aFormer);
    holder->witnesses = mLease.Witnesses();
    if (mHandoffsSubmitted) {
      version::key_owner departing = *holder;
      holder->ranges = mHandoffs.Remaining(*holder);
      for (const version::held_range& kept : holder->ranges) {
        version::RemoveRange(&departing, kept.range);
      }
      if (mFirstHandoffsOpen) {
        undecided = std::move(departing.ranges);
      }
    }
  } else {
    // A map may name the session with other witnesses than those that renew its lease.
    mSession = {};
    mOwners.SetSession(mGate.Service(), {});
  }
  if (mLease.ChangePending()) {
    mLease.EndChange(false);
  }
  mHandoffs.Clear();
  mHandoffsSubmitted = false;
  UpdatePausedKeys();
  mNextSessionSubmitted = false;
  mRetained.OnReturn(std::move(holder), std::move(undecided));
  LogRetained();
}

void key_ownership::LogRetained()
{
  mRuntime.log.Write(line_class::kState, "keys_retained", [this] {
    return common::json{ { "session", mSession.Str() },
                         { "keys", mRetained.Unentered() == nullptr ? 0 : KeyCount() } };
  });
}

void key_ownership::ClaimRetained()
{
  common::boot_time now = mRuntime.Now();
  if (now < mClaimAt || mEditor.Busy() || !mEditor.Healthy()) {
    return;
  }
  mClaimAt = now + common::milliseconds(int64_t(1 + mRuntime.random.Below(kConflictJitterMs)));
  mEditor.Edit(
    mGate.Service(),
    [this](version::key_map& aMap) {
      const version::key_owner* retained = mRetained.Unentered();
      return retained != nullptr && version::EnterHolder(&aMap, *retained);
    },
    [this](edit_outcome aOutcome) {
      if (aOutcome == edit_outcome::kCommitted) {
        mRuntime.counters.Add("bamboograde_keys_claimed_total");
        mRuntime.log.Write(line_class::kState, "keys_claimed", [this] {
          return common::json{ { "keys", KeyCount() },
                               { "map", common::EncodeVersion(KeyMap()->version) } };
        });
      }
    });
}

void key_ownership::TakeUnretained()
{
  version::key_map_ptr map = KeyMap();
  auto isUnretained = [this, era = map->version.Era()](const version::held_range& aRange) {
    return !mRetained.MayGrant(aRange, era);
  };
  const version::key_owner* own = OwnEntry();
  bool due = map->settled && std::any_of(own->ranges.begin(), own->ranges.end(), isUnretained);
  if (!due || mEditor.Busy() || !mEditor.Healthy()) {
    return;
  }
  mEditor.Edit(
    mGate.Service(),
    [this, isUnretained](version::key_map& aMap) {
      version::key_owner* entry = aMap.Owner(mRuntime.settings.vm);
      return aMap.settled && entry != nullptr && entry->session == mSession &&
             version::RenewTokens(&aMap, entry, isUnretained);
    },
    [](edit_outcome) {});
}

// Tells the other owners that the map is right about this one.
void key_ownership::ReportRetained()
{
  version::key_map_ptr map = KeyMap();
  bool allRetained = !map->settled && map->version.Era() == mRuntime.fleet.Era() &&
                     GrantableEntry().ranges == OwnEntry()->ranges;
  mOwners.SetRetainedIn(allRetained ? map->version : common::row_version());
}

void key_ownership::ResolveSubmissions(const version::key_map& aMap)
{
  if (aMap.version > mNextSessionBase) {
    mNextSessionSubmitted = false;
  }
  if (aMap.version > mHandoffsBase) {
    mHandoffsSubmitted = false;
  }
  if (mLease.ChangePending() && mWitnessChangeSubmitted && aMap.version > mWitnessChangeBase) {
    const version::key_owner* own = aMap.Owner(mRuntime.settings.vm);
    mLease.EndChange(own != nullptr && own->witnesses == mNextWitnesses);
    mRenewAt = {};
  }
}

void key_ownership::OnKeyMapChanged()
{
  version::key_map_ptr map = KeyMap();
  if (map == nullptr) {
    return;
  }
  std::vector<std::string> owners;
  for (const version::key_owner& owner : map->owners) {
    owners.push_back(owner.vm);
  }
  if (owners != mKnownOwners) {
    mKnownOwners = owners;
    mOwnersChangedAt = mRuntime.Now();
  }
  const version::key_owner* own = OwnEntry();
  std::vector<version::held_range> owned =
    own == nullptr ? std::vector<version::held_range>() : own->ranges;
  bool changed = owned != mOwnedRanges;
  mOwnedRanges = std::move(owned);
  if (changed && ExpectsKeys() && mOnKeysReceived) {
    mIncomingHandoffUntil = {};
    mOnKeysReceived();
  }
  if (map->version.Era() == mRuntime.fleet.Era()) {
    mRetained.OnMap(*map);
  }
  ResolveSubmissions(*map);
  mHandoffs.DropMovedRanges(*map, mRuntime.settings.vm);
  UpdatePausedKeys();
  if (ServiceIsKeyed() && !mIncarnation.Empty()) {
    mChannel->Update();
  }
}

} // namespace bamboograde::process::sidecar
