#include "connection/peer_client.h"

namespace bamboograde::connection {

namespace {

// Estimated size of the request line, status line and headers of one call.
constexpr uint64_t kCallOverheadBytes = 330;

} // namespace

peer_client::peer_client(const common::clock_source& aClock, std::string aSharedKey)
  : mClock(aClock)
  , mSharedKey(std::move(aSharedKey))
  , mClient({})
{
}

void peer_client::Call(const common::endpoint& aPeer, const std::string& aPath,
                       const common::json& aBody, common::boot_time aDeadline,
                       std::function<void(peer_reply)> aCallback)
{
  http_request request;
  request.method = "POST";
  request.authority = aPeer.Str();
  request.target = aPath;
  request.headers.push_back({ kPeerKeyHeader, mSharedKey });
  request.body = common::Dump(aBody);
  mBytesSent += request.body.size() + kCallOverheadBytes;
  mClient.Send(request, aDeadline, mClock.Now(),
               [this, callback = std::move(aCallback)](http_result aResult) {
                 peer_reply reply;
                 reply.status = aResult.response.status;
                 mBytesReceived += aResult.response.body.size();
                 if (aResult.Ok() && reply.status == 200) {
                   auto body = common::ParseJson(aResult.response.body);
                   reply.ok = body.has_value();
                   if (body.has_value()) {
                     reply.body = std::move(body.assume_value());
                   }
                 }
                 callback(std::move(reply));
               });
}

} // namespace bamboograde::connection
