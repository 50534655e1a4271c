// Retry policy of an entry daemon after a forward to the owner has ended: return the response,
// query the state of the attempt, or forward again.
//
// Each request is forwarded at most kMaxForwards times. A request that provably did not run may
// always be forwarded again. One that may have run is forwarded again only if a second run is
// harmless or prevented: the request is idempotent, or its ticket lets the owner detect the
// duplicate.
#pragma once

#include "connection/http_client.h"
#include "request/attempt_log.h"
#include "request/refusal.h"

namespace bamboograde::request {

enum class forward_step
{
  // Return the owner's response to the caller.
  kAnswer,
  // Wait until the map has another owner, then forward again.
  kAwaitMap,
  // Forward again to the present owner in the map.
  kForwardAgain,
  // Query the owner for the state of the attempt.
  kResolve,
  // Refuse the request with forward_decision::reason.
  kRefuse,
};

struct forward_state
{
  // Forwards so far.
  unsigned attempts = 1;
  bool idempotent = true;
  bool hasTicket = false;
};

struct forward_decision
{
  forward_step step;
  // Set when the step is kRefuse.
  refusal_reason reason = refusal_reason::kNone;
};

constexpr unsigned kMaxForwards = 2;

// Decides after a forward has ended. aReason: the refusal in the owner's response, or kNone.
forward_decision AfterForward(const forward_state& aState, connection::transport_failure aFailure,
                              refusal_reason aReason);
// Decides after the owner was queried for the state of an attempt. aReachable: the owner answered.
forward_decision AfterResolve(const forward_state& aState, bool aReachable, attempt_state aAttempt);

} // namespace bamboograde::request
