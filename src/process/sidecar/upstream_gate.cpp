#include "process/sidecar/upstream_gate.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// A request for a key that is about to arrive or leave waits for at most this share of its time.
constexpr double kParkShare = 0.2;
// Requests on their way to a leaving upstream arrive before its time is over.
constexpr common::milliseconds kDrainMargin{ 200 };
// Weight of the newest reading in the utilization; readings are taken at each tick.
constexpr double kReadingWeight = 0.1;

} // namespace

upstream_gate::upstream_gate(runtime& aRuntime, request::suspect_list& aSuspects)
  : mRuntime(aRuntime)
  , mSuspects(aSuspects)
{
}

void upstream_gate::OnUpstreamStarted(const announcement& aAnnouncement)
{
  OnCrash();
  TurnAwayWaiting(request::refusal_reason::kNoUpstream);
  mUpstream = aAnnouncement.id;
  mService = aAnnouncement.service;
  mKeys.clear();
  mHeldBack.clear();
  mCloseAt = common::boot_time::max();
  OnUpstreamUpdated(aAnnouncement);
}

void upstream_gate::OnUpstreamUpdated(const announcement& aAnnouncement)
{
  mAdmission.SetSlots(aAnnouncement.slots);
  mReady = true;
  mBrokenOff.clear();
}

void upstream_gate::OnCrash()
{
  for (uint64_t fingerprint : mBrokenOff) {
    unsigned crashes = mSuspects.Add(fingerprint, mRuntime.Now());
    mRuntime.log.Write(line_class::kState, "crash_suspect", [&] {
      return common::json{ { "fingerprint", fingerprint }, { "crashes", crashes } };
    });
  }
  mBrokenOff.clear();
}

void upstream_gate::CloseAt(common::boot_time aTime)
{
  mCloseAt = std::min(mCloseAt, aTime);
}

void upstream_gate::OnUpstreamLeaving()
{
  mReady = false;
  CloseAt(mRuntime.Now() + mRuntime.settings.bounds.drain - kDrainMargin);
  if (!mRuntime.fleet.IsKeyed(mService)) {
    TurnAwayWaiting(request::refusal_reason::kNoUpstream);
  }
}

void upstream_gate::OnUpstreamGone()
{
  mReady = false;
  mKeys.clear();
  TurnAwayWaiting(request::refusal_reason::kNoUpstream);
}

void upstream_gate::SetKeys(std::vector<version::held_range> aRanges, common::boot_time aUntil)
{
  mKeys = std::move(aRanges);
  mKeysUntil = aUntil;
  RetryParked();
}

void upstream_gate::HoldBack(std::vector<version::key_range> aRanges)
{
  mHeldBack = std::move(aRanges);
}

bool upstream_gate::OwnedHere(uint32_t aKey) const
{
  version::key_map_ptr map = mRuntime.fleet.KeyMap(mService);
  const version::key_owner* owner = map == nullptr ? nullptr : map->Find(aKey);
  return owner != nullptr && owner->vm == mRuntime.settings.vm;
}

upstream_gate::key_answer upstream_gate::LookUp(uint32_t aKey) const
{
  if (!OwnedHere(aKey)) {
    return key_answer::kElsewhere;
  }
  for (const version::key_range& range : mHeldBack) {
    if (range.Contains(aKey)) {
      return key_answer::kSoon;
    }
  }
  bool held = std::any_of(mKeys.begin(), mKeys.end(), [aKey](const version::held_range& aHeld) {
    return aHeld.range.Contains(aKey);
  });
  return held && mRuntime.Now() < mKeysUntil ? key_answer::kHere : key_answer::kSoon;
}

void upstream_gate::Enter(const request::request_facts& aFacts, gate_client* aClient)
{
  common::boot_time now = mRuntime.Now();
  if (mSuspects.IsRefused(aFacts.fingerprint)) {
    TurnAway(aClient, request::refusal_reason::kCrashSuspect);
    return;
  }
  if (aFacts.service != mService || mUpstream.Empty() || Closed()) {
    TurnAway(aClient, request::refusal_reason::kNoUpstream);
    return;
  }
  if (!aFacts.key.has_value()) {
    mReady ? Admit(aFacts, aClient) : TurnAway(aClient, request::refusal_reason::kNoUpstream);
    return;
  }
  mKeyLoad.Count(*aFacts.key);
  switch (LookUp(*aFacts.key)) {
    case key_answer::kHere:
      Admit(aFacts, aClient);
      return;
    case key_answer::kElsewhere:
      TurnAway(aClient, request::refusal_reason::kNotOwner);
      return;
    case key_answer::kSoon:
      break;
  }
  auto left = std::chrono::duration_cast<common::microseconds>(aFacts.deadline - now);
  mParked.push_back(
    { aClient, aFacts, now + common::microseconds(int64_t(double(left.count()) * kParkShare)) });
}

