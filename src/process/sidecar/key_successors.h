// Selects the successors that can take over keys from an owner.
#pragma once

#include "process/sidecar/runtime.h"
#include "request/placement.h"
#include "version/key_plan.h"

namespace bamboograde::process::sidecar {

// Owners in the map, other than aFrom, whose upstream accepts requests and whose daemon is not
// avoided by placement. In random order, so that ties in utilization are broken differently each
// time.
std::vector<version::successor> UsableSuccessors(const runtime& aRuntime,
                                                 const request::placement& aPlacement,
                                                 const version::key_map& aMap,
                                                 const std::string& aFrom);

// The least utilized of these, limited to the number among which one owner's keys are divided.
std::vector<version::successor> LeastUsedSuccessors(const runtime& aRuntime,
                                                    const request::placement& aPlacement,
                                                    const version::key_map& aMap,
                                                    const std::string& aFrom);

} // namespace bamboograde::process::sidecar
