#include "process/control/limit_allocator.h"

#include <algorithm>
#include <vector>

namespace bamboograde::process::control {

namespace {

// Sessions are prompted only if their share differs from their fair share by more than this
// fraction of the limit. Both the shares and the fair shares add up to the limit at most, so no
// more than twenty sessions are prompted to reduce their share, and twenty to raise it.
constexpr double kMinChangeRatio = 0.05;

// A reduction to less than this fraction of the former share is confirmed by another claim.
constexpr double kReductionRatio = 0.95;

} // namespace

bool ShouldConfirmReduction(double aFormerPerSecond, double aPerSecond)
{
  return aPerSecond < aFormerPerSecond * kReductionRatio;
}

double limit_allocator::Grant(const common::row_id& aRow, double aLimitPerSecond,
                              const limit_claim& aClaim,
                              const std::set<common::session_id>& aSessions, common::boot_time aNow)
{
  auto [found, isNew] = mRows.try_emplace(aRow);
  row_state& state = found->second;
  if (isNew) {
    state.learningUntil = aNow + kShareTerm;
  }
  share& own = state.shares[aClaim.session];
  own.demand = aClaim.demandPerSecond;
  own.claimedAt = aNow;
  std::erase_if(own.grants, [&](const grant& aItem) { return aItem.sequence < aClaim.applied; });
  bool holdsEarlierShare = aClaim.heldFor > common::microseconds(0);
  if (state.claimed.insert(aClaim.session).second && holdsEarlierShare) {
    own.grants.push_back({ aClaim.applied, aClaim.heldPerSecond, aNow + aClaim.heldFor });
  }
  RemoveExpired(&state, aNow);
  double grantedToOthers = 0;
  for (const auto& [session, other] : state.shares) {
    grantedToOthers += session == aClaim.session ? 0 : other.LargestGrant();
  }
  double granted =
    std::min(FairShare(state, aLimitPerSecond, own), aLimitPerSecond - grantedToOthers);
  state.learning = IsLearning(state, aSessions, aNow);
  if (state.learning) {
    // Shares that have not been reported yet could exceed the limit together with a raised share.
    granted = std::min(granted, holdsEarlierShare ? aClaim.heldPerSecond : 0);
  }
  granted = std::max(0.0, granted);
  // An earlier grant that is not larger than the new one also ends earlier, so it can not increase
  // what the session may use.
  std::erase_if(own.grants, [&](const grant& aItem) { return aItem.perSecond <= granted; });
  own.grants.push_back({ aClaim.sequence, granted, aNow + kShareTerm });
  return granted;
}

std::vector<common::session_id> limit_allocator::SessionsToPrompt(
  const common::row_id& aRow, double aLimitPerSecond, const common::session_id& aClaimant,
  common::boot_time aNow)
{
  std::vector<common::session_id> prompted;
  auto found = mRows.find(aRow);
  if (found == mRows.end() || found->second.learning) {
    return prompted;
  }
  row_state& state = found->second;
  double unused = aLimitPerSecond;
  for (const auto& [session, item] : state.shares) {
    unused -= item.LargestGrant();
  }
  double minChange = aLimitPerSecond * kMinChangeRatio;
  for (auto& [session, item] : state.shares) {
    double deficit = FairShare(state, aLimitPerSecond, item) - item.NewestGrant();
    bool shouldPrompt = deficit < -minChange || (deficit > minChange && unused > minChange);
    if (session != aClaimant && shouldPrompt && aNow >= item.promptedAt + kMinPromptInterval) {
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

double limit_allocator::share::LargestGrant() const
{
  double largest = 0;
  for (const grant& item : grants) {
    largest = std::max(largest, item.perSecond);
  }
  return largest;
}

void limit_allocator::RemoveExpired(row_state* aState, common::boot_time aNow)
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
  // Max-min fairness: small demands are met in full, the others share the remainder evenly.
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
