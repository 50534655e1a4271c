#include "process/sidecar/key_holder.h"

#include "process/sidecar/key_heirs.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// The upstream's clock may run slower than this daemon's by this share.
constexpr double kClockSlack = 0.02;
// A grant shorter than this is not worth sending.
constexpr common::milliseconds kLeastHold{ 100 };
// The acknowledgement reaches the upstream before requests for newly granted keys do.
constexpr common::milliseconds kAcknowledgeTime{ 3 };
constexpr common::milliseconds kTellTimeout{ 500 };
// From the answer that leaves keys out to the commit of their handover: the upstream finishes what
// it runs, and announces within 100 ms that it has let go.
constexpr common::milliseconds kReleaseTime{ 500 };
// How long the owners of a service must be the same before its keys are divided for the first time.
constexpr common::milliseconds kSettleTime{ 1200 };
constexpr common::milliseconds kRetryJoin{ 200 };
// Daemons that start together claim their keys one after the other, in order of their addresses, so
// that each sees the claims before its own: a commit and its spreading take about this long.
constexpr common::milliseconds kJoinSpacing{ 25 };
constexpr size_t kMostJoinTurns = 100;
// A claim that met another one is tried again within this time.
constexpr uint64_t kConflictJitterMs = 100;
constexpr common::milliseconds kRenewTimeout{ 400 };
// A change of witnesses that takes longer is given up; the next one may choose better.
constexpr common::milliseconds kChangeTime{ 1500 };
constexpr common::milliseconds kBalancePeriod{ 500 };
// Pause after a move, so that its effect shows before the next. All owners of a service change one
// row, and everybody is told of each change: beyond this many owners the pause grows with their
// number, so that the moves a second in the whole fleet do not.
constexpr common::milliseconds kMovePause{ 1500 };
constexpr size_t kOwnersWithoutLongerPause = 6;
constexpr common::milliseconds kDecayPeriod{ 1000 };
// An owner hands load over when it is used this much, and this much more than another.
constexpr double kHighUse = 0.75;
constexpr double kLeastDifference = 0.3;

// The upstream with its time of start, which tells two starts under one id apart.
version::upstream_id StartOf(const announcement& aAnnouncement)
{
  return version::upstream_id(aAnnouncement.id.Str() + "@" +
                              std::to_string(aAnnouncement.startedMs));
}

common::milliseconds MovePause(size_t aOwners)
{
  return kMovePause * int64_t(std::max(aOwners, kOwnersWithoutLongerPause)) /
         int64_t(kOwnersWithoutLongerPause);
}

bool IsStartOf(const version::upstream_id& aStart, const version::upstream_id& aUpstream)
{
  return aStart.Str().rfind(aUpstream.Str() + "@", 0) == 0;
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
  // A renewal may be missed without the grants getting shorter.
  terms.term = HoldTimeFor(aAnnouncePeriod) + terms.renewPeriod * 2;
  return terms;
}

key_holder::key_holder(runtime& aRuntime, key_map_editor& aEditor, peer_messenger& aMessenger,
                       upstream_gate& aGate, request::placement& aPlacement, common::boot_id aBoot)
  : mRuntime(aRuntime)
  , mEditor(aEditor)
  , mMessenger(aMessenger)
  , mGate(aGate)
  , mPlacement(aPlacement)
  , mBoot(std::move(aBoot))
  , mTerms(LeaseTermsFor(aRuntime.settings.announcePeriod))
  , mHoldTime(
      std::min(HoldTimeFor(aRuntime.settings.announcePeriod), aRuntime.settings.bounds.maxHold))
  , mLease(mTerms)
  , mKeysTimer(aRuntime.loop, [this] { mGate.SetKeys(mAcknowledged, mGrantEnd); })
{
}

const version::key_owner* key_holder::Own() const
{
  version::key_map_ptr map = Map();
  return map == nullptr ? nullptr : map->Owner(mRuntime.settings.vm);
}

bool key_holder::Joined() const
{
  const version::key_owner* own = Own();
  return own != nullptr && own->session == mSession && own->upstream == mIncarnation;
}

