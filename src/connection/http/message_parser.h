// Incremental parsers for requests and responses, on Boost.Beast's HTTP syntax.
#pragma once

#include "connection/http/message.h"

#include <boost/beast/http/basic_parser.hpp>
#include <memory>

namespace bamboograde::connection::http {

// Limits on what is accepted. Zero: no limit.
struct parse_limits
{
  uint32_t maxHeaderBytes = 64 * 1024;
  uint64_t maxBodyBytes = 0;
};

enum class parse_status
{
  // All input was used; more is needed.
  kNeedMore,
  // The message is complete. Input behind it was left.
  kComplete,
  // Not HTTP, or framing that could be read in two ways.
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

// Receives the parts of one message in order.
class message_sink
{
public:
  virtual ~message_sink() = default;
  virtual void OnHead() = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
};

// Parses one request; make a new one for the next.
class request_parser
{
public:
  explicit request_parser(const parse_limits& aLimits);
  ~request_parser();
  // Feeds bytes; aUsed tells how many were taken.
  parse_status Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed);
  request_head& Head();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

// Parses one response; make a new one for the next.
class response_parser
{
public:
  // aToHead: the response to a HEAD request has no body whatever its headers say.
  response_parser(const parse_limits& aLimits, bool aToHead);
  ~response_parser();
  parse_status Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed);
  // The connection has ended. Whether the response is complete by that.
  bool CompleteAtEof();
  bool HeadDone() const;
  response_head& Head();

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace bamboograde::connection::http
