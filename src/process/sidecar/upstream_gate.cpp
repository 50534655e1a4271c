#include "process/sidecar/upstream_gate.h"

#include "common/hash.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// Maximum fraction of its remaining time that a request waits for a key that is in hand-off or not
// yet granted.
constexpr double kMaxParkShare = 0.2;
// Weight of a new sample in the exponential moving average; one sample per tick.
constexpr double kUtilizationSampleWeight = 0.1;
// A process that ends breaks all its connections within about this time.
constexpr common::milliseconds kCrashSpan{ 100 };
// The rate of a cold upstream holds for every interval of this length.
constexpr common::seconds kRateInterval{ 1 };
// Fewer broken connections do not show a restart, since single ones break for other reasons.
constexpr size_t kMinBrokenByRestart = 3;

} // namespace

upstream_gate::upstream_gate(runtime& aRuntime, request::suspect_list& aSuspects)
  : mRuntime(aRuntime)
  , mCreatedAt(aRuntime.Now())
  , mSuspects(aSuspects)
{
}

void upstream_gate::OnUpstreamStarted(const announcement& aAnnouncement)
{
  MarkCrashSuspects();
  RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
  mUpstream = aAnnouncement.id;
  mUpstreamIncarnation = { aAnnouncement.id, uint64_t(aAnnouncement.startedMs) };
  mNotice.reset();
  mNamedLimit.reset();
  mService = aAnnouncement.service;
  mColdStart.Reset();
  mColdStart.OnAnnounced(aAnnouncement.warmupLeft, mRuntime.Now());
  UpdateRateLimit();
  mReady = false;
  mAdmission.SetSlots(aAnnouncement.slots);
  mKeys.clear();
  mPausedKeys.clear();
  mDrainedAt = common::boot_time::max();
}

void upstream_gate::OnUpstreamReady(const announcement& aAnnouncement)
{
  mAdmission.SetSlots(aAnnouncement.slots);
  mReady = true;
  bool wasCold = Cold();
  mColdStart.OnAnnounced(aAnnouncement.warmupLeft, mRuntime.Now());
  UpdateRateLimit();
  if (Cold() != wasCold) {
    mRuntime.log.Write(line_class::kState, "upstream_cold", [&] {
      return common::json{ { "upstream", mUpstream.Str() },
                           { "cold", Cold() },
                           { "left_ms", aAnnouncement.warmupLeft.count() } };
    });
  }
  // The announcement may have been sent before a crash that has just broken connections.
  common::boot_time end = mRuntime.Now() - mRuntime.settings.announcePeriod;
  std::erase_if(mBrokenRequests,
                [end](const broken_request& aBroken) { return aBroken.at <= end; });
}

void upstream_gate::AssumeCold()
{
  common::boot_time now = mRuntime.Now();
  mColdStart.Assume(now + mRuntime.settings.announcePeriod);
  UpdateRateLimit();
  if (!Cold()) {
    // The service has no limit for cold upstreams.
    return;
  }
  mRuntime.log.Write(line_class::kState, "upstream_assumed_cold", [&] {
    return common::json{ { "upstream", mUpstream.Str() },
                         { "running", mAdmission.Running() },
                         { "broken", mBrokenRequests.size() } };
  });
}

void upstream_gate::UpdateRateLimit()
{
  common::boot_time now = mRuntime.Now();
  const version::route_config_ptr& config = mRuntime.fleet.Config();
  const version::service_rule* service = config == nullptr ? nullptr : config->Service(mService);
  std::optional<request::request_rate> coldRate;
  if (service != nullptr && service->coldRate.has_value()) {
    coldRate = request::request_rate(*service->coldRate * mRuntime.settings.bounds.coldOverage);
  }
  mColdStart.SetRate(coldRate);
  std::optional<request::request_rate> limit = mNamedLimit;
  if (auto ofCold = mColdStart.Limit(now); ofCold.has_value()) {
    limit = std::min(limit.value_or(*ofCold), *ofCold);
  }
  bool cold = mColdStart.Limit(now).has_value();
  mAdmission.SetRateLimit(limit, now, cold);
  // The requests that a former process has sent in the last second are not known.
  mAdmission.SetClosedUntil(cold ? mCreatedAt + kRateInterval : common::boot_time());
}

