// Randomized simulation of keys granted by calls. With all guards enabled no key ever has two
// holders; with any one of them disabled some seed leads to two holders.

#include "process/sidecar/grant_simulation.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace bamboograde;
using tests::grant_guard;

namespace {

constexpr size_t kSteps = 1500;
constexpr uint64_t kDefaultSeeds = 2000;
// Number of seeds, for longer runs by hand.
constexpr char kSeedsVariable[] = "BAMBOOGRADE_EXPLORATION_SEEDS";

tests::grant_exploration Explore(uint64_t aSeeds, grant_guard aDisabledGuard)
{
  tests::grant_exploration total;
  for (uint64_t seed = 0; seed < aSeeds && total.twoHolders == 0; ++seed) {
    tests::grant_simulation simulation(seed, aDisabledGuard);
    tests::grant_exploration one = simulation.Run(kSteps);
    total.steps += one.steps;
    total.moves += one.moves;
    total.takeovers += one.takeovers;
    total.calls += one.calls;
    total.twoHolders += one.twoHolders;
    if (one.twoHolders > 0) {
      cr_log_info("guard %d: two holders with seed %lu", int(aDisabledGuard), (unsigned long)seed);
    }
  }
  return total;
}

} // namespace

Test(grant_exploration, a_key_never_has_two_holders)
{
  const char* seeds = std::getenv(kSeedsVariable);
  uint64_t count = seeds == nullptr ? kDefaultSeeds : std::strtoull(seeds, nullptr, 10);
  auto total = Explore(count, grant_guard::kNone);
  cr_log_info("steps=%lu calls=%lu moves=%lu takeovers=%lu two_holders=%lu",
              (unsigned long)total.steps, (unsigned long)total.calls, (unsigned long)total.moves,
              (unsigned long)total.takeovers, (unsigned long)total.twoHolders);
  cr_assert_eq(total.twoHolders, 0U);
  // The simulated schedules must lead to moves and takeovers often.
  cr_assert_gt(total.moves, 10 * count);
  cr_assert_gt(total.takeovers, count);
}

Test(grant_exploration, each_disabled_guard_gives_two_holders)
{
  constexpr grant_guard kGuards[] = { grant_guard::kCountUnanswered, grant_guard::kWaitForInherited,
                                      grant_guard::kDriftMargin,     grant_guard::kCloseAtDeadline,
                                      grant_guard::kCompleteRelease, grant_guard::kWithinLease,
                                      grant_guard::kDisconnect };
  for (grant_guard guard : kGuards) {
    cr_expect_gt(Explore(kDefaultSeeds, guard).twoHolders, 0U, "guard %d", int(guard));
  }
}
