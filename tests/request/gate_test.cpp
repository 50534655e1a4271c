// Guards against dispatches and deliveries after the lease has expired, second runs of an attempt
// or a booking, a request that crashes upstreams again and again, and lost requests in a hand-off.

#include "request/gate_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using request::dispatch_result;
using tests::gate_fixture;

namespace {

constexpr common::milliseconds kAfterLeaseEnd{ 2500 };

request::gate_settings Without(bool request::gate_guards::*aGuard)
{
  request::gate_settings settings;
  settings.guards.*aGuard = false;
  return settings;
}

std::string ResponseAfterLeaseExpiry(const request::gate_settings& aSettings)
{
  gate_fixture fixture(aSettings);
  auto token = fixture.Submit();
  fixture.Outcome(token);
  fixture.Advance(kAfterLeaseEnd);
  fixture.Finish(token, dispatch_result::kAnswered);
  return fixture.Outcome(token);
}

// A request is queued before the lease expires, and a slot becomes free after.
std::string DispatchAfterLeaseExpiry(const request::gate_settings& aSettings)
{
  gate_fixture fixture(aSettings, 1);
  auto first = fixture.Submit();
  auto second = fixture.Submit();
  fixture.Advance(kAfterLeaseEnd);
  fixture.Finish(first, dispatch_result::kAnswered);
  return fixture.Outcome(second);
}

std::string RunClosedAttempt(const request::gate_settings& aSettings)
{
  gate_fixture fixture(aSettings);
  auto state = fixture.Gate().Resolve(common::attempt_id("late"), fixture.Now());
  cr_assert(state == request::attempt_state::kClosed);
  return fixture.Outcome(fixture.Submit(0, "", "late"));
}

// Runs a request that crashes the upstream along with others, and retries all of them after each
// crash. Returns how often the crash-causing request ran.
int RunsOfCrashingRequest(const request::gate_settings& aSettings)
{
  constexpr uint64_t kCrashingRequest = 100;
  constexpr int kOthers = 3;
  gate_fixture fixture(aSettings, 4);
  int runs = 0;
  for (int round = 0; round < 6; ++round) {
    std::vector<request::request_token> inFlight;
    auto crashing = fixture.Submit(kCrashingRequest);
    for (uint64_t other = 1; other <= kOthers; ++other) {
      inFlight.push_back(fixture.Submit(other));
    }
    bool crashes = fixture.Outcome(crashing) == "dispatch";
    runs += crashes ? 1 : 0;
    if (crashes) {
      inFlight.push_back(crashing);
    }
    for (auto token : inFlight) {
      if (fixture.Outcome(token) == "dispatch") {
        fixture.Finish(token, crashes ? dispatch_result::kBroken : dispatch_result::kAnswered);
      }
    }
    if (fixture.SawProbe()) {
      fixture.Gate().OnProbe(false, false, fixture.Now());
      fixture.Gate().OpenUpstream(4, fixture.Now(), fixture.Now());
    }
    fixture.Gate().Tick(fixture.Now(), 0);
  }
  return runs;
}

} // namespace

Test(gate, request_runs_and_its_answer_is_delivered)
{
  gate_fixture fixture;
  auto token = fixture.Submit();
  cr_assert_eq(fixture.Outcome(token), "dispatch");
  fixture.Finish(token, dispatch_result::kAnswered);
  cr_assert_eq(fixture.Outcome(token), "deliver");
}

Test(gate, answer_after_lease_expiry_is_withheld)
{
  cr_assert_eq(ResponseAfterLeaseExpiry(Without(&request::gate_guards::leaseAtResponse)),
               "deliver");
  cr_assert_eq(ResponseAfterLeaseExpiry({}), "answer_after_lapse");
}

Test(gate, nothing_is_dispatched_after_lease_expiry)
{
  cr_assert_eq(DispatchAfterLeaseExpiry(Without(&request::gate_guards::leaseAtDispatch)),
               "dispatch");
  cr_assert_eq(DispatchAfterLeaseExpiry({}), "lease_lapsed");
}