bool upstream_gate::RestartIsLikely() const
{
  common::boot_time now = mRuntime.Now();
  common::boot_time first = now;
  size_t broken = 0;
  for (const broken_request& item : mBrokenRequests) {
    if (item.incarnation == mUpstreamIncarnation && item.at > now - kCrashSpan) {
      first = std::min(first, item.at);
      ++broken;
    }
  }
  // Requests that have started since the first one broke say nothing.
  auto older = size_t(std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    return aItem.second.admitted && aItem.second.admittedAt <= first;
  }));
  return broken >= std::max(kMinBrokenByRestart, older);
}

void upstream_gate::MarkCrashSuspects()
{
  std::map<std::pair<version::upstream_incarnation, uint64_t>, size_t> inFlight;
  for (const broken_request& broken : mBrokenRequests) {
    ++inFlight[{ broken.incarnation, broken.fingerprint }];
  }
  mBrokenRequests.clear();
  for (const auto& item : inFlight) {
    const version::upstream_incarnation& incarnation = item.first.first;
    uint64_t fingerprint = item.first.second;
    common::crash_id crash(common::HashBytes(mRuntime.settings.vm + "\n" + incarnation.id.Str() +
                                             "\n" + std::to_string(incarnation.startedMs)));
    unsigned crashes = mSuspects.Add(fingerprint, crash, mRuntime.Now());
    mRuntime.log.Write(line_class::kState, "crash_suspect", [&] {
      return common::json{ { "fingerprint", fingerprint },
                           { "upstream", incarnation.id.Str() },
                           { "in_flight", item.second },
                           { "crashes", crashes } };
    });
  }
}

bool upstream_gate::RefusedAsSuspect(const request::request_facts& aFacts) const
{
  return mSuspects.IsRefused(aFacts.fingerprint) &&
         !mSuspects.TrialTurn(aFacts.fingerprint, mRuntime.Now()).has_value();
}

void upstream_gate::StopAt(common::boot_time aTime, common::boot_time aExit)
{
  mExitAt = aExit;
  Close(&mStopAt, aTime);
}

bool upstream_gate::EndsBeforeExit(const request::request_facts& aFacts) const
{
  return mAdmission.ServiceTimes().LatestEnd(aFacts.work, mRuntime.Now(), aFacts.deadline) <=
         mExitAt;
}

void upstream_gate::Close(common::boot_time* aClosingTime, common::boot_time aTime)
{
  if (aTime >= *aClosingTime) {
    return;
  }
  *aClosingTime = aTime;
  mRuntime.log.Write(line_class::kState, "gate_closes", [&] {
    auto left = std::chrono::duration_cast<common::milliseconds>(aTime - mRuntime.Now());
    return common::json{ { "upstream", mUpstream.Str() },
                         { "in_ms", left.count() },
                         { "running", mAdmission.Running() },
                         { "waiting", mAdmission.Waiting() + mParked.size() } };
  });
  for (const auto& [id, entry] : mEntries) {
    if (entry.admitted) {
      entry.client->OnClosing(ClosesAt());
    }
  }
}

void upstream_gate::OnUpstreamLeaving()
{
  mReady = false;
  Close(&mDrainedAt, mRuntime.Now() + mRuntime.settings.bounds.drain - kDrainMargin);
  if (!mRuntime.fleet.IsKeyed(mService)) {
    RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
  }
}

void upstream_gate::OnEvacuationStarted(common::boot_time aNotRequestedAt)
{
  common::boot_time now = mRuntime.Now();
  common::milliseconds limit = mRuntime.settings.bounds.evacuate;
  // The request is not older than the last proof that there was none.
  common::boot_time latest = aNotRequestedAt + limit - kDrainMargin;
  Close(&mEvacuatedAt, std::max(now, std::min(now + limit / 2, latest)));
  if (!mRuntime.fleet.IsKeyed(mService)) {
    RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
  }
}

void upstream_gate::OnEvacuationEnded()
{
  mEvacuatedAt = common::boot_time::max();
  AssumeCold();
}

void upstream_gate::OnUpstreamLost()
{
  mReady = false;
  mKeys.clear();
  RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
}

void upstream_gate::SetKeys(std::vector<version::held_range> aRanges, common::boot_time aUntil)
{
  mKeys = std::move(aRanges);
  mKeysUntil = aUntil;
  RetryParked();
}

