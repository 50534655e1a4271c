#include "request/admission.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::request {

namespace {

// Weight of the newest sample in the mean of service times.
constexpr double kSampleWeight = 0.1;
// Before the first sample of a class. Low, so that nothing is rejected for a guess.
constexpr common::microseconds kUnknownServiceTime{ 20000 };
// A request is hopeless when less than this share of its usual time is left: some run faster than
// the mean.
constexpr double kHopelessShare = 0.7;
// A request that can only be late waits for at most this share of its usual time.
constexpr double kLateWaitShare = 0.4;
// Less urgent work that keeps more than this share of the slots busy gives way to more urgent work.
constexpr double kNoticeableShare = 0.05;
// A request that takes at most this share of the longest of its rank goes before those.
constexpr double kShortShare = 0.4;
// Time over which arriving work is averaged.
constexpr common::milliseconds kLoadWindow{ 1000 };
// More urgent work is never assumed to leave less than the rest of the slots.
constexpr double kMostUrgentShare = 0.8;

common::microseconds Scale(common::microseconds aTime, double aFactor)
{
  return common::microseconds(int64_t(double(aTime.count()) * aFactor));
}

// What is left of an average after some time.
double Remaining(std::chrono::duration<double> aTime)
{
  std::chrono::duration<double> window = kLoadWindow;
  return std::exp(-aTime.count() / window.count());
}

common::microseconds Average(common::microseconds aMean, common::microseconds aSample)
{
  if (aMean.count() == 0) {
    return aSample;
  }
  return Scale(aMean, 1 - kSampleWeight) + Scale(aSample, kSampleWeight);
}

} // namespace

common::microseconds admission::ServiceTime(const std::string& aWork) const
{
  auto found = mServiceTimes.find(aWork);
  return found == mServiceTimes.end() ? kUnknownServiceTime : found->second;
}

admission::urgency admission::UrgencyOf(const admission_request& aRequest) const
{
  common::microseconds longest{ 0 };
  for (const auto& [work, rank] : mRanks) {
    longest = rank == aRequest.rank ? std::max(longest, ServiceTime(work)) : longest;
  }
  return { aRequest.rank, ServiceTime(aRequest.work) > Scale(longest, kShortShare) };
}

void admission::NoteArrival(const admission_request& aRequest, common::boot_time aNow)
{
  mRanks[aRequest.work] = aRequest.rank;
  arriving_load& load = mLoads[UrgencyOf(aRequest)];
  load.slots *= Remaining(aNow - load.updatedAt);
  load.updatedAt = aNow;
  std::chrono::duration<double> time = ServiceTime(aRequest.work);
  std::chrono::duration<double> window = kLoadWindow;
  load.slots += time.count() / window.count();
}

double admission::MoreUrgentShare(const urgency& aUrgency, common::boot_time aNow) const
{
  double busy = 0;
  for (const auto& [urgency, load] : mLoads) {
    busy += urgency < aUrgency ? load.slots * Remaining(aNow - load.updatedAt) : 0;
  }
  return std::min(busy / mSlots, kMostUrgentShare);
}

double admission::LessUrgentShare(const urgency& aUrgency, common::boot_time aNow) const
{
  double busy = 0;
  for (const auto& [urgency, load] : mLoads) {
    busy += urgency > aUrgency ? load.slots * Remaining(aNow - load.updatedAt) : 0;
  }
  return busy / mSlots;
}

common::microseconds admission::ExpectedWait(const urgency& aUrgency, common::boot_time aNow) const
{
  if (mSlots == 0) {
    return common::microseconds::max();
  }
  if (mRunning.size() < mSlots && mWaiting.empty()) {
    return common::microseconds(0);
  }
  // Work in front: what is left of the running requests, and what waits and is no less urgent.
  common::microseconds work{ 0 };
  for (const auto& [ticket, running] : mRunning) {
    common::microseconds usual = ServiceTime(running.request.work);
    auto spent = std::chrono::duration_cast<common::microseconds>(aNow - running.startedAt);
    work += std::max(usual - spent, usual / 4);
  }
  for (const auto& [key, waiting] : mWaiting) {
    work += key.urgency <= aUrgency ? ServiceTime(waiting.request.work) : common::microseconds(0);
  }
  return Scale(work / mSlots, 1 / (1 - MoreUrgentShare(aUrgency, aNow)));
}