Test(gate, closed_attempt_is_refused_when_it_arrives_later)
{
  cr_assert_eq(RunClosedAttempt(Without(&request::gate_guards::closedAttempts)), "dispatch");
  cr_assert_eq(RunClosedAttempt({}), "attempt_closed");
}

Test(gate, attempt_that_arrives_twice_runs_once)
{
  gate_fixture fixture;
  cr_assert_eq(fixture.Outcome(fixture.Submit(0, "", "a1")), "dispatch");
  cr_assert_eq(fixture.Outcome(fixture.Submit(0, "", "a1")), "duplicate_running");
}

Test(gate, two_copies_of_a_booking_in_the_queue_run_once)
{
  gate_fixture fixture({}, 1);
  std::string ticket = fixture.IssueTicket();
  auto blocker = fixture.Submit();
  auto first = fixture.Submit(0, ticket);
  auto second = fixture.Submit(0, ticket);
  fixture.Finish(blocker, dispatch_result::kAnswered);
  fixture.Finish(first, dispatch_result::kAnswered);
  cr_assert_eq(fixture.Outcome(first), "deliver");
  cr_assert_neq(fixture.Outcome(second), "dispatch");
}

Test(gate, shed_booking_may_run_under_the_same_ticket)
{
  gate_fixture fixture;
  std::string ticket = fixture.IssueTicket();
  auto first = fixture.Submit(0, ticket);
  fixture.Finish(first, dispatch_result::kShed);
  cr_assert_eq(fixture.Outcome(first), "upstream_shed");
  cr_assert_eq(fixture.Outcome(fixture.Submit(0, ticket)), "dispatch");
}

Test(gate, crash_causing_request_crashes_at_most_two_upstreams)
{
  cr_assert_leq(RunsOfCrashingRequest({}), 2);
}

Test(gate, suspect_runs_again_and_is_cleared_when_it_completes)
{
  gate_fixture fixture({}, 4);
  auto suspect = fixture.Submit(1);
  fixture.Finish(suspect, dispatch_result::kBroken);
  fixture.Outcome(suspect);
  fixture.Gate().OnProbe(false, false, fixture.Now());
  fixture.Gate().OpenUpstream(4, fixture.Now(), fixture.Now());
  auto retried = fixture.Submit(1);
  cr_assert_eq(fixture.Outcome(retried), "dispatch");
  fixture.Finish(retried, dispatch_result::kAnswered);
  cr_assert_not(fixture.Gate().Suspects().IsSuspect(1));
}

// Each of several equal requests in flight at one crash counted as a crash.
Test(gate, equal_requests_in_flight_at_one_crash_count_as_one)
{
  gate_fixture fixture({}, 4);
  std::array<request::request_token, 4> running;
  for (request::request_token& token : running) {
    token = fixture.Submit(1);
  }
  for (request::request_token token : running) {
    fixture.Finish(token, dispatch_result::kBroken);
  }
  fixture.Gate().OnProbe(false, false, fixture.Now());
  fixture.Gate().OpenUpstream(4, fixture.Now(), fixture.Now());
  cr_assert_eq(fixture.Gate().Suspects().Crashes(1), 1U);
  cr_assert_eq(fixture.Outcome(fixture.Submit(1)), "dispatch");
}

Test(gate, suspects_run_one_at_a_time)
{
  auto countDispatched = [](const request::gate_settings& aSettings) {
    gate_fixture fixture(aSettings, 4);
    int dispatched = 0;
    for (uint64_t fingerprint : { 1, 2, 3 }) {
      fixture.Gate().Suspects().Add(fingerprint, common::crash_id(1), fixture.Now());
      dispatched += fixture.Outcome(fixture.Submit(fingerprint)) == "dispatch" ? 1 : 0;
    }
    return dispatched;
  };
  cr_assert_eq(countDispatched(Without(&request::gate_guards::suspectsOneAtATime)), 3);
  cr_assert_eq(countDispatched({}), 1);
}

