// Interface that translates between the deployment's header names and the router's types.
#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "connection/http/message.h"
#include "request/upstream_notice.h"
#include "version/member.h"

#include <optional>

namespace bamboograde::request {

// Request properties from the caller's headers.
struct caller_facts
{
  common::request_id id;
  // Timeout of the caller; empty when its headers have none.
  std::optional<common::milliseconds> timeout;
  // Position of the request's key in the key space, for services with key ownership.
  std::optional<uint32_t> key;
};

// Request properties that are sent to the upstream in headers.
struct upstream_facts
{
  // Time until the deadline.
  common::milliseconds timeLeft{ 0 };
  // The upstream that should run the request; any other one refuses it.
  version::upstream_id upstream;
  // The service that sent the request.
  common::service_name origin;
};

// Whether the request ran, from the headers of the upstream's response.
enum class upstream_answer
{
  // The upstream ran the request, and this is its response.
  kRan,
  // The upstream did not run the request and never will.
  kNotRun,
  // A success response that fails the check that the upstream itself produced it.
  kInvalid,
};

class header_translator
{
public:
  virtual ~header_translator() = default;
  virtual caller_facts ReadCaller(const connection::http::header_list& aHeaders) const = 0;
  // Replaces the caller's values of these headers.
  virtual void WriteUpstream(const upstream_facts& aFacts,
                             connection::http::header_list* aHeaders) const = 0;
  virtual upstream_answer ReadAnswer(const connection::http::response_head& aHead) const = 0;
  // Empty if the upstream itself did not produce the response.
  virtual std::optional<upstream_notice> ReadNotice(
    const connection::http::header_list& aHeaders) const = 0;
  // Id of the request that a response belongs to; empty when the response has none.
  virtual common::request_id AnsweredRequest(
    const connection::http::header_list& aHeaders) const = 0;
  // Adds the request's id to a response that the daemon generates.
  virtual void WriteAnswered(const common::request_id& aId,
                             connection::http::header_list* aHeaders) const = 0;
};

} // namespace bamboograde::request
