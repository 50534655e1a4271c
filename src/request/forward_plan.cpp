#include "request/forward_plan.h"

namespace bamboograde::request {

using connection::transport_failure;

namespace {

bool MayForwardAgain(const forward_state& aState)
{
  return aState.attempts < kMaxForwards;
}

bool RetryIsSafe(const forward_state& aState)
{
  return aState.idempotent || aState.hasTicket;
}

} // namespace

forward_decision AfterForward(const forward_state& aState, transport_failure aFailure,
                              refusal_reason aReason)
{
  switch (aFailure) {
    case transport_failure::kNone:
      break;
    case transport_failure::kNotConnected:
      return MayForwardAgain(aState)
               ? forward_decision{ forward_step::kAwaitMap }
               : forward_decision{ forward_step::kRefuse, refusal_reason::kOwnerUnreachable };
    case transport_failure::kTimeout:
      return { forward_step::kRefuse, refusal_reason::kUpstreamTimeout };
    case transport_failure::kCancelled:
      return { forward_step::kRefuse, refusal_reason::kUpstreamLost };
    default:
      return { forward_step::kResolve };
  }
  bool otherOwnerMayAccept =
    aReason == refusal_reason::kNotOwner || aReason == refusal_reason::kLeaseLapsed ||
    aReason == refusal_reason::kUpstreamUnavailable || aReason == refusal_reason::kAttemptClosed;
  if (otherOwnerMayAccept && MayForwardAgain(aState)) {
    return { forward_step::kAwaitMap };
  }
  if (aReason == refusal_reason::kNotOwner) {
    return { forward_step::kRefuse, refusal_reason::kNoOwner };
  }
  return { forward_step::kAnswer };
}

forward_decision AfterResolve(const forward_state& aState, bool aReachable, attempt_state aAttempt)
{
  if (!aReachable) {
    // The owner is lost. The next owner detects a duplicate by its ticket, and an idempotent
    // request may run again.
    bool retry = MayForwardAgain(aState) && RetryIsSafe(aState);
    return retry ? forward_decision{ forward_step::kAwaitMap }
                 : forward_decision{ forward_step::kRefuse, refusal_reason::kUpstreamLost };
  }
  bool notRun = aAttempt == attempt_state::kClosed || aAttempt == attempt_state::kNotRun;
  if (notRun) {
    return MayForwardAgain(aState)
             ? forward_decision{ forward_step::kForwardAgain }
             : forward_decision{ forward_step::kRefuse, refusal_reason::kOwnerUnreachable };
  }
  // The request runs or has run, and its response was lost with the connection.
  bool retry = MayForwardAgain(aState) && RetryIsSafe(aState);
  return retry ? forward_decision{ forward_step::kForwardAgain }
               : forward_decision{ forward_step::kRefuse, refusal_reason::kUpstreamLost };
}

} // namespace bamboograde::request