admission_decision admission::Offer(const admission_request& aRequest, common::boot_time aNow)
{
  admission_decision decision;
  decision.ticket = ++mLastTicket;
  if (mRunning.size() < mSlots && mWaiting.empty()) {
    NoteArrival(aRequest, aNow);
    mRunning[decision.ticket] = { aRequest, aNow };
    decision.verdict = admission_verdict::kStart;
    return decision;
  }
  // One that only asks may ask at several gates; it is counted where it stays.
  if (!aRequest.onlyIfFree) {
    NoteArrival(aRequest, aNow);
  }
  common::microseconds usual = ServiceTime(aRequest.work);
  urgency urgent = UrgencyOf(aRequest);
  decision.expectedWait = ExpectedWait(urgent, aNow);
  bool inTime = aNow + usual <= aRequest.target;
  bool mayWait = LessUrgentShare(urgent, aNow) > kNoticeableShare ||
                 (inTime ? aNow + decision.expectedWait + usual <= aRequest.target
                         : decision.expectedWait <= Scale(usual, kLateWaitShare));
  bool possible = mSlots > 0 && aNow + decision.expectedWait + usual <= aRequest.deadline;
  if (!mayWait || !possible) {
    return decision;
  }
  if (aRequest.onlyIfFree) {
    decision.verdict = admission_verdict::kBusy;
    return decision;
  }
  order_key key{ urgent, decision.ticket };
  mWaiting[key] = { aRequest, {} };
  mWaitingKeys.emplace(decision.ticket, key);
  decision.verdict = admission_verdict::kWait;
  return decision;
}

void admission::OnFinished(ticket_number aTicket, bool aServed, common::boot_time aNow)
{
  auto found = mRunning.find(aTicket);
  if (found == mRunning.end()) {
    return;
  }
  if (aServed) {
    auto spent = std::chrono::duration_cast<common::microseconds>(aNow - found->second.startedAt);
    common::microseconds& mean = mServiceTimes[found->second.request.work];
    mean = Average(mean, spent);
    mMeanServiceTime = Average(mMeanServiceTime, spent);
  }
  mRunning.erase(found);
}

void admission::OnCancelled(ticket_number aTicket)
{
  auto found = mWaitingKeys.find(aTicket);
  if (found != mWaitingKeys.end()) {
    mWaiting.erase(found->second);
    mWaitingKeys.erase(found);
  }
}

std::optional<ticket_number> admission::Next(common::boot_time aNow)
{
  if (mWaiting.empty() || mRunning.size() >= mSlots) {
    return std::nullopt;
  }
  auto first = mWaiting.begin();
  ticket_number ticket = first->first.ticket;
  mRunning[ticket] = { std::move(first->second.request), aNow };
  mWaiting.erase(first);
  mWaitingKeys.erase(ticket);
  return ticket;
}

std::vector<ticket_number> admission::TakeHopeless(common::boot_time aNow)
{
  std::vector<ticket_number> hopeless;
  for (const auto& [key, waiting] : mWaiting) {
    common::microseconds needed = Scale(ServiceTime(waiting.request.work), kHopelessShare);
    if (aNow + needed > waiting.request.deadline) {
      hopeless.push_back(key.ticket);
    }
  }
  for (ticket_number ticket : hopeless) {
    OnCancelled(ticket);
  }
  return hopeless;
}

std::vector<ticket_number> admission::TakeAll()
{
  std::vector<ticket_number> all;
  for (const auto& [key, waiting] : mWaiting) {
    all.push_back(key.ticket);
  }
  mWaiting.clear();
  mWaitingKeys.clear();
  return all;
}

} // namespace bamboograde::request
