#include "process/sidecar/key_successors.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// Maximum number of successors of one owner: enough that the additional load of each stays small,
// few enough that the map change stays small in a large fleet.
constexpr size_t kMaxSuccessors = 6;
// Assumed for an owner without a recent load report.
constexpr double kAssumedUtilization = 0.5;

} // namespace

std::vector<version::successor> UsableSuccessors(const runtime& aRuntime,
                                                 const request::placement& aPlacement,
                                                 const version::key_map& aMap,
                                                 const std::string& aFrom)
{
  std::vector<version::successor> successors;
  std::vector<version::successor> coldSuccessors;
  common::boot_time now = aRuntime.Now();
  for (const version::key_owner& owner : aMap.owners) {
    const version::member* member = aRuntime.fleet.Members().Find(owner.vm);
    bool usable = owner.vm != aFrom && member != nullptr && member->Serves(aMap.service) &&
                  !aRuntime.fleet.IsEvacuated(member->zone) && !aPlacement.IsAvoided(owner.vm, now);
    if (usable) {
      auto& list = member->cold ? coldSuccessors : successors;
      list.push_back({ owner.vm, std::max(member->slots, 1U),
                       aPlacement.Utilization(owner.vm, now).value_or(kAssumedUtilization) });
    }
  }
  if (successors.empty()) {
    successors.swap(coldSuccessors);
  }
  common::Shuffle(&successors, aRuntime.random);
  return successors;
}

std::vector<version::successor> LeastUsedSuccessors(const runtime& aRuntime,
                                                    const request::placement& aPlacement,
                                                    const version::key_map& aMap,
                                                    const std::string& aFrom)
{
  return version::LeastUsed(UsableSuccessors(aRuntime, aPlacement, aMap, aFrom), kMaxSuccessors);
}

} // namespace bamboograde::process::sidecar
