#include "process/control/limit_allocator.h"

#include <algorithm>
#include <vector>

namespace bamboograde::process::control {

namespace {

// A share that is off by less than this part of the limit waits for the next claim; so no more than
// twenty sessions are prompted to give back and twenty to take.
constexpr double kMuch = 0.05;

// A share that falls below this part of the former one is told back.
constexpr double kGivesBack = 0.95;

} // namespace

bool GivesBack(double aFormerPerSecond, double aPerSecond)
{
  return aPerSecond < aFormerPerSecond * kGivesBack;
}

double limit_allocator::Grant(const common::row_id& aRow, double aLimitPerSecond,
                              const limit_claim& aClaim,
                              const std::set<common::session_id>& aSessions, common::boot_time aNow)
{
  auto [found, isNew] = mRows.try_emplace(aRow);
  row_state& state = found->second;
  if (isNew) {
    state.learningUntil = aNow + kLimitTerm;
  }
  share& own = state.shares[aClaim.session];
  own.demand = aClaim.demandPerSecond;
  own.claimedAt = aNow;
  std::erase_if(own.grants, [&](const grant& aItem) { return aItem.sequence < aClaim.applied; });
  bool holdsEarlierShare = aClaim.heldFor > common::microseconds(0);
  if (state.claimed.insert(aClaim.session).second && holdsEarlierShare) {
    own.grants.push_back({ aClaim.applied, aClaim.heldPerSecond, aNow + aClaim.heldFor });
  }
  Expire(&state, aNow);
  double others = 0;
  for (const auto& [session, other] : state.shares) {
    others += session == aClaim.session ? 0 : other.Largest();
  }
  double granted = std::min(FairShare(state, aLimitPerSecond, own), aLimitPerSecond - others);
  state.learning = IsLearning(state, aSessions, aNow);
  if (state.learning) {
    // Raising a share now could exceed the limit together with shares that are not known yet.
    granted = std::min(granted, holdsEarlierShare ? aClaim.heldPerSecond : 0);
  }
  granted = std::max(0.0, granted);
  // A grant that is not larger and ends earlier adds nothing to what may be in use.
  std::erase_if(own.grants, [&](const grant& aItem) { return aItem.perSecond <= granted; });
  own.grants.push_back({ aClaim.sequence, granted, aNow + kLimitTerm });
  return granted;
}

std::vector<common::session_id> limit_allocator::Prompts(const common::row_id& aRow,
                                                         double aLimitPerSecond,
                                                         const common::session_id& aClaimant,
                                                         common::boot_time aNow)
{
  std::vector<common::session_id> prompted;
  auto found = mRows.find(aRow);
  if (found == mRows.end() || found->second.learning) {
    return prompted;
  }
  row_state& state = found->second;
  double free = aLimitPerSecond;
  for (const auto& [session, item] : state.shares) {
    free -= item.Largest();
  }
  double much = aLimitPerSecond * kMuch;
  for (auto& [session, item] : state.shares) {
    double missing = FairShare(state, aLimitPerSecond, item) - item.Newest();
    bool worthIt = missing < -much || (missing > much && free > much);
    if (session != aClaimant && worthIt && aNow >= item.promptedAt + kPromptPause) {
      item.promptedAt = aNow;
      prompted.push_back(session);
    }
  }
  return prompted;
}

bool limit_allocator::IsLearning(const row_state& aState,
                                 const std::set<common::session_id>& aSessions,
                                 common::boot_time aNow)
{
  return aNow < aState.learningUntil && !std::includes(aState.claimed.begin(), aState.claimed.end(),
                                                       aSessions.begin(), aSessions.end());
}

double limit_allocator::share::Largest() const
{
  double largest = 0;
  for (const grant& item : grants) {
    largest = std::max(largest, item.perSecond);
  }
  return largest;
}

void limit_allocator::Expire(row_state* aState, common::boot_time aNow)
{
  for (auto& [session, item] : aState->shares) {
    std::erase_if(item.grants, [&](const grant& aGrant) { return aGrant.until <= aNow; });
  }
  std::erase_if(aState->shares, [&](const auto& aItem) {
    return aItem.second.grants.empty() && aItem.second.claimedAt != aNow;
  });
}

double limit_allocator::FairShare(const row_state& aState, double aLimit, const share& aOwn)
{
  std::vector<double> demands;
  double sum = 0;
  for (const auto& [session, item] : aState.shares) {
    demands.push_back(item.demand);
    sum += item.demand;
  }
  auto count = double(demands.size());
  if (sum <= aLimit) {
    return aOwn.demand + (aLimit - sum) / count;
  }
  // Max-min fairness: small demands are met in full, the others share what is left evenly.
  std::sort(demands.begin(), demands.end());
  double left = aLimit;
  for (double demand : demands) {
    double even = left / count;
    if (demand > even) {
      return std::min(aOwn.demand, even);
    }
    left -= demand;
    count -= 1;
  }
  return aOwn.demand;
}

} // namespace bamboograde::process::control
