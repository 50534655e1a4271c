// One immutable version of the map from slices to the sessions that own them, for routing.
#pragma once

#include "version/session_row.h"

#include <map>

namespace bamboograde::version {

// The owner of one slice.
struct route
{
  slice_range range;
  common::slice_epoch epoch;
  session_row_ptr owner;
};

// The routes of one service in order of their ranges. Shared between versions of the map.
class service_routes
  : public boost::intrusive_ref_counter<service_routes, boost::thread_safe_counter>
{
public:
  // If two rows list the same slice, the route is to the owner with the higher epoch. Two rows list
  // it while a change of owner propagates, because the rows of the old and the new owner arrive
  // separately.
  explicit service_routes(std::vector<session_row_ptr> aSessions);
  // Null when no session owns a slice that contains aHash.
  const route* Find(common::key_hash aHash) const;
  const std::vector<route>& Routes() const { return mRoutes; }
  const std::vector<session_row_ptr>& Sessions() const { return mSessions; }

private:
  std::vector<session_row_ptr> mSessions;
  std::vector<route> mRoutes;
};

using service_routes_ptr = boost::intrusive_ptr<const service_routes>;

class routing_map : public boost::intrusive_ref_counter<routing_map, boost::thread_safe_counter>
{
public:
  routing_map() = default;
  explicit routing_map(std::map<common::service_name, service_routes_ptr> aServices);
  const route* Find(const common::service_name& aService, common::key_hash aHash) const;
  const std::map<common::service_name, service_routes_ptr>& Services() const { return mServices; }

private:
  std::map<common::service_name, service_routes_ptr> mServices;
};

using routing_map_ptr = boost::intrusive_ptr<const routing_map>;

} // namespace bamboograde::version