bool key_holder::Empty() const
{
  const version::key_owner* own = Own();
  return own == nullptr || own->ranges.empty();
}

std::vector<version::held_range> key_holder::Granted() const
{
  return Joined() ? mDepartures.Remaining(*Own()) : std::vector<version::held_range>();
}

void key_holder::OnAnnouncement(const announcement& aAnnouncement)
{
  version::upstream_id incarnation = StartOf(aAnnouncement);
  if (incarnation != mIncarnation) {
    // A new start holds nothing. The first one that this process hears of may hold what an earlier
    // process has granted.
    mGrantEnd = mIncarnation.Empty() ? mRuntime.Now() + mHoldTime * 2 : common::boot_time();
    mIncarnation = incarnation;
    mJoinAt = {};
    mJoinTurnAt = {};
    mLeaving = false;
  }
  if (!Keyed()) {
    return;
  }
  if (aAnnouncement.leaving) {
    BeginLeaving();
  }
  mDepartures.OnAnnouncement(aAnnouncement);
  CommitDepartures();
  if (!Joined()) {
    Tick();
  }
}

std::optional<grant> key_holder::Grant(common::boot_time aHeardAt)
{
  if (!Keyed() || !Joined()) {
    return std::nullopt;
  }
  common::boot_time now = mRuntime.Now();
  auto left = std::chrono::duration_cast<common::microseconds>(mLease.LeaseEnd() - now);
  auto safe = common::microseconds(int64_t(double(left.count()) * (1 - 2 * kClockSlack)));
  common::milliseconds hold = std::min(mHoldTime, std::chrono::floor<common::milliseconds>(safe));
  if (hold < kLeastHold) {
    mRuntime.log.Write(line_class::kState, "grant_withheld", [&] {
      return common::json{ { "lease_left_us", left.count() }, { "session", mSession.Str() } };
    });
    return std::nullopt;
  }
  grant given{ Granted(), hold };
  // From now on the upstream lets go of what departs.
  mDepartures.OnLeftOut();
  PublishHeldBack();
  common::boot_time end =
    aHeardAt +
    common::microseconds(int64_t(double(common::microseconds(hold).count()) * (1 + kClockSlack)));
  mGrantEnd = std::max(mGrantEnd, end);
  // Not what is owned when the timer fires: the map may change before.
  mAcknowledged = given.ranges;
  mKeysTimer.Arm(now + kAcknowledgeTime);
  return given;
}

void key_holder::Tick()
{
  if (!Keyed() || mIncarnation.Empty()) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  if (now >= mDecayAt) {
    mDecayAt = now + kDecayPeriod;
    mGate.KeyLoad().Decay();
  }
  if (!Joined()) {
    bool able = !mLeaving && mGate.Ready() && mEditor.Healthy();
    if (able && mJoinTurnAt == common::boot_time()) {
      mJoinTurnAt = now + kJoinSpacing * int64_t(JoinTurn());
    }
    if (able && now >= std::max(mJoinAt, mJoinTurnAt)) {
      mJoinAt = now + kRetryJoin;
      Join();
    }
    return;
  }
  if (now >= mRenewAt) {
    mRenewAt = now + mTerms.renewPeriod;
    Renew();
  }
  ReplaceLostWitnesses();
  Divide();
  if (now >= mBalanceAt) {
    mBalanceAt = now + kBalancePeriod;
    Balance();
  }
  if (mLeaving && mDepartures.Empty() && !Empty()) {
    BeginLeaving();
  }
  CommitDepartures();
}

// How many daemons of the service that have not claimed keys either go before this one.
size_t key_holder::JoinTurn() const
{
  version::key_map_ptr map = Map();
  size_t before = 0;
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    const version::key_owner* owner = map == nullptr ? nullptr : map->Owner(vm);
    bool joined = owner != nullptr && IsStartOf(owner->upstream, member.upstream);
    before += vm < mRuntime.settings.vm && member.Serves(mGate.Service()) && !joined ? 1 : 0;
  }
  return std::min(before, kMostJoinTurns);
}

