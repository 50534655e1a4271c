// Which owners can take keys over from another.
#pragma once

#include "process/sidecar/runtime.h"
#include "request/placement.h"
#include "version/key_plan.h"

namespace bamboograde::process::sidecar {

// The owners of the map, other than aFrom, whose upstream takes work and whose daemon was not lost
// lately. In random order, so that equally used ones are not always chosen alike.
std::vector<version::heir> UsableHeirs(const runtime& aRuntime,
                                       const request::placement& aPlacement,
                                       const version::key_map& aMap, const std::string& aFrom);

// The few of them among which the keys of one owner are divided.
std::vector<version::heir> FewHeirs(const runtime& aRuntime, const request::placement& aPlacement,
                                    const version::key_map& aMap, const std::string& aFrom);

} // namespace bamboograde::process::sidecar
