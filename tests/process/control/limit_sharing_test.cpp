// Measures how much of a limit is usable when the demand moves between daemons. Guards against
// shares that stay with daemons without demand, and against shares that together exceed the limit.
//
// The daemons claim every 200 ms and also when their demand changes. With the periodic claims only,
// no allocation could use more than four fifths of the limit when the demand moves each second: the
// daemon to which the demand moves has no share until its next claim.

#include "process/control/limit_simulation.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using namespace bamboograde::tests;

namespace {

constexpr int64_t kWarmUpMs = 8000;
constexpr int64_t kEndMs = 28000;
constexpr unsigned kRequestsPerMs = 5;

// Fraction of the limit that was used while the demand moved to another daemon each second.
double UsableShare(limit_simulation* aSimulation, size_t aDaemons)
{
  uint64_t before = 0;
  while (aSimulation->NowMs() < kEndMs) {
    before = aSimulation->NowMs() < kWarmUpMs ? aSimulation->Passed() : before;
    aSimulation->Step(size_t(aSimulation->NowMs() / 1000) % aDaemons, kRequestsPerMs);
    cr_assert_leq(aSimulation->SharesInUse(), kLimit + 1e-6, "at %ld ms",
                  long(aSimulation->NowMs()));
  }
  return double(aSimulation->Passed() - before) * 1000 / (kLimit * double(kEndMs - kWarmUpMs));
}

} // namespace

Test(limit_sharing, limit_follows_demand_that_moves_each_second)
{
  limit_simulation simulation(4, 1, 0);
  double usable = UsableShare(&simulation, 4);
  cr_log_info("usable share of the limit: %f", usable);
  cr_assert_geq(usable, 0.95, "usable share of the limit: %f", usable);
  cr_assert_leq(usable, 1.0, "usable share of the limit: %f", usable);
}

Test(limit_sharing, the_limit_holds_whatever_messages_get_lost)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    limit_simulation simulation(6, seed, 5);
    UsableShare(&simulation, 6);
  }
}

// Guards against prompts and confirmations that cause ever more claims: besides the claims every
// 200 ms, each move of the demand may add twelve claims on average.
Test(limit_sharing, moving_demand_costs_few_claims)
{
  limit_simulation simulation(4, 1, 0);
  UsableShare(&simulation, 4);
  uint64_t regular = 4 * uint64_t(kEndMs) / 200;
  uint64_t moves = uint64_t(kEndMs) / 1000;
  cr_assert_leq(simulation.Claims(), regular + moves * 12, "%lu claims", simulation.Claims());
}
