// What the outside world says in headers, translated into the product's own types.
#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "connection/http/message.h"
#include "version/member.h"

#include <optional>

namespace bamboograde::request {

// What a caller says about its request.
struct caller_facts
{
  common::request_id id;
  // How long the caller will wait; empty when it does not say.
  std::optional<common::milliseconds> patience;
  // Position of the request's key, for services that are divided by key.
  std::optional<uint32_t> key;
};

// What is added to a request for the upstream.
struct upstream_facts
{
  // How long the upstream may work on it.
  common::milliseconds timeLeft{ 0 };
  // The upstream that is meant; any other refuses the request.
  version::upstream_id upstream;
  // The service from which the request came.
  common::service_name origin;
};

// What an upstream says about a request that it answered.
enum class upstream_answer
{
  // It ran the request and this is the outcome.
  kRan,
  // It did not run the request and never will.
  kNotRun,
  // A success without the marks of a genuine one.
  kInvalid,
};

class header_translator
{
public:
  virtual ~header_translator() = default;
  virtual caller_facts ReadCaller(const connection::http::header_list& aHeaders) const = 0;
  // Replaces what the caller sent by what is so now.
  virtual void WriteUpstream(const upstream_facts& aFacts,
                             connection::http::header_list* aHeaders) const = 0;
  virtual upstream_answer ReadAnswer(const connection::http::response_head& aHead) const = 0;
  // The request that a response belongs to; empty when it does not say.
  virtual common::request_id AnsweredRequest(
    const connection::http::header_list& aHeaders) const = 0;
  // Marks a response of the daemon's own as the answer to a request.
  virtual void WriteAnswered(const common::request_id& aId,
                             connection::http::header_list* aHeaders) const = 0;
};

} // namespace bamboograde::request