void key_holder::Join()
{
  common::session_id session(common::MakeUniqueId());
  lease::witness_set witnesses = ChooseWitnesses({});
  bool begun = mEditor.Edit(
    mGate.Service(),
    [this, session, witnesses](version::key_map& aMap) {
      version::key_owner* own = aMap.Owner(mRuntime.settings.vm);
      if (own == nullptr) {
        own = &aMap.owners.emplace_back();
        own->vm = mRuntime.settings.vm;
      }
      // Another start of the upstream knows nothing of what the former one held.
      if (own->upstream != mIncarnation && !own->ranges.empty()) {
        aMap.lastFence = aMap.lastFence.Next();
        for (version::held_range& range : own->ranges) {
          range.token = aMap.lastFence;
          range.handover.clear();
        }
        // Later the upstream would hold the parts and the whole side by side.
        version::JoinNeighbours(own);
      }
      own->session = session;
      own->upstream = mIncarnation;
      own->witnesses = witnesses;
      return true;
    },
    [this, session, witnesses](edit_outcome aOutcome) {
      if (aOutcome == edit_outcome::kConflict) {
        mJoinAt =
          mRuntime.Now() + common::milliseconds(int64_t(mRuntime.random.Below(kConflictJitterMs)));
      }
      if (aOutcome != edit_outcome::kCommitted) {
        return;
      }
      mSession = session;
      mJoinedAt = mRuntime.Now();
      mLease = lease::lease_holder(mTerms);
      mLease.SetWitnesses(witnesses);
      mDepartures.Clear();
      PublishHeldBack();
      mRuntime.log.Write(line_class::kState, "joined", [&] {
        return common::json{ { "session", session.Str() }, { "upstream", mIncarnation.Str() } };
      });
      mRenewAt = {};
      Tick();
    });
  if (!begun) {
    mJoinAt = {};
  }
}

lease::witness_set key_holder::ChooseWitnesses(const lease::witness_set& aKeep)
{
  const sidecar_settings& settings = mRuntime.settings;
  lease::witness_candidate self;
  self.ref = { settings.listen.control, mBoot };
  self.zone = settings.zone;
  std::vector<lease::witness_candidate> others;
  common::boot_time now = mRuntime.Now();
  for (const version::member* peer : mRuntime.fleet.RunningPeers(settings.vm)) {
    if (!mPlacement.IsAvoided(peer->vm, now)) {
      lease::witness_candidate& other = others.emplace_back();
      other.ref = { peer->control, peer->boot };
      other.zone = peer->zone;
    }
  }
  return lease::ChooseWitnesses(self, others, aKeep, mRuntime.random);
}

void key_holder::Renew()
{
  common::boot_time now = mRuntime.Now();
  for (const version::witness_ref& witness : mLease.Targets()) {
    mMessenger.Send(
      witness.control, kRenewPath,
      { { "session", mSession.Str() }, { "witness", witness.boot.Str() } }, now + kRenewTimeout,
      [this, witness, session = mSession, now](const common::result<common::json>& aAnswer) {
        OnRenewed(witness, session, now, aAnswer);
      });
  }
}

void key_holder::OnRenewed(const version::witness_ref& aWitness, const common::session_id& aSession,
                           common::boot_time aSentAt, const common::result<common::json>& aAnswer)
{
  if (aSession != mSession || !aAnswer.has_value()) {
    return;
  }
  std::string outcome = common::GetString(aAnswer.assume_value(), "outcome");
  if (outcome == "renewed") {
    mLease.OnRenewed(aWitness, aSentAt);
    return;
  }
  mRuntime.log.Write(line_class::kState, "renewal_refused", [&] {
    return common::json{ { "witness", aWitness.control.Str() }, { "outcome", outcome } };
  });
  mLease.OnRevoked(aWitness);
}

