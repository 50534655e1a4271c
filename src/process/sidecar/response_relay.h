// Passes the answer of an attempt on to the caller.
//
// Small answers are held until they are whole, so that one which breaks off can still be replaced
// by another attempt's; longer ones are passed on as they arrive, no faster than the caller reads.
#pragma once

#include "connection/http/server_connection.h"
#include "request/attempt.h"

namespace bamboograde::process::sidecar {

class response_relay
{
public:
  // aHoldBytes: answers up to this size are held until they are whole.
  response_relay(connection::http::server_exchange_ptr aExchange, size_t aHoldBytes)
    : mExchange(std::move(aExchange))
    , mHoldBytes(aHoldBytes)
  {
  }
  void OnHead(const connection::http::response_head& aHead);
  // aAttempt: paused while the caller does not keep up.
  void OnBody(std::string_view aBytes, request::attempt& aAttempt);
  void OnEnd();
  // The caller has caught up.
  void OnWritable(request::attempt& aAttempt);
  // Forgets an answer that was held, so that another can take its place.
  void Discard();
  // Part of the answer has gone to the caller.
  bool Started() const { return mExchange->Started(); }
  int Status() const { return mHead.status; }

private:
  void Begin();

  connection::http::server_exchange_ptr mExchange;
  size_t mHoldBytes;
  connection::http::response_head mHead;
  std::string mHeld;
};

} // namespace bamboograde::process::sidecar