void upstream_gate::Admit(const request::request_facts& aFacts, gate_client* aClient)
{
  common::boot_time now = mRuntime.Now();
  request::admission_decision decision = mAdmission.Offer(
    { aFacts.work, aFacts.rank, aFacts.deadline, aFacts.target, aFacts.onlyIfFree }, now);
  if (decision.verdict == request::admission_verdict::kBusy) {
    TurnAway(aClient, request::refusal_reason::kBusy, decision.expectedWait);
    return;
  }
  if (decision.verdict == request::admission_verdict::kReject) {
    TurnAway(aClient, request::refusal_reason::kOverloaded, decision.expectedWait);
    return;
  }
  bool start = decision.verdict == request::admission_verdict::kStart;
  mVisitors[decision.ticket] = { aClient, aFacts, decision.ticket, start };
  mTickets[aClient] = decision.ticket;
  if (start) {
    aClient->OnAdmitted();
  }
}

void upstream_gate::TurnAway(gate_client* aClient, request::refusal_reason aReason,
                             common::microseconds aRetryAfter)
{
  mRuntime.counters.Add("bamboograde_gate_refusals_total{reason=\"" +
                        std::string(request::RefusalName(aReason)) + "\"}");
  aClient->OnTurnedAway({ aReason, aRetryAfter });
}

void upstream_gate::Leave(gate_client* aClient)
{
  std::erase_if(mParked, [aClient](const parked& aItem) { return aItem.client == aClient; });
  auto found = mTickets.find(aClient);
  if (found != mTickets.end()) {
    mAdmission.OnCancelled(found->second);
    mVisitors.erase(found->second);
    mTickets.erase(found);
  }
}

void upstream_gate::Finish(gate_client* aClient, upstream_outcome aOutcome)
{
  auto found = mTickets.find(aClient);
  if (found == mTickets.end()) {
    return;
  }
  request::ticket_number ticket = found->second;
  mAdmission.OnFinished(ticket, aOutcome == upstream_outcome::kServed, mRuntime.Now());
  auto visit = mVisitors.find(ticket);
  if (aOutcome == upstream_outcome::kServed) {
    mSuspects.Clear(visit->second.facts.fingerprint);
  } else if (aOutcome == upstream_outcome::kBroken) {
    mBrokenOff.push_back(visit->second.facts.fingerprint);
  }
  mVisitors.erase(visit);
  mTickets.erase(found);
  if (aOutcome == upstream_outcome::kRefused && mReady) {
    // Ready again with its next announcement.
    mReady = false;
    OnCrash();
    TurnAwayWaiting(request::refusal_reason::kNoUpstream);
  }
  StartNext();
}

void upstream_gate::StartNext()
{
  common::boot_time now = mRuntime.Now();
  for (auto ticket = mAdmission.Next(now); ticket.has_value(); ticket = mAdmission.Next(now)) {
    visitor& next = mVisitors[*ticket];
    gate_client* client = next.client;
    // The key may have been moved while the request waited.
    bool gone = next.facts.key.has_value() && LookUp(*next.facts.key) != key_answer::kHere;
    if (gone) {
      request::request_facts facts = next.facts;
      mAdmission.OnFinished(*ticket, false, now);
      mVisitors.erase(*ticket);
      mTickets.erase(client);
      Enter(facts, client);
      continue;
    }
    next.admitted = true;
    client->OnAdmitted();
  }
}

void upstream_gate::RetryParked()
{
  std::vector<parked> waiting;
  waiting.swap(mParked);
  common::boot_time now = mRuntime.Now();
  for (const parked& item : waiting) {
    key_answer answer = LookUp(*item.facts.key);
    if (answer == key_answer::kHere) {
      Admit(item.facts, item.client);
    } else if (answer == key_answer::kElsewhere || now >= item.until) {
      TurnAway(item.client, request::refusal_reason::kNotOwner);
    } else {
      mParked.push_back(item);
    }
  }
}

void upstream_gate::TurnAwayWaiting(request::refusal_reason aReason)
{
  for (request::ticket_number ticket : mAdmission.TakeAll()) {
    gate_client* client = mVisitors[ticket].client;
    mVisitors.erase(ticket);
    mTickets.erase(client);
    TurnAway(client, aReason);
  }
  std::vector<parked> waiting;
  waiting.swap(mParked);
  for (const parked& item : waiting) {
    TurnAway(item.client, aReason);
  }
}

request::load_report upstream_gate::Load() const
{
  request::load_report report;
  report.running = unsigned(mAdmission.Running());
  report.waiting = unsigned(mAdmission.Waiting() + mParked.size());
  report.limit = mAdmission.Slots();
  report.serviceTime = mAdmission.MeanServiceTime();
  return report;
}

void upstream_gate::Tick()
{
  for (request::ticket_number ticket : mAdmission.TakeHopeless(mRuntime.Now())) {
    gate_client* client = mVisitors[ticket].client;
    mVisitors.erase(ticket);
    mTickets.erase(client);
    TurnAway(client, request::refusal_reason::kOverloaded);
  }
  if (Closed()) {
    TurnAwayWaiting(request::refusal_reason::kNoUpstream);
  } else if (!mParked.empty()) {
    RetryParked();
  }
  double reading = mAdmission.Slots() == 0 ? 0
                                           : double(mAdmission.Running() + mAdmission.Waiting()) /
                                               double(mAdmission.Slots());
  mUtilization += kReadingWeight * (reading - mUtilization);
}

} // namespace bamboograde::process::sidecar