void upstream_gate::PauseKeys(std::vector<version::key_range> aRanges)
{
  mPausedKeys = std::move(aRanges);
}

bool upstream_gate::OwnedHere(uint32_t aKey) const
{
  version::key_map_ptr map = mRuntime.fleet.KeyMap(mService);
  const version::key_owner* owner = map == nullptr ? nullptr : map->Find(aKey);
  return owner != nullptr && owner->vm == mRuntime.settings.vm;
}

upstream_gate::key_status upstream_gate::StatusOf(uint32_t aKey) const
{
  if (!OwnedHere(aKey)) {
    return key_status::kNotOwned;
  }
  for (const version::key_range& range : mPausedKeys) {
    if (range.Contains(aKey)) {
      return key_status::kPending;
    }
  }
  bool held = std::any_of(mKeys.begin(), mKeys.end(), [aKey](const version::held_range& aHeld) {
    return aHeld.range.Contains(aKey);
  });
  return held && mRuntime.Now() < mKeysUntil ? key_status::kHeld : key_status::kPending;
}

void upstream_gate::Submit(const request::request_facts& aFacts, gate_client* aClient)
{
  common::boot_time now = mRuntime.Now();
  if (RefusedAsSuspect(aFacts)) {
    Refuse(aClient, request::attempt_refusal_reason::kCrashSuspect);
    return;
  }
  if (aFacts.service != mService || mUpstream.Empty() || Closed()) {
    Refuse(aClient, request::attempt_refusal_reason::kNoUpstream);
    return;
  }
  if (!aFacts.key.has_value()) {
    bool serves = mReady && !mRuntime.fleet.IsEvacuated(mRuntime.settings.zone);
    serves ? Admit(aFacts, aClient) : Refuse(aClient, request::attempt_refusal_reason::kNoUpstream);
    return;
  }
  mKeyLoad.Count(*aFacts.key);
  switch (StatusOf(*aFacts.key)) {
    case key_status::kHeld:
      Admit(aFacts, aClient);
      return;
    case key_status::kNotOwned:
      Refuse(aClient, request::attempt_refusal_reason::kNotOwner);
      return;
    case key_status::kPending:
      break;
  }
  auto left = std::chrono::duration_cast<common::microseconds>(aFacts.deadline - now);
  mParked.push_back(
    { aClient, aFacts, now + common::microseconds(int64_t(double(left.count()) * kMaxParkShare)) });
}

void upstream_gate::Admit(const request::request_facts& aFacts, gate_client* aClient)
{
  common::boot_time now = mRuntime.Now();
  if (!EndsBeforeExit(aFacts)) {
    Refuse(aClient, request::attempt_refusal_reason::kNoUpstream);
    return;
  }
  AdoptLimit(aFacts);
  request::admission_decision decision =
    mAdmission.Offer({ aFacts.work, aFacts.rank, aFacts.deadline, aFacts.target, aFacts.onlyIfFree,
                       aFacts.usualTime },
                     now);
  if (decision.verdict == request::admission_verdict::kBusy) {
    Refuse(aClient, request::attempt_refusal_reason::kBusy, decision.expectedWait,
           decision.expectedCompletion);
    return;
  }
  if (decision.verdict == request::admission_verdict::kReject) {
    Refuse(aClient, request::attempt_refusal_reason::kOverloaded, decision.expectedWait);
    return;
  }
  bool start = decision.verdict == request::admission_verdict::kStart;
  admission_entry& entry = mEntries[decision.id];
  entry = { aClient, aFacts, decision.id };
  mIdsByClient[aClient] = decision.id;
  if (start) {
    NotifyAdmitted(entry);
  }
}

void upstream_gate::NotifyAdmitted(admission_entry& aEntry)
{
  mRuntime.counters.Add("bamboograde_upstream_requests_total");
  aEntry.admitted = true;
  aEntry.admittedAt = mRuntime.Now();
  aEntry.incarnation = mUpstreamIncarnation;
  aEntry.onTrial = mSuspects.IsRefused(aEntry.facts.fingerprint);
  if (aEntry.onTrial) {
    mRuntime.counters.Add("bamboograde_crash_suspect_trials_total");
    mSuspects.BeginTrial(aEntry.facts.fingerprint);
  }
  aEntry.client->OnAdmitted();
}