void key_holder::ReplaceLostWitnesses()
{
  common::boot_time now = mRuntime.Now();
  if (mLease.Changing()) {
    CommitWitnesses();
    return;
  }
  lease::witness_set lost = mLease.Lost(now);
  bool settled = now >= mJoinedAt + mTerms.term / 2;
  if (lost.empty() || !settled || mEditor.Busy() || !mEditor.Healthy() || now < mJoinAt) {
    return;
  }
  mJoinAt = now + mTerms.renewPeriod * 2;
  if (lost.size() * 2 > mLease.Witnesses().size()) {
    // The majority is gone: a new claim with new witnesses.
    Join();
    return;
  }
  lease::witness_set keep;
  for (const version::witness_ref& witness : mLease.Witnesses()) {
    if (std::find(lost.begin(), lost.end(), witness) == lost.end()) {
      keep.push_back(witness);
    }
  }
  mNextWitnesses = ChooseWitnesses(keep);
  mChangeSubmitted = false;
  mChangeUntil = now + kChangeTime;
  mLease.BeginChange(mNextWitnesses);
  Renew();
}

void key_holder::CommitWitnesses()
{
  if (mChangeSubmitted || mEditor.Busy()) {
    return;
  }
  if (mRuntime.Now() >= mChangeUntil) {
    mLease.EndChange(false);
    return;
  }
  if (!mLease.MayCommitChange(mGrantEnd)) {
    return;
  }
  mChangeSubmitted = mEditor.Edit(
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
      if (aOutcome == edit_outcome::kUnknown) {
        // Holds under both sets until a new claim settles which one counts.
        Join();
        return;
      }
      mLease.EndChange(aOutcome == edit_outcome::kCommitted);
      mRenewAt = {};
    });
}

std::vector<version::heir> key_holder::Heirs() const
{
  return UsableHeirs(mRuntime, mPlacement, *Map(), mRuntime.settings.vm);
}

// Gives keys that nobody owns to the owners; at first that is all of them.
void key_holder::Divide()
{
  version::key_map_ptr map = Map();
  bool settled = mRuntime.Now() >= mOwnersChangedAt + kSettleTime;
  if (!settled || mEditor.Busy() || !mEditor.Healthy() || mLeaving || map->Unowned().empty()) {
    return;
  }
  std::vector<version::heir> heirs = Heirs();
  bool first = std::all_of(heirs.begin(), heirs.end(), [this](const version::heir& aHeir) {
    return mRuntime.settings.vm < aHeir.vm;
  });
  if (!first) {
    return;
  }
  heirs.insert(heirs.begin(), { mRuntime.settings.vm, std::max(mGate.Slots(), 1U) });
  mEditor.Edit(
    mGate.Service(),
    [heirs](version::key_map& aMap) {
      std::vector<version::key_range> unowned = aMap.Unowned();
      if (unowned.empty()) {
        return false;
      }
      aMap.lastFence = aMap.lastFence.Next();
      for (const auto& part : version::SpreadKeys(unowned, heirs, nullptr)) {
        if (version::key_owner* owner = aMap.Owner(part.vm); owner != nullptr) {
          version::GiveRange(owner, { part.range, aMap.lastFence, "" });
        }
      }
      return true;
    },
    [](edit_outcome) {});
}

void key_holder::Balance()
{
  common::boot_time now = mRuntime.Now();
  if (!mDepartures.Empty() || mLeaving || Empty() || !mEditor.Healthy()) {
    return;
  }
  double ownUse = mGate.Utilization();
  const version::heir* target = nullptr;
  double least = 1e9;
  bool mostUsed = true;
  std::vector<version::heir> heirs = Heirs();
  version::key_map_ptr map = Map();
  bool targetEmpty = false;
  for (const version::heir& candidate : heirs) {
    bool empty = map->Owner(candidate.vm)->ranges.empty();
    double use = empty ? 0 : mPlacement.Use(candidate.vm, now).value_or(ownUse);
    mostUsed = mostUsed && (use < ownUse || (use == ownUse && mRuntime.settings.vm < candidate.vm));
    // An owner without keys goes first.
    double order = empty ? -1 : use;
    if (order < least) {
      least = order;
      target = &candidate;
      targetEmpty = empty;
    }
  }
  if (target == nullptr) {
    return;
  }
  least = std::max(least, 0.0);
  bool uneven = ownUse > kHighUse && ownUse - least > kLeastDifference;
  if (!uneven && !(targetEmpty && mostUsed)) {
    return;
  }
  float total = 0;
  for (const version::held_range& held : Own()->ranges) {
    total += mGate.KeyLoad().Sum(held.range);
  }
  double share = ownUse > 0 ? (ownUse - least) / (2 * ownUse) : 0.5;
  auto wanted = float(total * share);
  std::vector<version::key_assignment> plan;
  for (const version::key_range& range :
       version::ChooseRanges(version::RangesOf(*Own()), mGate.KeyLoad(), wanted)) {
    plan.push_back({ range, target->vm });
  }
  if (!plan.empty()) {
    mBalanceAt = now + MovePause(map->owners.size());
    Depart(plan, targetEmpty ? "new_owner" : "uneven_load");
  }
}

