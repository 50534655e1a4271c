#include "request/placement_search.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

// Gates that are asked for a free slot, at most so many of them in the own zone. With nine of ten
// slots in use, five questions find a free one for nearly every request.
constexpr unsigned kQuestions = 6;
constexpr unsigned kNearQuestions = 4;
constexpr unsigned kQuestionsWhenRare = 2;
// Gates at which a request waits, one after the other.
constexpr unsigned kWaits = 2;

bool IsNear(const placement_candidate& aCandidate)
{
  return aCandidate.away != distance::kOtherZone;
}

} // namespace

std::optional<placement_step> placement_search::Next(
  const std::vector<placement_candidate>& aCandidates, common::boot_time aNow)
{
  unsigned most = mPlacement.FreeIsRare() ? kQuestionsWhenRare : kQuestions;
  if (mAsked < most) {
    std::optional<placement_step> step;
    if (mAsked < kNearQuestions) {
      step = AskForFree(aCandidates, true, aNow);
    }
    if (!step.has_value()) {
      step = AskForFree(aCandidates, false, aNow);
    }
    if (step.has_value()) {
      ++mAsked;
      return step;
    }
    mAsked = kQuestions;
  }
  if (mWaited < kWaits) {
    ++mWaited;
    return Wait(aCandidates);
  }
  return std::nullopt;
}

std::optional<placement_step> placement_search::AskForFree(
  const std::vector<placement_candidate>& aCandidates, bool aNear, common::boot_time aNow) const
{
  std::vector<placement_candidate> open;
  std::vector<size_t> indexes;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const placement_candidate& candidate = aCandidates[i];
    bool asked = mBusy.count(candidate.vm) > 0 || mRefused.count(candidate.vm) > 0;
    if (IsNear(candidate) == aNear && !asked && !mPlacement.IsAvoided(candidate.vm, aNow)) {
      open.push_back(candidate);
      indexes.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  return placement_step{ indexes[mPlacement.Choose(open, aNow)], true };
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

void placement_search::OnBusy(const std::string& aVm, common::microseconds aWait)
{
  mBusy[aVm] = aWait;
  mPlacement.OnAsked(false);
}

void placement_search::OnRefused(const std::string& aVm)
{
  mRefused.insert(aVm);
}

void placement_search::Restart(bool aMayWait)
{
  mBusy.clear();
  mAsked = 0;
  mWaited = aMayWait ? 0 : kWaits;
}

} // namespace bamboograde::request
