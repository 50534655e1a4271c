// Calls between daemons with JSON bodies, authenticated by a shared key.
#pragma once

#include "common/json.h"
#include "connection/http_client.h"

namespace bamboograde::connection {

// Request header with the shared key.
constexpr char kPeerKeyHeader[] = "Bamboograde-Peer-Key";

struct peer_reply
{
  bool ok = false;
  int status = 0;
  common::json body;
};

// Interface through which control decisions call other daemons. Tests replace it by a fake.
class peer_transport
{
public:
  virtual ~peer_transport() = default;
  // Sends aBody to aPath by POST. The callback runs exactly once, also on failure.
  virtual void Call(const common::endpoint& aPeer, const std::string& aPath,
                    const common::json& aBody, common::boot_time aDeadline,
                    std::function<void(peer_reply)> aCallback) = 0;
};

// Calls peers over HTTP with persistent connections.
class peer_client : public peer_transport
{
public:
  peer_client(const common::clock_source& aClock, std::string aSharedKey);
  void Call(const common::endpoint& aPeer, const std::string& aPath, const common::json& aBody,
            common::boot_time aDeadline, std::function<void(peer_reply)> aCallback) override;
  // Bytes for the control-traffic counters. Sent bytes are bodies plus an estimate of the headers
  // of request and response; received bytes are bodies alone.
  uint64_t BytesSent() const { return mBytesSent; }
  uint64_t BytesReceived() const { return mBytesReceived; }

private:
  const common::clock_source& mClock;
  std::string mSharedKey;
  http_client mClient;
  uint64_t mBytesSent = 0;
  uint64_t mBytesReceived = 0;
};

} // namespace bamboograde::connection
