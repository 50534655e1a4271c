#include "process/sidecar/owner_watch.h"

#include "process/sidecar/key_successors.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kTickPeriod{ 100 };
// Period of messages to one random other owner.
constexpr common::milliseconds kProbePeriod{ 1000 };
// Period of messages to each silent or suspected owner.
constexpr common::milliseconds kSilentProbePeriod{ 500 };
// A silent owner is suspected after this time. The takeover by its witnesses is faster, if they
// run.
constexpr common::milliseconds kSuspectAfter{ 2000 };
constexpr unsigned kSuspectAfterMessages = 3;
// Age of the lease's confirmation above which the platform is read. Most daemons learn of another
// one's read by gossip before that, since the random part differs.
constexpr common::milliseconds kReadAge{ 1200 };
constexpr uint64_t kReadAgeJitterMs = 2000;
constexpr common::milliseconds kReadRetryDelay{ 700 };
// Age above which all daemons of the service are asked, because the platform does not respond.
constexpr common::milliseconds kAskPeersAge{ 3500 };
constexpr common::milliseconds kAskPeersPeriod{ 800 };
// A daemon that is no owner and has been silent or stopping for this long is taken as gone.
constexpr common::milliseconds kGoneAfter{ 30000 };
// Time after the withdrawal of a suspicion for which this daemon does not suspect the owner again.
// A daemon that is cut off from running owners would repeat it at once.
constexpr common::milliseconds kSuspectAgainDelay{ 4000 };
// Random delay between the changes that several daemons want to make at the same time.
constexpr uint64_t kEditJitterMs = 400;
// Period of messages to the owners that have not reported what they retain.
constexpr common::milliseconds kAskRetainersPeriod{ 250 };
// An unsettled map is settled by the owners in turn; a commit and its broadcast take about this
// long.
constexpr common::milliseconds kSettleSpacing{ 100 };
constexpr size_t kMaxSettlePosition = 20;

} // namespace

owner_watch::owner_watch(runtime& aRuntime, gossip& aGossip, key_map_editor& aEditor,
                         request::placement& aPlacement)
  : mRuntime(aRuntime)
  , mGossip(aGossip)
  , mEditor(aEditor)
  , mPlacement(aPlacement)
  , mStartedAt(aRuntime.Now())
  , mLease(lease::suspicion_terms())
  , mSuspicions(lease::suspicion_terms())
  , mSettlement(lease::suspicion_terms())
{
  mGossip.SetCompareObserver(this);
}

void owner_watch::SetSession(const common::service_name& aService,
                             const common::session_id& aSession)
{
  if (aService != mService) {
    mLease = lease::suspicion_lease(lease::suspicion_terms());
  }
  mService = aService;
  mSession = aSession;
  mTickAt = {};
}

common::json owner_watch::Report() const
{
  common::boot_time now = mRuntime.Now();
  common::json maps = common::json::object();
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    lease::map_confirmation confirmation = mRuntime.fleet.KeyMapConfirmation(service);
    common::json& report = maps[service.Str()] = common::json::object();
    // An earlier process of this daemon may have known a newer map and acted on it. This process
    // knows one at least as new only if its map was confirmed since it started.
    if (confirmation.at > mStartedAt && confirmation.version <= map->version) {
      report["row"] = common::EncodeVersion(map->version);
    }
    if (confirmation.at != common::boot_time()) {
      report["confirmed_row"] = common::EncodeVersion(confirmation.version);
      report["age_us"] = (now - confirmation.at).count();
    }
  }
  common::json value = { { "vm", mRuntime.settings.vm },
                         { "session", mSession.Str() },
                         { "maps", std::move(maps) } };
  if (mRetainedIn != common::row_version()) {
    value["retained_in"] = common::EncodeVersion(mRetainedIn);
  }
  return value;
}

