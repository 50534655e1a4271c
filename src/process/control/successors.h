// Finds sessions that can take over slices of another session.
#pragma once

#include "process/control/map_gossip.h"

namespace bamboograde::process::control {

// A session that accepts slices, with its row and the row's version at the time of its response.
struct successor
{
  version::session_row_ptr row;
  common::row_version version;
};

constexpr size_t kMaxSuccessors = 4;

// Queries sessions of the service, those with the fewest slices first, and reports at most aCount
// that accept slices. Sessions in aExcept are not queried.
void FindSuccessors(context& aContext, const map_gossip& aMap, const common::service_name& aService,
                    const std::vector<common::session_id>& aExcept, size_t aCount,
                    std::function<void(std::vector<successor>)> aCallback);

// Adds to the transaction a write of the successor's row with the slices appended, conditional on
// the row's version. Returns the new row.
boost::intrusive_ptr<version::session_row> AddSlices(
  const successor& aSuccessor, const std::vector<version::owned_slice>& aSlices,
  connection::transaction* aTransaction);

} // namespace bamboograde::process::control
