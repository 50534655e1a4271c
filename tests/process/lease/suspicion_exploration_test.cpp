// Randomized simulation of takeovers without witnesses. With all guards enabled no key ever has two
// holders; with any one of them disabled some seed leads to two holders.

#include "process/lease/suspicion_simulation.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace bamboograde;
using tests::suspicion_guard;

namespace {

constexpr size_t kSteps = 2000;
constexpr uint64_t kDefaultSeeds = 600;
// Number of seeds, for longer runs by hand.
constexpr char kSeedsVariable[] = "BAMBOOGRADE_EXPLORATION_SEEDS";

tests::suspicion_exploration Explore(uint64_t aSeeds, suspicion_guard aDisabledGuard)
{
  tests::suspicion_exploration total;
  for (uint64_t seed = 0; seed < aSeeds && total.twoHolders == 0; ++seed) {
    tests::suspicion_exploration one =
      tests::suspicion_simulation(seed, aDisabledGuard).Run(kSteps);
    total.steps += one.steps;
    total.takeovers += one.takeovers;
    total.withdrawals += one.withdrawals;
    total.heldWithoutPlatform += one.heldWithoutPlatform;
    total.twoHolders += one.twoHolders;
    if (one.twoHolders > 0) {
      cr_log_info("guard %d: two holders with seed %lu", int(aDisabledGuard), (unsigned long)seed);
    }
  }
  return total;
}

} // namespace

Test(suspicion_exploration, a_key_never_has_two_holders)
{
  const char* seeds = std::getenv(kSeedsVariable);
  uint64_t count = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  auto total = Explore(count, suspicion_guard::kNone);
  cr_log_info("steps=%lu takeovers=%lu withdrawals=%lu held_without_platform=%lu two_holders=%lu",
              (unsigned long)total.steps, (unsigned long)total.takeovers,
              (unsigned long)total.withdrawals, (unsigned long)total.heldWithoutPlatform,
              (unsigned long)total.twoHolders);
  cr_assert_eq(total.twoHolders, 0U);
  // The simulated schedules must lead to takeovers often, and to leases that outlast the platform.
  cr_assert_gt(total.takeovers, count);
  cr_assert_gt(total.withdrawals, count);
  cr_assert_gt(total.heldWithoutPlatform, count);
}

Test(suspicion_exploration, each_disabled_guard_gives_two_holders)
{
  constexpr suspicion_guard kGuards[] = {
    suspicion_guard::kHolderTerm,  suspicion_guard::kTakerTerm,
    suspicion_guard::kUniqueId,    suspicion_guard::kSentAt,
    suspicion_guard::kRelayedAge,  suspicion_guard::kKnownMap,
    suspicion_guard::kAllOwners,   suspicion_guard::kOwnersMap,
    suspicion_guard::kUnsuspected, suspicion_guard::kCondition,
    suspicion_guard::kDrift,       suspicion_guard::kConfirmedSinceStart
  };
  for (suspicion_guard guard : kGuards) {
    cr_expect_gt(Explore(kDefaultSeeds, guard).twoHolders, 0U, "guard %d", int(guard));
  }
}