void owner_watch::OnReport(const common::endpoint& aControl, const common::json& aReport,
                           common::boot_time aSentAt)
{
  mSilent.erase(aControl);
  std::string vm = common::GetString(aReport, "vm");
  response& last = mResponses[vm];
  if (aSentAt >= last.sentAt) {
    last = { common::session_id(common::GetString(aReport, "session")), aSentAt };
  }
  version::key_map_ptr known = KeyMap();
  const version::key_owner* owner = known == nullptr ? nullptr : known->Owner(vm);
  if (owner != nullptr && owner->session != last.session) {
    mWithoutSession.try_emplace(vm, mRuntime.Now());
  } else {
    mWithoutSession.erase(vm);
  }
  common::row_version retainedIn = common::GetVersion(aReport, "retained_in");
  if (owner != nullptr && retainedIn != common::row_version()) {
    mSettlement.OnRetained(vm, retainedIn);
  }
  const common::json& maps = common::GetObject(aReport, "maps");
  for (const auto& [service, report] : maps.items()) {
    common::row_version row = common::GetVersion(report, "row");
    if (common::service_name(service) == mService && row != common::row_version()) {
      mLease.OnPeerResponse(vm, row, aSentAt);
    }
    common::row_version confirmed = common::GetVersion(report, "confirmed_row");
    if (confirmed != common::row_version()) {
      common::microseconds age = lease::suspicion_terms().RelayedAge(
        common::microseconds(int64_t(common::GetNumber(report, "age_us"))));
      mRuntime.fleet.ConfirmKeyMap(common::service_name(service), { confirmed, aSentAt - age });
    }
  }
}

void owner_watch::OnNoResponse(const common::endpoint& aControl)
{
  silence& silent = mSilent.try_emplace(aControl, silence{ mRuntime.Now(), 0 }).first->second;
  ++silent.unansweredMessages;
}

common::endpoint owner_watch::ControlOf(const std::string& aVm) const
{
  const version::member* member = mRuntime.fleet.Members().Find(aVm);
  return member == nullptr ? common::endpoint() : member->control;
}

bool owner_watch::HasResponded(const version::key_owner& aOwner, common::boot_time aSince) const
{
  auto found = mResponses.find(aOwner.vm);
  return found != mResponses.end() && found->second.session == aOwner.session &&
         found->second.sentAt >= aSince;
}

// Whether the owner has been silent for long, or has been running without the session that holds
// the keys, as a restarted daemon does until its upstream announces itself.
bool owner_watch::IsLost(const version::key_owner& aOwner) const
{
  common::boot_time now = mRuntime.Now();
  auto silent = mSilent.find(ControlOf(aOwner.vm));
  bool isSilent = silent != mSilent.end() &&
                  silent->second.unansweredMessages >= kSuspectAfterMessages &&
                  now >= silent->second.since + kSuspectAfter;
  auto without = mWithoutSession.find(aOwner.vm);
  return isSilent || (without != mWithoutSession.end() && now >= without->second + kSuspectAfter);
}

void owner_watch::Tick()
{
  common::boot_time now = mRuntime.Now();
  if (now < mTickAt) {
    return;
  }
  mTickAt = now + kTickPeriod;
  version::key_map_ptr map = KeyMap();
  const version::key_owner* own = map == nullptr ? nullptr : map->Owner(mRuntime.settings.vm);
  if (own == nullptr || mSession.Empty() || own->session != mSession || IsUnenteredIn(*map)) {
    return;
  }
  ObserveSuspicions(*map);
  ConfirmLease(*map);
  ProbeOwners(*map);
  mSettlement.OnMap(*map, now);
  if (now >= mEditAt && !mEditor.Busy() && mEditor.Healthy()) {
    WithdrawSuspicions(*map);
    SuspectSilentOwners(*map);
    TakeOver(*map);
    Settle(*map);
  }
}

bool owner_watch::IsUnenteredIn(const version::key_map& aMap) const
{
  return mRetained != nullptr && (mRetained->Unentered() != nullptr || mRetained->HasUndecided()) &&
         aMap.version.Era() == mRuntime.fleet.Era();
}

void owner_watch::ObserveSuspicions(const version::key_map& aMap)
{
  if (aMap.version == mObservedMap) {
    return;
  }
  mObservedMap = aMap.version;
  common::boot_time now = mRuntime.Now();
  std::vector<version::suspicion_id> suspicions;
  for (const version::key_owner& owner : aMap.owners) {
    if (!owner.suspicion.Empty()) {
      suspicions.push_back(owner.suspicion);
      mSuspected.insert(owner.vm);
    } else if (mSuspected.erase(owner.vm) > 0) {
      mSuspectAgainAt[owner.vm] = now + kSuspectAgainDelay;
    }
  }
  mSuspicions.OnMap(suspicions, now);
}

