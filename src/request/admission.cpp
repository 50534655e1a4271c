#include "request/admission.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::request {

namespace {

// Service time before the first sample of a class. Low, so that no request is rejected because of
// an assumption.
constexpr common::microseconds kDefaultServiceTime{ 20000 };
// A queued request is unservable when less than this share of its mean service time is left until
// its deadline. Below 1, because some requests run faster than the mean.
constexpr double kUnservableShare = 0.7;
// A request that can no longer meet its target may queue for at most this share of its service
// time.
constexpr double kMaxLateWaitShare = 0.4;
// More urgent requests rely on overtaking less urgent work only if that work keeps more than this
// share of the slots busy.
constexpr double kMinLessUrgentShare = 0.05;
// A class that takes at most this share of the longest service time of its rank counts as short.
constexpr double kMaxShortShare = 0.4;
// A query for a free slot is refused if the request would take more than this many times its usual
// time. At 1.2, as many requests are in target as at 1.5, with 40 % more offers to gates; at 2,
// twice as many miss their targets.
constexpr double kTooSlow = 1.5;
// Time constant of the exponential decay of the offered load.
constexpr common::milliseconds kLoadDecayTime{ 1000 };
// Upper bound of the share of the slots that more urgent work is assumed to take.
constexpr double kMaxMoreUrgentShare = 0.8;

common::microseconds Scale(common::microseconds aTime, double aFactor)
{
  return common::microseconds(int64_t(double(aTime.count()) * aFactor));
}

// Factor by which an exponentially decayed average shrinks in this time.
double DecayFactor(std::chrono::duration<double> aTime)
{
  std::chrono::duration<double> decayTime = kLoadDecayTime;
  return std::exp(-aTime.count() / decayTime.count());
}

} // namespace

common::microseconds admission::ServiceTime(const std::string& aWork) const
{
  return mServiceTimes.Mean(aWork).value_or(kDefaultServiceTime);
}

common::microseconds admission::NormalTime(const std::string& aWork) const
{
  return mSpeed.NormalTime(aWork).value_or(kDefaultServiceTime);
}

admission::urgency admission::UrgencyOf(const admission_request& aRequest) const
{
  common::microseconds longest{ 0 };
  for (const auto& [work, rank] : mRanksByWork) {
    longest = rank == aRequest.rank ? std::max(longest, ServiceTime(work)) : longest;
  }
  return { aRequest.rank, ServiceTime(aRequest.work) > Scale(longest, kMaxShortShare) };
}

void admission::RecordArrival(const admission_request& aRequest, common::boot_time aNow)
{
  mRanksByWork[aRequest.work] = aRequest.rank;
  offered_load& load = mOfferedLoads[UrgencyOf(aRequest)];
  load = load.DecayedTo(aNow);
  std::chrono::duration<double> time = ServiceTime(aRequest.work);
  std::chrono::duration<double> decayTime = kLoadDecayTime;
  load.slots += time.count() / decayTime.count();
  load.arrivals += 1 / decayTime.count();
}

admission::offered_load admission::offered_load::DecayedTo(common::boot_time aNow) const
{
  double factor = DecayFactor(aNow - updatedAt);
  return { slots * factor, arrivals * factor, aNow };
}

double admission::Share(const offered_load& aLoad) const
{
  std::optional<request_rate> limit = mRate.Limit();
  double ofRate = limit.has_value() ? aLoad.arrivals / limit->PerSecond() : 0;
  return std::max(aLoad.slots / mSlots, ofRate);
}

double admission::MoreUrgentShare(const urgency& aUrgency, common::boot_time aNow) const
{
  double share = 0;
  for (const auto& [urgency, load] : mOfferedLoads) {
    share += urgency < aUrgency ? Share(load.DecayedTo(aNow)) : 0;
  }
  return std::min(share, kMaxMoreUrgentShare);
}

double admission::LessUrgentShare(const urgency& aUrgency, common::boot_time aNow) const
{
  double share = 0;
  for (const auto& [urgency, load] : mOfferedLoads) {
    share += urgency > aUrgency ? Share(load.DecayedTo(aNow)) : 0;
  }
  return share;
}

common::microseconds admission::ExpectedWait(const urgency& aUrgency, common::boot_time aNow) const
{
  if (mSlots == 0) {
    return common::microseconds::max();
  }
  if (MayStart(aNow) && mWaiting.empty()) {
    return common::microseconds(0);
  }
  // Work ahead: the rest of the running requests, and queued requests that are at least as urgent.
  common::microseconds work{ 0 };
  for (const auto& [id, running] : mRunning) {
    common::microseconds serviceTime = NormalTime(running.request.work);
    common::microseconds spent = mSpeed.Spent(running.startedAt, running.startProgress, aNow);
    work += std::max(serviceTime - spent, serviceTime / 4);
  }
  size_t ahead = 0;
  for (const auto& [key, waiting] : mWaiting) {
    if (key.urgency <= aUrgency) {
      work += NormalTime(waiting.request.work);
      ++ahead;
    }
  }
  bool slotFree = mRunning.size() + ahead < mSlots;
  common::microseconds forSlot =
    slotFree ? common::microseconds(0) : mSpeed.Duration(work / mSlots, aNow);
  common::microseconds wait = std::max(forSlot, mRate.WaitBehind(ahead, aNow));
  return Scale(wait, 1 / (1 - MoreUrgentShare(aUrgency, aNow)));
}

