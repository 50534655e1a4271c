#include "version/routing_map.h"

#include <algorithm>

namespace bamboograde::version {

service_routes::service_routes(std::vector<session_row_ptr> aSessions)
  : mSessions(std::move(aSessions))
{
  std::vector<route> candidates;
  for (const session_row_ptr& session : mSessions) {
    for (const owned_slice& slice : session->slices) {
      candidates.push_back({ slice.range, slice.epoch, session });
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const route& aLeft, const route& aRight) {
    if (aLeft.range.first != aRight.range.first) {
      return aLeft.range.first < aRight.range.first;
    }
    return aLeft.epoch > aRight.epoch;
  });
  for (route& candidate : candidates) {
    bool overlaps = !mRoutes.empty() && candidate.range.first <= mRoutes.back().range.last;
    if (!overlaps) {
      mRoutes.push_back(std::move(candidate));
    } else if (candidate.epoch > mRoutes.back().epoch) {
      mRoutes.back() = std::move(candidate);
    }
  }
}

const route* service_routes::Find(common::key_hash aHash) const
{
  auto after = std::upper_bound(
    mRoutes.begin(), mRoutes.end(), aHash,
    [](common::key_hash aPosition, const route& aRoute) { return aPosition < aRoute.range.first; });
  if (after == mRoutes.begin()) {
    return nullptr;
  }
  const route& candidate = *(after - 1);
  return candidate.range.Contains(aHash) ? &candidate : nullptr;
}

routing_map::routing_map(std::map<common::service_name, service_routes_ptr> aServices)
  : mServices(std::move(aServices))
{
}

const route* routing_map::Find(const common::service_name& aService, common::key_hash aHash) const
{
  auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : found->second->Find(aHash);
}

} // namespace bamboograde::version