void upstream_gate::OnNotice(gate_client* aClient, const request::upstream_notice& aNotice)
{
  auto found = mIdsByClient.find(aClient);
  if (found == mIdsByClient.end() || mEntries[found->second].incarnation != mUpstreamIncarnation) {
    return;
  }
  request::upstream_notice before = mNotice.value_or(request::upstream_notice());
  mNotice = aNotice;
  if (aNotice.unreadableLimit) {
    mRuntime.counters.Add("bamboograde_unreadable_limits_total");
    mNotice->limit = before.limit;
  }
  mNamedLimit = mNotice->limit;
  UpdateRateLimit();
  if (aNotice.load.has_value() && aNotice.load->slowdown.has_value()) {
    mAdmission.Speed().OnReport(*aNotice.load->slowdown, mRuntime.Now());
  }
  if (mNotice->limit != before.limit || mNotice->leaving != before.leaving) {
    mRuntime.log.Write(line_class::kState, "upstream_notice", [&] {
      common::json line = { { "upstream", mUpstream.Str() }, { "leaving", aNotice.leaving } };
      if (mNotice->limit.has_value()) {
        line["limit_per_s"] = mNotice->limit->PerSecond();
      }
      return line;
    });
  }
  if (aNotice.leaving && !before.leaving && mOnLeaving) {
    mOnLeaving();
  }
}

void upstream_gate::AdoptLimit(const request::request_facts& aFacts)
{
  bool adopts =
    aFacts.namedLimit.has_value() && !mNotice.has_value() && aFacts.namedBy == mUpstreamIncarnation;
  if (adopts) {
    mNamedLimit = aFacts.namedLimit;
    UpdateRateLimit();
  }
}

void upstream_gate::Refuse(gate_client* aClient, request::attempt_refusal_reason aReason,
                           common::microseconds aRetryAfter, common::microseconds aCompletion)
{
  mRuntime.counters.Add("bamboograde_gate_refusals_total{reason=\"" +
                        std::string(request::RefusalName(aReason)) + "\"}");
  aClient->OnAdmissionRefused({ aReason, aRetryAfter, aCompletion });
}

void upstream_gate::Withdraw(gate_client* aClient)
{
  std::erase_if(mParked,
                [aClient](const parked_request& aItem) { return aItem.client == aClient; });
  auto found = mIdsByClient.find(aClient);
  if (found != mIdsByClient.end()) {
    mAdmission.OnCancelled(found->second);
    mEntries.erase(found->second);
    mIdsByClient.erase(found);
  }
}

void upstream_gate::Finish(gate_client* aClient, upstream_outcome aOutcome)
{
  auto found = mIdsByClient.find(aClient);
  if (found == mIdsByClient.end()) {
    return;
  }
  request::admission_id id = found->second;
  mAdmission.OnFinished(id, aOutcome == upstream_outcome::kServed, mRuntime.Now());
  auto entry = mEntries.find(id);
  NoteOutcome(entry->second, aOutcome);
  mEntries.erase(entry);
  mIdsByClient.erase(found);
  if (aOutcome == upstream_outcome::kRefused && mReady) {
    // The next announcement makes the upstream ready again.
    mReady = false;
    MarkCrashSuspects();
    AssumeCold();
    RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
  } else if (aOutcome == upstream_outcome::kBroken && !AssumedCold() && RestartIsLikely()) {
    AssumeCold();
  }
  StartNext();
}

// Keeps what the end of a request says about crashes of the upstream.
void upstream_gate::NoteOutcome(const admission_entry& aEntry, upstream_outcome aOutcome)
{
  common::boot_time now = mRuntime.Now();
  uint64_t fingerprint = aEntry.facts.fingerprint;
  if (aEntry.onTrial) {
    mSuspects.EndTrial(fingerprint, aOutcome == upstream_outcome::kBroken, now);
  }
  if (aOutcome == upstream_outcome::kServed && mSuspects.Clear(fingerprint, now)) {
    mRuntime.log.Write(line_class::kState, "crash_suspect_cleared", [&] {
      return common::json{ { "fingerprint", fingerprint }, { "trial", aEntry.onTrial } };
    });
  }
  // An upstream that leaves ends its connections after the drain time.
  bool mayBeCrash = aOutcome == upstream_outcome::kBroken &&
                    (aEntry.incarnation != mUpstreamIncarnation || now < mDrainedAt);
  if (mayBeCrash) {
    mBrokenRequests.push_back({ fingerprint, aEntry.incarnation, now });
  }
}

