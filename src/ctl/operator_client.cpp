#include "ctl/operator_client.h"

namespace bamboograde::ctl {

namespace {

constexpr common::milliseconds kCallTimeout{ 10000 };

} // namespace

operator_client::operator_client(common::endpoint aDaemon, std::string aKey)
  : mDaemon(std::move(aDaemon))
  , mKey(std::move(aKey))
  , mClient({})
{
}

operator_response operator_client::Call(const std::string& aMethod, const std::string& aTarget,
                                        const common::json& aBody)
{
  connection::http_request request;
  request.method = aMethod;
  request.authority = mDaemon.Str();
  request.target = aTarget;
  request.headers = { { "Authorization", "Bearer " + mKey } };
  if (!aBody.is_null()) {
    request.body = common::Dump(aBody);
  }
  operator_response response;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  mClient.Send(request, mClock.Now() + kCallTimeout, mClock.Now(),
               [&response, loop](connection::http_result aResult) {
                 response.status = aResult.response.status;
                 response.text = std::move(aResult.response.body);
                 g_main_loop_quit(loop);
               });
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  auto parsed = common::ParseJson(response.text);
  if (parsed.has_value()) {
    response.body = std::move(parsed.assume_value());
  }
  return response;
}

std::string EscapeQuery(const std::string& aText)
{
  char* escaped = g_uri_escape_string(aText.c_str(), nullptr, FALSE);
  std::string text = escaped;
  g_free(escaped);
  return text;
}

} // namespace bamboograde::ctl