bool admission::IsTooSlow(const admission_request& aRequest, common::boot_time aNow) const
{
  return aRequest.onlyIfFree && aRequest.usualTime.count() > 0 && mSpeed.Known(aNow) &&
         ExpectedTime(aRequest.work, aNow) > Scale(aRequest.usualTime, kTooSlow);
}

admission_decision admission::Offer(const admission_request& aRequest, common::boot_time aNow)
{
  admission_decision decision;
  decision.id = ++mLastId;
  if (MayStart(aNow) && mWaiting.empty()) {
    if (IsTooSlow(aRequest, aNow)) {
      decision.verdict = admission_verdict::kBusy;
      decision.expectedCompletion = ExpectedTime(aRequest.work, aNow);
      return decision;
    }
    RecordArrival(aRequest, aNow);
    Start(decision.id, aRequest, aNow);
    decision.verdict = admission_verdict::kStart;
    return decision;
  }
  // A query for a free slot may go to several gates; the request counts only at the gate that
  // queues or runs it.
  if (!aRequest.onlyIfFree) {
    RecordArrival(aRequest, aNow);
  }
  urgency requestUrgency = UrgencyOf(aRequest);
  decision.expectedWait = ExpectedWait(requestUrgency, aNow);
  common::microseconds serviceTime = ExpectedTime(aRequest.work, aNow, decision.expectedWait);
  bool canMeetTarget = aNow + serviceTime <= aRequest.target;
  bool mayQueue = LessUrgentShare(requestUrgency, aNow) > kMinLessUrgentShare ||
                  (canMeetTarget ? aNow + decision.expectedWait + serviceTime <= aRequest.target
                                 : decision.expectedWait <= Scale(serviceTime, kMaxLateWaitShare));
  bool canMeetDeadline =
    mSlots > 0 && aNow + decision.expectedWait + serviceTime <= aRequest.deadline;
  if (!mayQueue || !canMeetDeadline) {
    return decision;
  }
  if (aRequest.onlyIfFree) {
    decision.verdict = admission_verdict::kBusy;
    if (mSpeed.Known(aNow)) {
      decision.expectedCompletion = decision.expectedWait + serviceTime;
    }
    return decision;
  }
  order_key key{ requestUrgency, decision.id };
  mWaiting[key] = { aRequest, {}, {} };
  mWaitingKeys.emplace(decision.id, key);
  decision.verdict = admission_verdict::kWait;
  return decision;
}

void admission::Start(admission_id aId, const admission_request& aRequest, common::boot_time aNow)
{
  mRunning[aId] = { aRequest, aNow, mSpeed.Progress(aNow) };
  mRate.OnStarted(aNow);
}

unsigned admission::UsableSlots() const
{
  std::optional<request_rate> limit = mRate.Limit();
  if (!limit.has_value() || mMeanServiceTime.count() == 0) {
    return mSlots;
  }
  std::chrono::duration<double> serviceTime = mMeanServiceTime;
  double slots = limit->PerSecond() * serviceTime.count();
  return unsigned(std::clamp(slots, 1.0, std::max(1.0, double(mSlots))));
}

void admission::OnFinished(admission_id aId, bool aServed, common::boot_time aNow)
{
  auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  if (aServed) {
    auto spent = std::chrono::duration_cast<common::microseconds>(aNow - found->second.startedAt);
    mServiceTimes.Add(found->second.request.work, spent);
    mSpeed.OnServed(found->second.request.work, found->second.startedAt,
                    found->second.startProgress, aNow);
    mMeanServiceTime = WeightedMean(mMeanServiceTime, spent);
  }
  mRunning.erase(found);
}

void admission::OnCancelled(admission_id aId)
{
  auto found = mWaitingKeys.find(aId);
  if (found != mWaitingKeys.end()) {
    mWaiting.erase(found->second);
    mWaitingKeys.erase(found);
  }
}

std::optional<admission_id> admission::Next(common::boot_time aNow)
{
  if (mWaiting.empty() || !MayStart(aNow)) {
    return std::nullopt;
  }
  auto first = mWaiting.begin();
  admission_id id = first->first.id;
  Start(id, first->second.request, aNow);
  mWaiting.erase(first);
  mWaitingKeys.erase(id);
  return id;
}

std::vector<admission_id> admission::TakeUnservable(common::boot_time aNow)
{
  std::vector<admission_id> unservable;
  for (const auto& [key, waiting] : mWaiting) {
    common::microseconds needed = Scale(ExpectedTime(waiting.request.work, aNow), kUnservableShare);
    if (aNow + needed > waiting.request.deadline) {
      unservable.push_back(key.id);
    }
  }
  for (admission_id id : unservable) {
    OnCancelled(id);
  }
  return unservable;
}

std::vector<admission_id> admission::TakeAll()
{
  std::vector<admission_id> all;
  for (const auto& [key, waiting] : mWaiting) {
    all.push_back(key.id);
  }
  mWaiting.clear();
  mWaitingKeys.clear();
  return all;
}

} // namespace bamboograde::request
