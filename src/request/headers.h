// Names of the HTTP headers that callers, daemons and upstreams exchange (docs/INTERFACE.md), and
// the encoding of refusals as responses.
#pragma once

#include "connection/http_message.h"
#include "request/refusal.h"

namespace bamboograde::request {

// From callers.
constexpr char kServiceHeader[] = "Bamboograde-Service";
constexpr char kKeyHeader[] = "Bamboograde-Key";
constexpr char kClassHeader[] = "Bamboograde-Caller-Class";
// Timeout of the caller in milliseconds.
constexpr char kTimeoutHeader[] = "Bamboograde-Timeout-Ms";
constexpr char kRequestIdHeader[] = "X-Request-ID";
constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// To callers.
constexpr char kOutcomeHeader[] = "Bamboograde-Outcome";
constexpr char kReasonHeader[] = "Bamboograde-Reason";
constexpr char kRowHeader[] = "Bamboograde-Row";
constexpr char kTableVersionHeader[] = "Bamboograde-Table-Version";
// Address at which the owner accepts callers, for callers that send to the owner directly.
constexpr char kOwnerHeader[] = "Bamboograde-Owner";
constexpr char kEpochHeader[] = "Bamboograde-Epoch";

// Between daemons.
constexpr char kAttemptHeader[] = "Bamboograde-Attempt";
constexpr char kForwardMethodHeader[] = "Bamboograde-Forward-Method";
constexpr char kForwardTargetHeader[] = "Bamboograde-Forward-Target";
constexpr char kEntryHeader[] = "Bamboograde-Entry";

// To upstreams: the fencing token, and the ends of the lease and of the deadline on the VM's boot
// clock.
constexpr char kFenceSessionHeader[] = "Bamboograde-Fence-Session";
constexpr char kFenceEpochHeader[] = "Bamboograde-Fence-Epoch";
constexpr char kGrantEndHeader[] = "Bamboograde-Grant-End-Boot-Us";
constexpr char kDeadlineHeader[] = "Bamboograde-Deadline-Boot-Us";
// From upstreams: "not-run" when the upstream refused the request before running any of it.
constexpr char kUpstreamRunHeader[] = "Upstream-Run";

// Whether a header is hop-by-hop or the daemons' own, so that it is not forwarded.
bool IsInternalHeader(std::string_view aName);
// Encodes a refusal as the response to the caller.
connection::http_response RefusalResponse(const refusal& aRefusal, const common::request_id& aId);
// Decodes a refusal from the response of another daemon; its reason is kNone for other responses.
refusal RefusalFromResponse(const connection::http_response& aResponse);

} // namespace bamboograde::request
