#include "request/placement_search.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

// Maximum number of gates that are queried for a free slot. With nine of ten slots in use, five
// queries find a free one for nearly every request.
constexpr unsigned kMaxQueries = 6;
constexpr unsigned kMaxSameZoneQueries = 4;
constexpr unsigned kMaxQueriesWhenRare = 2;
// Maximum number of gates that are tried for queueing, one after the other.
constexpr unsigned kMaxWaits = 2;

bool IsInSameZone(const placement_candidate& aCandidate)
{
  return aCandidate.networkDistance != distance::kOtherZone;
}

} // namespace

std::optional<placement_step> placement_search::Next(
  const std::vector<placement_candidate>& aCandidates, common::boot_time aNow)
{
  unsigned maxQueries = mPlacement.FreeSlotsAreRare() ? kMaxQueriesWhenRare : kMaxQueries;
  if (mQueries < maxQueries) {
    std::optional<placement_step> step;
    if (mQueries < kMaxSameZoneQueries) {
      step = QueryFreeSlot(aCandidates, true, aNow);
    }
    if (!step.has_value()) {
      step = QueryFreeSlot(aCandidates, false, aNow);
    }
    if (step.has_value()) {
      ++mQueries;
      return step;
    }
    mQueries = kMaxQueries;
  }
  if (mWaits < kMaxWaits) {
    ++mWaits;
    return Wait(aCandidates);
  }
  return std::nullopt;
}

std::optional<placement_step> placement_search::QueryFreeSlot(
  const std::vector<placement_candidate>& aCandidates, bool aSameZone, common::boot_time aNow) const
{
  std::vector<placement_candidate> untried;
  std::vector<size_t> indexes;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const placement_candidate& candidate = aCandidates[i];
    bool tried = mBusy.count(candidate.vm) > 0 || mRefused.count(candidate.vm) > 0;
    if (IsInSameZone(candidate) == aSameZone && !tried &&
        !mPlacement.IsAvoided(candidate.vm, aNow)) {
      untried.push_back(candidate);
      indexes.push_back(i);
    }
  }
  if (untried.empty()) {
    return std::nullopt;
  }
  return placement_step{ indexes[mPlacement.Choose(untried, aNow)], true };
}

std::optional<placement_step> placement_search::Wait(
  const std::vector<placement_candidate>& aCandidates) const
{
  std::optional<placement_step> best;
  common::microseconds shortest{ 0 };
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const std::string& vm = aCandidates[i].vm;
    auto found = mBusy.find(vm);
    bool usable = found != mBusy.end() && mRefused.count(vm) == 0;
    if (usable && (!best.has_value() || found->second < shortest)) {
      best = placement_step{ i, false };
      shortest = found->second;
    }
  }
  return best;
}

void placement_search::OnBusy(const std::string& aVm, common::microseconds aWait,
                              common::microseconds aCompletion)
{
  mBusy[aVm] = aCompletion.count() > 0 ? aCompletion : aWait + mUsualTime;
  bool hasFreeSlot = aWait.count() == 0 && aCompletion.count() > 0;
  mPlacement.OnFreeSlotQuery(hasFreeSlot);
}

void placement_search::OnRefused(const std::string& aVm)
{
  mRefused.insert(aVm);
}

void placement_search::Restart(bool aMayWait)
{
  mBusy.clear();
  mQueries = 0;
  mWaits = aMayWait ? 0 : kMaxWaits;
}

} // namespace bamboograde::request
