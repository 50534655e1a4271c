#include "connection/http_platform_store.h"

#include "connection/platform_codec.h"

namespace bamboograde::connection {

using common::json;

namespace {

std::string EscapeUri(const std::string& aText)
{
  char* escaped = g_uri_escape_string(aText.c_str(), "/", FALSE);
  std::string text = escaped;
  g_free(escaped);
  return text;
}

common::error Unavailable()
{
  return { common::error_code::kUnavailable,
           "The platform did not answer. The daemon goes on with what it knows and asks again." };
}

} // namespace

http_platform_store::http_platform_store(const common::clock_source& aClock,
                                         common::endpoint aPlatform, std::string aClient)
  : mClock(aClock)
  , mPlatform(std::move(aPlatform))
  , mClientName(std::move(aClient))
  , mClient({})
{
}

http_request http_platform_store::MakeRequest(const std::string& aMethod,
                                              const std::string& aTarget) const
{
  http_request request;
  request.method = aMethod;
  request.authority = mPlatform.Str();
  request.target = aTarget;
  request.headers.push_back({ "Platform-Client", mClientName });
  return request;
}

void http_platform_store::Commit(const transaction& aTransaction, common::boot_time aDeadline,
                                 std::function<void(commit_result)> aCallback)
{
  http_request request = MakeRequest("POST", "/v1/transact");
  request.body = common::Dump(EncodeTransaction(aTransaction));
  mClient.Send(
    request, aDeadline, mClock.Now(), [callback = std::move(aCallback)](http_result aResult) {
      commit_result result;
      auto body = common::ParseJson(aResult.response.body);
      if (aResult.Ok() && aResult.response.status == 200 && body.has_value()) {
        result.outcome = commit_outcome::kCommitted;
        result.version = common::row_version(common::GetNumber(body.assume_value(), "version"));
      } else if (aResult.Ok() && aResult.response.status == 409) {
        result.outcome = commit_outcome::kConflict;
      }
      callback(result);
    });
}

void http_platform_store::Read(const std::string& aName, common::boot_time aDeadline,
                               std::function<void(common::result<platform_row>)> aCallback)
{
  mClient.Send(MakeRequest("GET", "/v1/row?name=" + EscapeUri(aName)), aDeadline, mClock.Now(),
               [callback = std::move(aCallback)](http_result aResult) {
                 auto body = common::ParseJson(aResult.response.body);
                 if (!aResult.Ok() || aResult.response.status != 200 || !body.has_value()) {
                   callback(Unavailable());
                   return;
                 }
                 callback(DecodeRow(body.assume_value()));
               });
}

void http_platform_store::Scan(
  const std::string& aPrefix, const std::string& aAfter, size_t aLimit, common::boot_time aDeadline,
  std::function<void(common::result<std::vector<platform_row>>)> aCallback)
{
  std::string target = "/v1/rows?prefix=" + EscapeUri(aPrefix) + "&after=" + EscapeUri(aAfter) +
                       "&limit=" + std::to_string(aLimit);
  mClient.Send(MakeRequest("GET", target), aDeadline, mClock.Now(),
               [callback = std::move(aCallback)](http_result aResult) {
                 auto body = common::ParseJson(aResult.response.body);
                 if (!aResult.Ok() || aResult.response.status != 200 || !body.has_value()) {
                   callback(Unavailable());
                   return;
                 }
                 std::vector<platform_row> rows;
                 for (const json& item : common::GetArray(body.assume_value(), "rows")) {
                   rows.push_back(DecodeRow(item));
                 }
                 callback(std::move(rows));
               });
}

} // namespace bamboograde::connection