void key_holder::BeginLeaving()
{
  mLeaving = true;
  if (!Joined() || !mDepartures.Empty() || Empty()) {
    return;
  }
  std::vector<version::heir> heirs = FewHeirs(mRuntime, mPlacement, *Map(), mRuntime.settings.vm);
  if (heirs.empty()) {
    return;
  }
  Depart(version::SpreadKeys(version::RangesOf(*Own()), heirs, &mGate.KeyLoad()), "leaving");
}

void key_holder::Depart(const std::vector<version::key_assignment>& aPlan, const char* aCause)
{
  mDepartures.Add(aPlan);
  mRuntime.counters.Add("bamboograde_key_moves_total");
  mRuntime.log.Write(line_class::kState, "keys_departing", [&] {
    common::json parts = common::json::array();
    for (const version::key_assignment& part : aPlan) {
      parts.push_back({ part.range.first, part.range.last, part.vm });
    }
    return common::json{ { "cause", aCause },
                         { "parts", std::move(parts) },
                         { "map", Map()->version.Value() } };
  });
  TellTargets();
}

// Tells the targets that keys are on their way.
void key_holder::TellTargets()
{
  for (const std::string& vm : mDepartures.Targets()) {
    const version::member* target = mRuntime.fleet.Members().Find(vm);
    if (target != nullptr) {
      mMessenger.Send(target->control, kArrivingPath, common::json::object(),
                      mRuntime.Now() + kTellTimeout, [](const common::result<common::json>&) {});
    }
  }
}

common::json key_holder::OnArriving()
{
  mArrivalUntil = mRuntime.Now() + mRuntime.settings.announcePeriod + kReleaseTime;
  return common::json::object();
}

void key_holder::PublishHeldBack()
{
  mGate.HoldBack(mDepartures.HeldBack());
}

void key_holder::CommitDepartures()
{
  bool ready = mDepartures.Ready(mRuntime.Now() >= mGrantEnd);
  if (!ready || mEditor.Busy() || !mEditor.Healthy()) {
    return;
  }
  mEditor.Edit(
    mGate.Service(),
    [this](version::key_map& aMap) {
      const std::string& vm = mRuntime.settings.vm;
      const version::key_owner* own = aMap.Owner(vm);
      if (own == nullptr || own->session != mSession) {
        return false;
      }
      mDepartures.Commit(&aMap, vm);
      return true;
    },
    [this](edit_outcome aOutcome) {
      // Without a known outcome the keys stay held back, and the commit is tried again.
      if (aOutcome == edit_outcome::kCommitted) {
        mDepartures.Clear();
        PublishHeldBack();
      }
    });
}

void key_holder::OnKeyMapChanged()
{
  version::key_map_ptr map = Map();
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
  const version::key_owner* own = Own();
  std::vector<version::held_range> owned =
    own == nullptr ? std::vector<version::held_range>() : own->ranges;
  bool changed = owned != mOwnedRanges;
  mOwnedRanges = std::move(owned);
  if (changed && ExpectsKeys() && mOnArrival) {
    mArrivalUntil = {};
    mOnArrival();
  }
  mDepartures.DropDeparted(*map, mRuntime.settings.vm);
  PublishHeldBack();
}

} // namespace bamboograde::process::sidecar
