#include "request/admission.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

// Weight of the newest sample in the mean of service times.
constexpr double kSampleWeight = 0.1;
// Before the first sample of a class. Low, so that nothing is rejected for a guess.
constexpr common::microseconds kUnknownServiceTime{ 20000 };
// A request is hopeless when less than this share of its usual time is left: some run faster than
// the mean.
constexpr double kHopelessShare = 0.7;

common::microseconds Scale(common::microseconds aTime, double aFactor)
{
  return common::microseconds(int64_t(double(aTime.count()) * aFactor));
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

admission::order_key admission::KeyOf(const entry& aEntry) const
{
  return { aEntry.request.rank, aEntry.late, aEntry.latestStart, aEntry.ticket };
}

common::microseconds admission::ExpectedWait(const order_key& aKey, common::boot_time aNow) const
{
  if (mSlots == 0) {
    return common::microseconds::max();
  }
  if (mRunning.size() < mSlots && mWaiting.empty()) {
    return common::microseconds(0);
  }
  // Work in front: what is left of the running requests, and the waiting ones that sort earlier.
  common::microseconds work{ 0 };
  for (const auto& [ticket, running] : mRunning) {
    common::microseconds usual = ServiceTime(running.request.work);
    auto spent = std::chrono::duration_cast<common::microseconds>(aNow - running.startedAt);
    work += std::max(usual - spent, usual / 4);
  }
  for (auto waiting = mWaiting.begin(); waiting != mWaiting.end() && waiting->first < aKey;
       ++waiting) {
    work += ServiceTime(waiting->second.request.work);
  }
  return work / mSlots;
}

admission_decision admission::Offer(const admission_request& aRequest, common::boot_time aNow)
{
  admission_decision decision;
  common::microseconds usual = ServiceTime(aRequest.work);
  entry candidate;
  candidate.request = aRequest;
  candidate.ticket = ++mLastTicket;
  candidate.latestStart = aRequest.target - usual;
  candidate.late = candidate.latestStart < aNow;
  if (candidate.late) {
    candidate.latestStart = aRequest.deadline - usual;
  }
  decision.ticket = candidate.ticket;
  if (mRunning.size() < mSlots && mWaiting.empty()) {
    candidate.startedAt = aNow;
    mRunning.emplace(candidate.ticket, std::move(candidate));
    decision.verdict = admission_verdict::kStart;
    return decision;
  }
  order_key key = KeyOf(candidate);
  decision.expectedWait = ExpectedWait(key, aNow);
  if (mSlots == 0 || aNow + decision.expectedWait + usual > aRequest.deadline) {
    return decision;
  }
  mWaitingKeys.emplace(candidate.ticket, key);
  mWaiting.emplace(key, std::move(candidate));
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

// Moves requests that can no longer make their target behind those of their rank that can.
void admission::Demote(common::boot_time aNow)
{
  std::vector<order_key> missed;
  for (const auto& [key, waiting] : mWaiting) {
    if (!key.late && key.latestStart < aNow) {
      missed.push_back(key);
    }
  }
  for (const order_key& key : missed) {
    auto node = mWaiting.extract(key);
    entry& waiting = node.mapped();
    waiting.late = true;
    waiting.latestStart = waiting.request.deadline - ServiceTime(waiting.request.work);
    node.key() = KeyOf(waiting);
    mWaitingKeys[waiting.ticket] = node.key();
    mWaiting.insert(std::move(node));
  }
}

std::optional<ticket_number> admission::Next(common::boot_time aNow)
{
  if (mWaiting.empty() || mRunning.size() >= mSlots) {
    return std::nullopt;
  }
  Demote(aNow);
  auto node = mWaiting.extract(mWaiting.begin());
  entry& chosen = node.mapped();
  ticket_number ticket = chosen.ticket;
  mWaitingKeys.erase(ticket);
  chosen.startedAt = aNow;
  mRunning.emplace(ticket, std::move(chosen));
  return ticket;
}

std::vector<ticket_number> admission::TakeHopeless(common::boot_time aNow)
{
  std::vector<ticket_number> hopeless;
  for (const auto& [key, waiting] : mWaiting) {
    common::microseconds needed = Scale(ServiceTime(waiting.request.work), kHopelessShare);
    if (aNow + needed > waiting.request.deadline) {
      hopeless.push_back(waiting.ticket);
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
    all.push_back(waiting.ticket);
  }
  mWaiting.clear();
  mWaitingKeys.clear();
  return all;
}

} // namespace bamboograde::request
