#include "process/sidecar/key_heirs.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

std::vector<version::heir> UsableHeirs(const runtime& aRuntime,
                                       const request::placement& aPlacement,
                                       const version::key_map& aMap, const std::string& aFrom)
{
  std::vector<version::heir> heirs;
  common::boot_time now = aRuntime.Now();
  for (const version::key_owner& owner : aMap.owners) {
    const version::member* member = aRuntime.fleet.Members().Find(owner.vm);
    bool usable = owner.vm != aFrom && member != nullptr && member->Serves(aMap.service) &&
                  !aPlacement.IsAvoided(owner.vm, now);
    if (usable) {
      heirs.push_back({ owner.vm, std::max(member->slots, 1U) });
    }
  }
  return heirs;
}

} // namespace bamboograde::process::sidecar
