// Reads and validates requests of callers and forwarded requests, and encodes requests to forward.
#pragma once

#include "common/clock.h"
#include "common/findings.h"
#include "connection/http_exchange.h"
#include "request/headers.h"

namespace bamboograde::request {

struct timeout_limits
{
  // When the caller sets none.
  common::milliseconds standard{ 5000 };
  common::milliseconds longest{ 60000 };
};

// A request in the same form on the daemon that received it from the caller and on the owner.
struct caller_request
{
  common::request_id id;
  common::service_name service;
  common::caller_class callerClass;
  std::string key;
  common::key_hash hash;
  common::boot_time deadline;
  std::string ticket;
  std::string method;
  std::string target;
  // The caller's end-to-end headers.
  connection::header_list headers;
  std::string body;
  bool nonIdempotent = false;
};

// Path at which callers request a ticket for a non-idempotent request.
constexpr char kTicketPath[] = "/bamboograde/ticket";

// Reads a caller's request. Adds all validation errors to aFindings, not only the first.
caller_request ReadCallerRequest(connection::http_exchange& aExchange,
                                 const timeout_limits& aLimits, common::boot_time aNow,
                                 common::findings* aFindings);
// Reads a request that another daemon forwarded.
caller_request ReadForwardedRequest(connection::http_exchange& aExchange,
                                    const timeout_limits& aLimits, common::boot_time aNow,
                                    common::findings* aFindings);
// Encodes the request for forwarding to the owner at aPeer.
connection::http_request MakeForward(const caller_request& aRequest, const common::endpoint& aPeer,
                                     const common::attempt_id& aAttempt,
                                     const std::string& aPeerKey, common::boot_time aNow);
// Path at which daemons receive forwarded requests.
constexpr char kForwardPath[] = "/forward";

} // namespace bamboograde::request
