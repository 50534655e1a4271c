// Guards against queues in which requests wait until their responses are too late, and against
// rejection of urgent or short requests in favour of other work.

#include "request/load_simulation.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using tests::load_outcome;
using tests::load_pattern;
using tests::SimulateLoad;

namespace {

// Route list requests of the Lechner deployment at one upstream of 14 slots, whose capacity is 233
// per second.
load_pattern RouteLists(double aPerSecond)
{
  load_pattern pattern;
  pattern.slots = 14;
  pattern.classes = { { "route-list", 2, aPerSecond, milliseconds(60), milliseconds(200),
                        milliseconds(500) } };
  return pattern;
}

constexpr uint64_t kSeeds[] = { 1, 2, 3, 4, 5 };

} // namespace

Test(admission, accepted_requests_meet_their_target_under_overload)
{
  for (uint64_t seed : kSeeds) {
    load_pattern pattern = RouteLists(233 * 1.5);
    load_outcome ours = SimulateLoad(pattern, true, seed)["route-list"];
    load_outcome fifo = SimulateLoad(pattern, false, seed)["route-list"];
    // The capacity suffices for two thirds of the requests; at least 95 % of these must be in time.
    cr_assert_gt(double(ours.inTarget) / ours.arrived, 0.95 * 2 / 3, "seed %lu: %u of %u", seed,
                 ours.inTarget, ours.arrived);
    cr_assert_lt(fifo.inTarget, ours.inTarget);
    cr_assert_lt(ours.acceptedNotServed, ours.arrived / 100);
  }
}

Test(admission, throughput_at_five_times_the_capacity_matches_that_at_full_load)
{
  for (uint64_t seed : kSeeds) {
    load_outcome full = SimulateLoad(RouteLists(233 * 1.2), true, seed)["route-list"];
    load_outcome overload = SimulateLoad(RouteLists(233 * 5), true, seed)["route-list"];
    cr_assert_gt(overload.inTarget + overload.late, 0.95 * (full.inTarget + full.late), "seed %lu",
                 seed);
  }
}

Test(admission, no_request_is_rejected_twice_below_capacity)
{
  for (uint64_t seed : kSeeds) {
    load_outcome light = SimulateLoad(RouteLists(233 * 0.6), true, seed)["route-list"];
    cr_assert_eq(light.rejectedTwice, 0U);
    cr_assert_gt(double(light.inTarget) / light.arrived, 0.99);
  }
}

Test(admission, burst_harms_less_than_with_an_unlimited_queue)
{
  load_pattern pattern = RouteLists(233 * 0.7);
  pattern.burstFactor = 3;
  pattern.burstFrom = common::seconds(5);
  pattern.burstUntil = common::seconds(8);
  for (uint64_t seed : kSeeds) {
    load_outcome ours = SimulateLoad(pattern, true, seed)["route-list"];
    load_outcome fifo = SimulateLoad(pattern, false, seed)["route-list"];
    cr_assert_gt(ours.inTarget, fifo.inTarget, "seed %lu", seed);
    cr_assert_lt(ours.maxLateRejection, milliseconds(500));
  }
}

// Calls from other upstreams have a lower, more urgent rank, because rejecting one wastes the work
// of the request that needs it.
Test(admission, urgent_calls_are_served_while_less_urgent_work_is_rejected)
{
  load_pattern pattern;
  pattern.slots = 14;
  pattern.classes = { { "call", 0, 300, milliseconds(15), milliseconds(60), milliseconds(200) },
                      { "lookup", 2, 120, milliseconds(150), milliseconds(400),
                        milliseconds(1000) } };
  for (uint64_t seed : kSeeds) {
    auto outcomes = SimulateLoad(pattern, true, seed);
    cr_assert_gt(outcomes["call"].Served(), 0.99, "seed %lu: %f", seed, outcomes["call"].Served());
    cr_assert_gt(outcomes["call"].Served(), outcomes["lookup"].Served());
  }
}

// Short calls and long requests have the same rank and share one upstream.
Test(admission, short_calls_are_served_before_long_requests_of_their_rank)
{
  load_pattern pattern;
  pattern.slots = 14;
  pattern.classes = { { "call", 1, 350, milliseconds(15), milliseconds(60), milliseconds(200) },
                      { "confirm", 1, 186, milliseconds(90), milliseconds(250),
                        milliseconds(600) } };
  for (uint64_t seed : kSeeds) {
    auto outcomes = SimulateLoad(pattern, true, seed);
    cr_assert_gt(outcomes["call"].Served(), 0.98, "seed %lu: %f", seed, outcomes["call"].Served());
    cr_assert_lt(outcomes["confirm"].acceptedNotServed, outcomes["confirm"].arrived / 50);
  }
}

Test(admission, without_slots_everything_is_rejected)
{
  request::admission gate;
  common::boot_time now{ common::seconds(100) };
  auto decision = gate.Offer({ "x", 0, now + milliseconds(500), now + milliseconds(200) }, now);
  cr_assert(decision.verdict == request::admission_verdict::kReject);
}

Test(admission, a_cancelled_request_never_starts)
{
  request::admission gate;
  gate.SetSlots(1);
  common::boot_time now{ common::seconds(100) };
  request::admission_request request{ "x", 0, now + milliseconds(500), now + milliseconds(200) };
  auto first = gate.Offer(request, now);
  auto second = gate.Offer(request, now);
  cr_assert(second.verdict == request::admission_verdict::kWait);
  gate.OnCancelled(second.id);
  gate.OnFinished(first.id, true, now + milliseconds(10));
  cr_assert_not(gate.Next(now + milliseconds(10)).has_value());
}
