// Reasons why a request was refused or its upstream's response was not delivered, with the names,
// HTTP statuses and outcomes that callers and operators see.
#pragma once

#include "common/ids.h"

namespace bamboograde::request {

// Whether a request ran, as far as known.
enum class run_outcome
{
  kRan,
  // Provably did not run: it never reached an upstream, or the upstream refused it before running
  // any of it.
  kNotRun,
  kUnknown,
};

enum class refusal_reason
{
  kNone,
  kBadRequest,
  kBodyTooLarge,
  kUnknownService,
  kNoOwner,
  kOwnerUnreachable,
  // Sent between daemons only: the entry daemon retries once with a newer map.
  kNotOwner,
  kLimit,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineInQueue,
  kLeaseLapsed,
  kUpstreamUnavailable,
  kUpstreamShed,
  kSuspectedOfCrash,
  kTicketRequired,
  kTicketInvalid,
  kTicketExpired,
  kTicketUndecided,
  kDuplicateRunning,
  kAttemptClosed,
  kCancelled,
  kUpstreamLost,
  kUpstreamTimeout,
  kAnswerAfterLapse,
};

struct refusal
{
  refusal_reason reason = refusal_reason::kNone;
  // Table row that matched the request; empty when none did.
  common::row_id row;
  common::table_version tableVersion;
  // A sentence that tells the caller what happened and what to do.
  std::string detail;
};

// Lower-case words joined by underscores, as sent on the wire.
const char* NameOf(refusal_reason aReason);
refusal_reason ReasonFromName(const std::string& aName);
// HTTP status of the response.
int StatusOf(refusal_reason aReason);
run_outcome OutcomeOf(refusal_reason aReason);
// "ran", "not-run" or "unknown".
const char* NameOf(run_outcome aOutcome);
run_outcome OutcomeFromName(const std::string& aName);
// Whether a later retry can succeed; the response then has a Retry-After header.
bool IsTemporary(refusal_reason aReason);

} // namespace bamboograde::request
