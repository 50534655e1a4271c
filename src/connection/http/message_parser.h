// Incremental parsers for HTTP/1.1 requests and responses, based on Boost.Beast.
#pragma once

#include "connection/http/message.h"

#include <boost/beast/http/basic_parser.hpp>
#include <memory>

namespace bamboograde::connection::http {

// Size limits of accepted messages. A body limit of zero means no limit.
struct parse_limits
{
  uint32_t maxHeaderBytes = 64 * 1024;
  uint64_t maxBodyBytes = 0;
};

enum class parse_status
{
  // The message is incomplete; more input is needed.
  kNeedMore,
  // The message is complete. Input after it was not consumed.
  kComplete,
  // Not HTTP, or the body framing is ambiguous, as in request smuggling.
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

// Receives the head and then the body of one message.
class message_sink
{
public:
  virtual ~message_sink() = default;
  virtual void OnHead() = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
};

// Parses one request. Each request needs a new parser.
class request_parser
{
public:
  explicit request_parser(const parse_limits& aLimits);
  ~request_parser();
  // Parses aBytes and stores in aUsed how many were consumed. Pass the rest again, followed by new
  // input.
  parse_status Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed);
  request_head& Head();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

// Parses one response. Each response needs a new parser.
class response_parser
{
public:
  // aToHeadRequest: the request was HEAD, so the response has no body, whatever its headers say.
  response_parser(const parse_limits& aLimits, bool aToHeadRequest);
  ~response_parser();
  parse_status Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed);
  // To be called when the connection has ended. Whether the response is complete, as it is when its
  // body is delimited by the end of the connection.
  bool CompleteAtEof();
  bool HeadComplete() const;
  response_head& Head();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bamboograde::connection::http
