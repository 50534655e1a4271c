// HTTP/1.1 server based on libsoup. Runs on the calling thread's default main context.
#pragma once

#include "common/error.h"
#include "common/ids.h"
#include "connection/http_exchange.h"

#include <functional>
#include <map>

namespace bamboograde::connection {

struct http_server_limits
{
  // Longer request bodies are discarded, and http_exchange::Oversized() returns true.
  size_t maxBodyBytes = 1 << 20;
  // A connection is closed if a request on it is not received completely within this time.
  unsigned requestTimeoutSeconds = 60;
};

class http_server
{
public:
  using handler = std::function<void(http_exchange_ptr)>;

  explicit http_server(http_server_limits aLimits);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Registers the handler of one exact path.
  void Handle(const std::string& aPath, handler aHandler);
  // Registers the handler of all paths without a handler of their own.
  void HandleDefault(handler aHandler);
  // Binds and listens. aShared: several workers of this process listen on the same address.
  common::result<void> Listen(const common::endpoint& aEndpoint, bool aShared);
  // Stops accepting connections. Open connections are still served.
  void StopListening();

private:
  static void OnRequestStarted(SoupServer* aServer, SoupServerMessage* aMessage, gpointer aSelf);
  static void OnGotHeaders(SoupServerMessage* aMessage, gpointer aSelf);
  static void OnGotChunk(SoupServerMessage* aMessage, GBytes* aChunk, gpointer aSelf);
  static void OnRequest(SoupServer* aServer, SoupServerMessage* aMessage, const char* aPath,
                        GHashTable* aQuery, gpointer aSelf);

  http_server_limits mLimits;
  SoupServer* mServer;
  GSocket* mSocket = nullptr;
  std::map<std::string, handler, std::less<>> mHandlers;
  handler mDefaultHandler;
};

} // namespace bamboograde::connection
