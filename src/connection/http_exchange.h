// A request received by http_server, and its response.
#pragma once

#include "connection/http_message.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <libsoup/soup.h>

namespace bamboograde::connection {

// Valid as long as a reference is held, also after the response or a disconnect. If the last
// reference is released without a response, status 500 is sent. May only be used on the thread of
// its server.
class http_exchange
  : public boost::intrusive_ref_counter<http_exchange, boost::thread_unsafe_counter>
{
public:
  http_exchange(SoupServerMessage* aMessage, bool aOversized);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  std::string Method() const;
  // Path without query.
  std::string Path() const;
  // Path and query, as received.
  std::string Target() const;
  // Decoded value of a query parameter; empty when absent.
  std::string Query(const char* aName) const;
  // Empty when absent.
  std::string Header(const char* aName) const;
  header_list Headers() const;
  std::string TakeBody();
  // Whether the body exceeded the server's limit and was discarded.
  bool Oversized() const { return mOversized; }
  // Whether the request still needs a response.
  bool Open() const { return mMessage != nullptr && !mResponded; }

  // Sends the response. Has no effect after the first call or when the connection has closed.
  void Respond(const http_response& aResponse);
  void RespondJson(int aStatus, const std::string& aJson);
  // Calls aCallback at most once, when the client disconnects before the response.
  void WatchDisconnect(std::function<void()> aCallback);

private:
  static gboolean OnSocketReady(GSocket* aSocket, GIOCondition aCondition, gpointer aSelf);
  void StopDisconnectWatch();

  SoupServerMessage* mMessage;
  bool mOversized;
  bool mResponded = false;
  GSource* mDisconnectSource = nullptr;
  std::function<void()> mOnDisconnect;
};

using http_exchange_ptr = boost::intrusive_ptr<http_exchange>;

} // namespace bamboograde::connection
