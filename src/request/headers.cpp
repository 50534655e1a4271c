#include "request/headers.h"

#include "common/json.h"

#include <array>
#include <glib.h>

namespace bamboograde::request {

namespace {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         g_ascii_strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix)
{
  return aText.size() >= aPrefix.size() &&
         EqualsIgnoringCase(aText.substr(0, aPrefix.size()), aPrefix);
}

constexpr char kRetryAfterSeconds[] = "1";

} // namespace

bool IsInternalHeader(std::string_view aName)
{
  static constexpr std::array<std::string_view, 11> kHopByHop = { "Connection",
                                                                  "Keep-Alive",
                                                                  "Proxy-Connection",
                                                                  "Transfer-Encoding",
                                                                  "TE",
                                                                  "Trailer",
                                                                  "Upgrade",
                                                                  "Host",
                                                                  "Expect",
                                                                  "Content-Length",
                                                                  "Proxy-Authorization" };
  for (std::string_view name : kHopByHop) {
    if (EqualsIgnoringCase(aName, name)) {
      return true;
    }
  }
  return StartsWithIgnoringCase(aName, "Bamboograde-") || EqualsIgnoringCase(aName, "Upstream-Run");
}

connection::http_response RefusalResponse(const refusal& aRefusal, const common::request_id& aId)
{
  connection::http_response response;
  response.status = StatusOf(aRefusal.reason);
  const char* outcome = NameOf(OutcomeOf(aRefusal.reason));
  const char* reason = NameOf(aRefusal.reason);
  std::string version = std::to_string(aRefusal.tableVersion.Value());
  response.headers = {
    { kOutcomeHeader, outcome },        { kReasonHeader, reason },
    { kRowHeader, aRefusal.row.Str() }, { kTableVersionHeader, version },
    { kRequestIdHeader, aId.Str() },    { "Content-Type", "application/problem+json" }
  };
  if (IsTemporary(aRefusal.reason)) {
    response.headers.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  common::json body = {
    { "title", reason },           { "status", response.status },
    { "detail", aRefusal.detail }, { "outcome", outcome },
    { "row", aRefusal.row.Str() }, { "table_version", aRefusal.tableVersion.Value() },
    { "request_id", aId.Str() }
  };
  response.body = common::Dump(body);
  return response;
}

refusal RefusalFromResponse(const connection::http_response& aResponse)
{
  refusal decoded;
  auto reason = connection::FindHeader(aResponse.headers, kReasonHeader);
  if (reason.empty()) {
    return decoded;
  }
  decoded.reason = ReasonFromName(std::string(reason));
  decoded.row = common::row_id(std::string(connection::FindHeader(aResponse.headers, kRowHeader)));
  auto body = common::ParseJson(aResponse.body);
  if (body.has_value()) {
    decoded.detail = common::GetString(body.assume_value(), "detail");
    decoded.tableVersion =
      common::table_version(common::GetNumber(body.assume_value(), "table_version"));
  }
  return decoded;
}

} // namespace bamboograde::request
