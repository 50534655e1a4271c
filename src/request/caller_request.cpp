#include "request/caller_request.h"

#include "common/hash.h"
#include "common/random.h"
#include "connection/peer_client.h"

#include <algorithm>
#include <charconv>

namespace bamboograde::request {

namespace {

constexpr size_t kMaxKeyBytes = 1024;
constexpr char kDefaultClass[] = "default";

// Methods that HTTP does not define as idempotent (RFC 9110, section 9.2.2).
bool IsNonIdempotent(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PATCH";
}

// Reads and validates the headers that callers and forwarding daemons both send.
class request_reader
{
public:
  request_reader(connection::http_exchange& aExchange, common::findings* aFindings)
    : mExchange(aExchange)
    , mFindings(aFindings)
  {
  }

  std::string Required(const char* aName)
  {
    std::string value = mExchange.Header(aName);
    if (value.empty()) {
      Add(aName, "This header is required and missing.");
    }
    return value;
  }

  common::milliseconds Timeout(const timeout_limits& aLimits)
  {
    std::string text = mExchange.Header(kTimeoutHeader);
    if (text.empty()) {
      return aLimits.standard;
    }
    int64_t value = 0;
    const char* end = text.data() + text.size();
    auto [parsedEnd, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || parsedEnd != end || value <= 0) {
      Add(kTimeoutHeader, "Whole milliseconds above 0 are expected.");
      return aLimits.standard;
    }
    return std::min(common::milliseconds(value), aLimits.longest);
  }

  std::string Key()
  {
    std::string key = Required(kKeyHeader);
    if (key.size() > kMaxKeyBytes) {
      Add(kKeyHeader, "At most " + std::to_string(kMaxKeyBytes) + " bytes are expected.");
    }
    return key;
  }

  void Add(const char* aHeader, const std::string& aMessage)
  {
    mFindings->Add({ "request", 0, aHeader, aMessage });
  }

private:
  connection::http_exchange& mExchange;
  common::findings* mFindings;
};

caller_request ReadCommonHeaders(connection::http_exchange& aExchange,
                                 const timeout_limits& aLimits, common::boot_time aNow,
                                 common::findings* aFindings)
{
  request_reader reader(aExchange, aFindings);
  caller_request request;
  request.service = common::service_name(reader.Required(kServiceHeader));
  request.key = reader.Key();
  request.hash = common::HashKey(request.key);
  std::string callerClass = aExchange.Header(kClassHeader);
  request.callerClass = common::caller_class(callerClass.empty() ? kDefaultClass : callerClass);
  std::string id = aExchange.Header(kRequestIdHeader);
  request.id = common::request_id(id.empty() ? common::MakeUniqueId() : id);
  request.ticket = aExchange.Header(kIdempotencyHeader);
  request.deadline = aNow + reader.Timeout(aLimits);
  for (connection::http_header& header : aExchange.Headers()) {
    if (!IsInternalHeader(header.name)) {
      request.headers.push_back(std::move(header));
    }
  }
  request.body = aExchange.TakeBody();
  return request;
}

} // namespace

caller_request ReadCallerRequest(connection::http_exchange& aExchange,
                                 const timeout_limits& aLimits, common::boot_time aNow,
                                 common::findings* aFindings)
{
  caller_request request = ReadCommonHeaders(aExchange, aLimits, aNow, aFindings);
  request.method = aExchange.Method();
  request.target = aExchange.Target();
  request.nonIdempotent = IsNonIdempotent(request.method) && aExchange.Path() != kTicketPath;
  return request;
}

caller_request ReadForwardedRequest(connection::http_exchange& aExchange,
                                    const timeout_limits& aLimits, common::boot_time aNow,
                                    common::findings* aFindings)
{
  caller_request request = ReadCommonHeaders(aExchange, aLimits, aNow, aFindings);
  request_reader reader(aExchange, aFindings);
  request.method = reader.Required(kForwardMethodHeader);
  request.target = reader.Required(kForwardTargetHeader);
  request.nonIdempotent = IsNonIdempotent(request.method) && request.target != kTicketPath;
  return request;
}

connection::http_request MakeForward(const caller_request& aRequest, const common::endpoint& aPeer,
                                     const common::attempt_id& aAttempt,
                                     const std::string& aPeerKey, common::boot_time aNow)
{
  connection::http_request forward;
  // The HTTP library retries idempotent methods automatically, but not POST.
  forward.method = "POST";
  forward.authority = aPeer.Str();
  forward.target = kForwardPath;
  forward.headers = aRequest.headers;
  int64_t remainingMs = std::max<int64_t>(1, common::MillisUntil(aRequest.deadline, aNow));
  auto add = [&](const char* aName, const std::string& aValue) {
    forward.headers.push_back({ aName, aValue });
  };
  add(connection::kPeerKeyHeader, aPeerKey);
  add(kServiceHeader, aRequest.service.Str());
  add(kKeyHeader, aRequest.key);
  add(kClassHeader, aRequest.callerClass.Str());
  add(kTimeoutHeader, std::to_string(remainingMs));
  add(kAttemptHeader, aAttempt.Str());
  add(kForwardMethodHeader, aRequest.method);
  add(kForwardTargetHeader, aRequest.target);
  if (connection::FindHeader(aRequest.headers, kRequestIdHeader).empty()) {
    add(kRequestIdHeader, aRequest.id.Str());
  }
  forward.body = aRequest.body;
  return forward;
}

} // namespace bamboograde::request