// VMs of the daemons that own keys or may become owners, except this one.
std::vector<std::string> owner_watch::PossibleOwners(const version::key_map& aMap)
{
  common::boot_time now = mRuntime.Now();
  std::vector<std::string> vms;
  for (const version::key_owner& owner : aMap.owners) {
    if (owner.vm != mRuntime.settings.vm) {
      vms.push_back(owner.vm);
    }
  }
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    if (!member.stopping) {
      mStoppingSince.erase(vm);
    }
    bool isOther = vm != mRuntime.settings.vm && aMap.Owner(vm) == nullptr;
    if (!isOther || member.service != mService) {
      continue;
    }
    auto silent = mSilent.find(member.control);
    bool gone =
      (silent != mSilent.end() && now >= silent->second.since + kGoneAfter) ||
      (member.stopping && now >= mStoppingSince.try_emplace(vm, now).first->second + kGoneAfter);
    if (!gone) {
      vms.push_back(vm);
    }
  }
  return vms;
}

void owner_watch::ConfirmLease(const version::key_map& aMap)
{
  common::boot_time now = mRuntime.Now();
  const version::key_owner* own = aMap.Owner(mRuntime.settings.vm);
  std::vector<std::string> peers = PossibleOwners(aMap);
  if (own->suspicion.Empty()) {
    mLease.OnUnsuspected(aMap.version, mRuntime.fleet.KeyMapConfirmation(mService), peers, now);
  }
  common::boot_time readFrom = mLease.ConfirmedAt() + kReadAge;
  if (mReadAt < readFrom) {
    mReadAt = readFrom + common::milliseconds(int64_t(mRuntime.random.Below(kReadAgeJitterMs)));
  }
  if (now >= mReadAt) {
    mReadAt = now + kReadRetryDelay;
    mEditor.Refresh(mService);
  }
  if (now >= mLease.ConfirmedAt() + kAskPeersAge && now >= mAskPeersAt) {
    mAskPeersAt = now + kAskPeersPeriod;
    for (const std::string& vm : peers) {
      if (common::endpoint control = ControlOf(vm); !control.Empty()) {
        mGossip.Compare(control);
      }
    }
  }
}

void owner_watch::ProbeOwners(const version::key_map& aMap)
{
  common::boot_time now = mRuntime.Now();
  std::vector<common::endpoint> others;
  std::vector<common::endpoint> doubtful;
  for (const version::key_owner& owner : aMap.owners) {
    common::endpoint control = ControlOf(owner.vm);
    if (owner.vm == mRuntime.settings.vm || control.Empty()) {
      continue;
    }
    others.push_back(control);
    if (!owner.suspicion.Empty() || IsSilent(control) || mWithoutSession.count(owner.vm) > 0) {
      doubtful.push_back(control);
    }
  }
  if (now >= mProbeAt && !others.empty()) {
    mProbeAt = now + kProbePeriod;
    mGossip.Compare(others[size_t(mRuntime.random.Below(others.size()))]);
  }
  if (now >= mSilentProbeAt) {
    mSilentProbeAt = now + kSilentProbePeriod;
    for (const common::endpoint& control : doubtful) {
      mGossip.Compare(control);
    }
  }
}

void owner_watch::WithdrawSuspicions(const version::key_map& aMap)
{
  std::vector<version::key_owner> running;
  for (const version::key_owner& owner : aMap.owners) {
    bool isSelf = owner.vm == mRuntime.settings.vm;
    if (!owner.suspicion.Empty() &&
        (isSelf || HasResponded(owner, mSuspicions.KnownSince(owner.suspicion)))) {
      running.push_back(owner);
    }
  }
  Edit("suspicion_withdrawn", running, [](version::key_map&, version::key_owner& aOwner) {
    aOwner.suspicion = {};
    return true;
  });
}

void owner_watch::SuspectSilentOwners(const version::key_map& aMap)
{
  common::boot_time now = mRuntime.Now();
  std::vector<version::key_owner> lost;
  for (const version::key_owner& owner : aMap.owners) {
    if (owner.vm != mRuntime.settings.vm && owner.suspicion.Empty() && IsLost(owner) &&
        now >= mSuspectAgainAt[owner.vm]) {
      lost.push_back(owner);
    }
  }
  Edit("owner_suspected", lost, [](version::key_map&, version::key_owner& aOwner) {
    aOwner.suspicion = version::suspicion_id(common::MakeUniqueId());
    return true;
  });
}

