// Each booking runs at most once, under random schedules of hand-offs, owner losses, broken
// connections and retries. A failing run prints its seed, with which it can be repeated.

#include "request/booking_simulation.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

constexpr uint64_t kSeeds = 1000;
constexpr size_t kSteps = 600;

tests::booking_result Explore(request::gate_guards aGuards)
{
  tests::booking_result total;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto result = tests::booking_simulation(seed, aGuards).Run(kSteps);
    total.bookings += result.bookings;
    total.replays += result.replays;
    total.undecided += result.undecided;
    total.ranTwice += result.ranTwice;
    total.falseNotRun += result.falseNotRun;
    total.overlaps += result.overlaps;
    if (result.ranTwice + result.falseNotRun + result.overlaps > 0) {
      cr_log_info("guarantee violated with seed %lu", (unsigned long)seed);
      break;
    }
  }
  return total;
}

} // namespace

Test(booking_exploration, booking_runs_at_most_once_and_not_run_is_true)
{
  auto total = Explore({});
  cr_log_info("bookings=%lu replays=%lu undecided=%lu", (unsigned long)total.bookings,
              (unsigned long)total.replays, (unsigned long)total.undecided);
  cr_assert_eq(total.ranTwice, 0U);
  cr_assert_eq(total.falseNotRun, 0U);
  cr_assert_eq(total.overlaps, 0U);
  // The schedules must include retries that are answered with the recorded response.
  cr_assert_gt(total.replays, kSeeds);
}

Test(booking_exploration, without_tickets_a_booking_runs_twice)
{
  request::gate_guards guards;
  guards.tickets = false;
  cr_assert_gt(Explore(guards).ranTwice, 0U);
}

// Records of running requests are handed over as undecided, so no booking runs twice even when
// the hand-off does not wait, but two upstreams run requests for the same key at the same time.
Test(booking_exploration, without_waiting_for_requests_in_flight_two_owners_run_at_once)
{
  request::gate_guards guards;
  guards.waitForInFlight = false;
  auto total = Explore(guards);
  cr_assert_gt(total.overlaps, 0U);
  cr_assert_eq(total.ranTwice, 0U);
}
