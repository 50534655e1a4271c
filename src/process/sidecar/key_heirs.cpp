#include "process/sidecar/key_heirs.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// The keys of one owner are divided among this many others at most: enough that none of them gets
// much more than it had, few enough that the change stays small in a large fleet.
constexpr size_t kMostHeirs = 6;
// Assumed of an owner that was not heard of lately.
constexpr double kUnknownUse = 0.5;

} // namespace

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
      heirs.push_back({ owner.vm, std::max(member->slots, 1U),
                        aPlacement.Use(owner.vm, now).value_or(kUnknownUse) });
    }
  }
  common::Shuffle(&heirs, aRuntime.random);
  return heirs;
}

std::vector<version::heir> FewHeirs(const runtime& aRuntime, const request::placement& aPlacement,
                                    const version::key_map& aMap, const std::string& aFrom)
{
  return version::LeastUsed(UsableHeirs(aRuntime, aPlacement, aMap, aFrom), kMostHeirs);
}

} // namespace bamboograde::process::sidecar