void upstream_gate::StartNext()
{
  common::boot_time now = mRuntime.Now();
  if (Closed()) {
    RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
    return;
  }
  for (auto id = mAdmission.Next(now); id.has_value(); id = mAdmission.Next(now)) {
    admission_entry& next = mEntries[*id];
    gate_client* client = next.client;
    // The key may have been moved or paused while the request was queued, the daemon may stop, or
    // an equal request may have become a crash suspect.
    bool resubmitted =
      !EndsBeforeExit(next.facts) || RefusedAsSuspect(next.facts) ||
      (next.facts.key.has_value() && StatusOf(*next.facts.key) != key_status::kHeld);
    if (resubmitted) {
      request::request_facts facts = next.facts;
      mAdmission.OnFinished(*id, false, now);
      mEntries.erase(*id);
      mIdsByClient.erase(client);
      Submit(facts, client);
      continue;
    }
    NotifyAdmitted(next);
  }
}

void upstream_gate::RetryParked()
{
  common::boot_time now = mRuntime.Now();
  for (size_t left = mParked.size(); left > 0 && !mParked.empty(); --left) {
    parked_request item = TakeParked();
    key_status answer = StatusOf(*item.facts.key);
    if (Closed()) {
      Refuse(item.client, request::attempt_refusal_reason::kNoUpstream);
    } else if (answer == key_status::kHeld) {
      Admit(item.facts, item.client);
    } else if (answer == key_status::kNotOwned || now >= item.until) {
      Refuse(item.client, request::attempt_refusal_reason::kNotOwner);
    } else {
      mParked.push_back(item);
    }
  }
}

void upstream_gate::RefuseWaiting(request::attempt_refusal_reason aReason)
{
  RefuseQueued(mAdmission.TakeAll(), aReason);
  for (size_t left = mParked.size(); left > 0 && !mParked.empty(); --left) {
    Refuse(TakeParked().client, aReason);
  }
}

// Refuses requests that have left the admission queue. A refusal may end others of them, which are
// withdrawn then.
void upstream_gate::RefuseQueued(const std::vector<request::admission_id>& aIds,
                                 request::attempt_refusal_reason aReason)
{
  for (request::admission_id id : aIds) {
    auto found = mEntries.find(id);
    if (found != mEntries.end()) {
      gate_client* client = found->second.client;
      mEntries.erase(found);
      mIdsByClient.erase(client);
      Refuse(client, aReason);
    }
  }
}

// Takes the request that has been parked the longest.
upstream_gate::parked_request upstream_gate::TakeParked()
{
  parked_request item = std::move(mParked.front());
  mParked.erase(mParked.begin());
  return item;
}

request::load_report upstream_gate::Load() const
{
  request::load_report report;
  report.limit = mAdmission.UsableSlots();
  report.running = unsigned(mAdmission.Running());
  if (!mAdmission.MayStart(mRuntime.Now())) {
    report.running = std::max(report.running, report.limit);
  }
  report.waiting = unsigned(mAdmission.Waiting() + mParked.size());
  report.serviceTime = mAdmission.MeanServiceTime();
  return report;
}

void upstream_gate::Tick()
{
  mSuspects.Expire(mRuntime.Now());
  RefuseQueued(mAdmission.TakeUnservable(mRuntime.Now()),
               request::attempt_refusal_reason::kOverloaded);
  if (Closed()) {
    RefuseWaiting(request::attempt_refusal_reason::kNoUpstream);
  } else if (!mParked.empty()) {
    RetryParked();
  }
  UpdateRateLimit();
  // A rate limit lets requests start while no other one ends.
  StartNext();
  double sample = mAdmission.Slots() == 0 ? 0
                                          : double(mAdmission.Running() + mAdmission.Waiting()) /
                                              double(mAdmission.UsableSlots());
  mUtilization += kUtilizationSampleWeight * (sample - mUtilization);
}

} // namespace bamboograde::process::sidecar