size_t owner_watch::Position(const version::key_map& aMap) const
{
  return size_t(
    std::count_if(aMap.owners.begin(), aMap.owners.end(), [this](const version::key_owner& aOwner) {
      return aOwner.vm < mRuntime.settings.vm && !IsSilent(ControlOf(aOwner.vm));
    }));
}

void owner_watch::Settle(const version::key_map& aMap)
{
  common::boot_time now = mRuntime.Now();
  if (aMap.settled || aMap.version.Era() != mRuntime.fleet.Era()) {
    mSettleAt.reset();
    return;
  }
  size_t position = Position(aMap);
  if (mRetainedIn.Era() == aMap.version.Era()) {
    mSettlement.OnRetained(mRuntime.settings.vm, mRetainedIn);
  }
  if (!mSettlement.MaySettle(aMap, now)) {
    bool asks = position == 0 && now >= mAskRetainersAt;
    for (const version::key_owner& owner : aMap.owners) {
      common::endpoint control = ControlOf(owner.vm);
      if (asks && !mSettlement.HasReported(owner.vm) && !control.Empty()) {
        mAskRetainersAt = now + kAskRetainersPeriod;
        mGossip.Compare(control);
      }
    }
    return;
  }
  if (!mSettleAt.has_value()) {
    mSettleAt = now + kSettleSpacing * int64_t(std::min(position, kMaxSettlePosition));
  }
  if (now < *mSettleAt) {
    return;
  }
  mSettleAt = now + kSettleSpacing * int64_t(kMaxSettlePosition);
  mEditor.Edit(
    mService,
    [this](version::key_map& aNewest) {
      bool due = !aNewest.settled && mSettlement.MaySettle(aNewest, mRuntime.Now());
      aNewest.settled = aNewest.settled || due;
      return due;
    },
    [this](edit_outcome aOutcome) {
      if (aOutcome == edit_outcome::kCommitted) {
        mRuntime.counters.Add("bamboograde_key_maps_settled_total");
        mRuntime.log.Write(line_class::kState, "key_map_settled", [this] {
          return common::json{ { "map", common::EncodeVersion(KeyMap()->version) } };
        });
      }
    });
}

void owner_watch::TakeOver(const version::key_map& aMap)
{
  if (!aMap.settled) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  std::vector<version::key_owner> lost;
  for (const version::key_owner& owner : aMap.owners) {
    if (owner.vm != mRuntime.settings.vm && !owner.suspicion.Empty() && IsLost(owner) &&
        mSuspicions.MayTake(owner.suspicion, now)) {
      lost.push_back(owner);
    }
  }
  Edit("suspected_owner_removed", lost, [this](version::key_map& aMap, version::key_owner& aOwner) {
    std::vector<version::successor> successors =
      LeastUsedSuccessors(mRuntime, mPlacement, aMap, aOwner.vm);
    std::erase_if(successors, [&](const version::successor& aSuccessor) {
      return !aMap.Owner(aSuccessor.vm)->suspicion.Empty() || IsSilent(ControlOf(aSuccessor.vm));
    });
    return version::ReplaceOwner(&aMap, aOwner.vm, successors);
  });
}

void owner_watch::Edit(const char* aName, const std::vector<version::key_owner>& aOwners,
                       const owner_edit& aEdit)
{
  if (aOwners.empty() || mEditor.Busy()) {
    return;
  }
  mEditAt =
    mRuntime.Now() + common::milliseconds(int64_t(1 + mRuntime.random.Below(kEditJitterMs)));
  mEditor.Edit(
    mService,
    [&](version::key_map& aMap) {
      bool changed = false;
      for (const version::key_owner& owner : aOwners) {
        version::key_owner* current = aMap.Owner(owner.vm);
        bool same = current != nullptr && current->session == owner.session &&
                    current->suspicion == owner.suspicion;
        changed = (same && aEdit(aMap, *current)) || changed;
      }
      return changed;
    },
    [this, aName, aOwners](edit_outcome aOutcome) {
      if (aOutcome != edit_outcome::kCommitted) {
        return;
      }
      mRuntime.counters.Add(std::string("bamboograde_") + aName + "_total", aOwners.size());
      for (const version::key_owner& owner : aOwners) {
        mRuntime.log.Write(line_class::kState, aName, [&] {
          return common::json{ { "vm", owner.vm },
                               { "session", owner.session.Str() },
                               { "map", common::EncodeVersion(KeyMap()->version) } };
        });
      }
    });
}

} // namespace bamboograde::process::sidecar
