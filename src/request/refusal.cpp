#include "request/refusal.h"

#include <array>

namespace bamboograde::request {

namespace {

struct reason_entry
{
  refusal_reason reason;
  const char* name;
  int status;
  run_outcome outcome;
  bool temporary;
};

constexpr std::array kReasons = {
  reason_entry{ refusal_reason::kBadRequest, "bad_request", 400, run_outcome::kNotRun, false },
  reason_entry{ refusal_reason::kBodyTooLarge, "body_too_large", 413, run_outcome::kNotRun, false },
  reason_entry{ refusal_reason::kUnknownService, "unknown_service", 404, run_outcome::kNotRun,
                false },
  reason_entry{ refusal_reason::kNoOwner, "no_owner", 503, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kOwnerUnreachable, "owner_unreachable", 503, run_outcome::kNotRun,
                true },
  // Not 421, after which HTTP libraries retry the request automatically.
  reason_entry{ refusal_reason::kNotOwner, "not_owner", 409, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kLimit, "limit", 429, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kQueueFull, "queue_full", 503, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kDeadlineTooShort, "deadline_too_short", 503, run_outcome::kNotRun,
                true },
  reason_entry{ refusal_reason::kDeadlineInQueue, "deadline_in_queue", 504, run_outcome::kNotRun,
                true },
  reason_entry{ refusal_reason::kLeaseLapsed, "lease_lapsed", 503, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kUpstreamUnavailable, "upstream_unavailable", 503,
                run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kUpstreamShed, "upstream_shed", 503, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kSuspectedOfCrash, "suspected_of_crash", 422, run_outcome::kNotRun,
                false },
  reason_entry{ refusal_reason::kTicketRequired, "ticket_required", 428, run_outcome::kNotRun,
                false },
  reason_entry{ refusal_reason::kTicketInvalid, "ticket_invalid", 400, run_outcome::kNotRun,
                false },
  reason_entry{ refusal_reason::kTicketExpired, "ticket_expired", 409, run_outcome::kUnknown,
                false },
  reason_entry{ refusal_reason::kTicketUndecided, "ticket_undecided", 409, run_outcome::kUnknown,
                false },
  reason_entry{ refusal_reason::kDuplicateRunning, "duplicate_running", 409, run_outcome::kUnknown,
                true },
  reason_entry{ refusal_reason::kAttemptClosed, "attempt_closed", 409, run_outcome::kNotRun, true },
  reason_entry{ refusal_reason::kCancelled, "cancelled", 499, run_outcome::kNotRun, false },
  reason_entry{ refusal_reason::kUpstreamLost, "upstream_lost", 502, run_outcome::kUnknown, true },
  reason_entry{ refusal_reason::kUpstreamTimeout, "upstream_timeout", 504, run_outcome::kUnknown,
                true },
  reason_entry{ refusal_reason::kAnswerAfterLapse, "answer_after_lapse", 502, run_outcome::kUnknown,
                true },
};

const reason_entry& Entry(refusal_reason aReason)
{
  for (const reason_entry& entry : kReasons) {
    if (entry.reason == aReason) {
      return entry;
    }
  }
  return kReasons.front();
}

} // namespace

const char* NameOf(refusal_reason aReason)
{
  return Entry(aReason).name;
}

refusal_reason ReasonFromName(const std::string& aName)
{
  for (const reason_entry& entry : kReasons) {
    if (aName == entry.name) {
      return entry.reason;
    }
  }
  return refusal_reason::kNone;
}

int StatusOf(refusal_reason aReason)
{
  return Entry(aReason).status;
}

run_outcome OutcomeOf(refusal_reason aReason)
{
  return Entry(aReason).outcome;
}

const char* NameOf(run_outcome aOutcome)
{
  switch (aOutcome) {
    case run_outcome::kRan:
      return "ran";
    case run_outcome::kNotRun:
      return "not-run";
    default:
      return "unknown";
  }
}

run_outcome OutcomeFromName(const std::string& aName)
{
  if (aName == "ran") {
    return run_outcome::kRan;
  }
  return aName == "not-run" ? run_outcome::kNotRun : run_outcome::kUnknown;
}

bool IsTemporary(refusal_reason aReason)
{
  return Entry(aReason).temporary;
}

} // namespace bamboograde::request