Test(gate, move_counts_requests_in_flight_and_holds_new_ones)
{
  gate_fixture fixture;
  auto running = fixture.Submit();
  fixture.Gate().BeginMove(fixture.slice.range);
  auto waiting = fixture.Submit();
  cr_assert_eq(fixture.Gate().InFlight(fixture.slice.range), 1U);
  cr_assert_eq(fixture.Outcome(waiting), "");
  fixture.Finish(running, dispatch_result::kAnswered);
  cr_assert_eq(fixture.Outcome(running), "deliver");
  cr_assert_eq(fixture.Gate().InFlight(fixture.slice.range), 0U);
  fixture.Gate().EndMove(fixture.slice.range, true, fixture.Now());
  cr_assert_eq(fixture.Outcome(waiting), "not_owner");
}

Test(gate, aborted_move_dispatches_held_requests)
{
  gate_fixture fixture;
  fixture.Gate().BeginMove(fixture.slice.range);
  auto waiting = fixture.Submit();
  fixture.Gate().EndMove(fixture.slice.range, false, fixture.Now());
  cr_assert_eq(fixture.Outcome(waiting), "dispatch");
}

Test(gate, closed_upstream_finishes_its_requests_and_gets_no_new_ones)
{
  gate_fixture fixture;
  auto running = fixture.Submit();
  fixture.Gate().CloseUpstream(fixture.Now());
  cr_assert_eq(fixture.Outcome(fixture.Submit()), "upstream_unavailable");
  fixture.Finish(running, dispatch_result::kAnswered);
  cr_assert_eq(fixture.Outcome(running), "deliver");
}

Test(gate, stalled_upstream_is_probed_and_declared_lost)
{
  gate_fixture fixture;
  fixture.Submit();
  fixture.RenewLease(common::milliseconds(5000));
  fixture.Advance(common::milliseconds(300));
  fixture.Gate().Tick(fixture.Now(), 0);
  cr_assert_not(fixture.SawProbe());
  fixture.Advance(common::milliseconds(200));
  fixture.Gate().Tick(fixture.Now(), 0);
  cr_assert(fixture.SawProbe());
  fixture.Gate().OnProbe(true, false, fixture.Now());
  cr_assert(fixture.SawLoss());
}

Test(gate, request_that_can_not_start_before_its_deadline_is_refused_at_once)
{
  request::gate_settings settings;
  gate_fixture fixture(settings, 1);
  fixture.RenewLease(common::milliseconds(60000));
  // Raises the queue's mean cost of a request to about one second.
  for (int i = 0; i < 60; ++i) {
    auto token = fixture.Submit();
    fixture.Advance(common::milliseconds(1000));
    fixture.RenewLease(common::milliseconds(60000));
    fixture.Finish(token, dispatch_result::kAnswered);
  }
  std::vector<request::request_token> tokens;
  tokens.reserve(14);
  for (int i = 0; i < 14; ++i) {
    tokens.push_back(fixture.Submit());
  }
  cr_assert_eq(fixture.Outcome(tokens[0]), "dispatch");
  cr_assert_eq(fixture.Outcome(tokens.back()), "deadline_too_short");
}

Test(gate, trace_has_the_row_and_the_requests_served_ahead)
{
  gate_fixture fixture({}, 1);
  auto first = fixture.Submit();
  auto second = fixture.Submit();
  auto third = fixture.Submit();
  fixture.Finish(first, dispatch_result::kAnswered);
  fixture.Finish(second, dispatch_result::kAnswered);
  fixture.Finish(third, dispatch_result::kAnswered);
  auto traces = fixture.Gate().Traces().Find(common::request_id("r3"));
  cr_assert_eq(traces.size(), 1U);
  cr_assert_eq(traces[0]["row"], "drivers");
  cr_assert_eq(traces[0]["queue_position"], 1);
  cr_assert_eq(traces[0]["outcome"], "ran");
  cr_assert_gt(traces[0]["served_ahead"]["drivers"].get<int>(), 0);
}
