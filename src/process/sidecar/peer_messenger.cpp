#include "process/sidecar/peer_messenger.h"

#include "connection/http/fetch.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr int kOk = 200;

} // namespace

void peer_messenger::Send(const common::endpoint& aControl, const char* aPath,
                          const common::json& aBody, common::boot_time aDeadline,
                          peer_callback aCallback)
{
  connection::http::Fetch(
    mRuntime.loop, mRuntime.pool, { aControl, "POST", aPath, common::Dump(aBody), aDeadline },
    [callback = std::move(aCallback)](const connection::http::fetch_result& aResult) {
      if (aResult.status != kOk) {
        std::string reason =
          aResult.status == 0 ? aResult.error.reason : "status " + std::to_string(aResult.status);
        callback(common::error{ common::error_code::kUnavailable, "no answer: " + reason });
        return;
      }
      callback(common::ParseJson(aResult.body));
    });
}

} // namespace bamboograde::process::sidecar
