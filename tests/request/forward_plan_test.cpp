// Guards against second runs of requests that may already have run, and against requests reported
// as not run although they may have run.

#include "request/forward_plan.h"

#include <criterion/criterion.h>

using namespace bamboograde::request;
using bamboograde::connection::transport_failure;

namespace {

const forward_state kRead{ 1, true, false };
const forward_state kBooking{ 1, false, true };
const forward_state kReadAgain{ 2, true, false };

} // namespace

Test(forward_plan, attempt_state_is_queried_before_a_retry_when_the_outcome_is_unknown)
{
  auto decision = AfterForward(kRead, transport_failure::kBroken, refusal_reason::kNone);
  cr_assert(decision.step == forward_step::kResolve);
}

Test(forward_plan, stale_map_costs_one_refusal_and_one_retry)
{
  auto first = AfterForward(kRead, transport_failure::kNone, refusal_reason::kNotOwner);
  cr_assert(first.step == forward_step::kAwaitMap);
  auto second = AfterForward(kReadAgain, transport_failure::kNone, refusal_reason::kNotOwner);
  cr_assert(second.step == forward_step::kRefuse);
  cr_assert(OutcomeOf(second.reason) == run_outcome::kNotRun);
}

Test(forward_plan, non_idempotent_request_without_ticket_is_not_retried_when_its_owner_is_lost)
{
  forward_state withoutTicket{ 1, false, false };
  auto decision = AfterResolve(withoutTicket, false, attempt_state::kOpen);
  cr_assert(decision.step == forward_step::kRefuse);
  cr_assert(OutcomeOf(decision.reason) == run_outcome::kUnknown);
  cr_assert(AfterResolve(kBooking, false, attempt_state::kOpen).step == forward_step::kAwaitMap);
}

Test(forward_plan, requests_that_may_have_run_are_never_reported_as_not_run)
{
  for (auto state : { attempt_state::kOpen, attempt_state::kRan }) {
    forward_state afterLastForward{ 2, true, false };
    auto decision = AfterResolve(afterLastForward, true, state);
    cr_assert(OutcomeOf(decision.reason) == run_outcome::kUnknown);
  }
  auto decision = AfterForward(kRead, transport_failure::kTimeout, refusal_reason::kNone);
  cr_assert(OutcomeOf(decision.reason) == run_outcome::kUnknown);
}

Test(forward_plan, refusals_that_a_retry_can_not_avoid_are_returned_to_the_caller)
{
  for (auto reason : { refusal_reason::kLimit, refusal_reason::kQueueFull,
                       refusal_reason::kTicketUndecided, refusal_reason::kUpstreamLost }) {
    auto decision = AfterForward(kRead, transport_failure::kNone, reason);
    cr_assert(decision.step == forward_step::kAnswer);
  }
}
