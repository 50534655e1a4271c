// Relays the response of an attempt to the caller.
//
// Small responses are buffered until complete, so that a truncated one can still be replaced by
// that of another attempt. Larger ones are streamed, with backpressure from the caller.
#pragma once

#include "connection/http/server_connection.h"
#include "request/attempt.h"

namespace bamboograde::process::sidecar {

class response_relay
{
public:
  // aMaxBufferedBytes: responses up to this size are buffered until complete.
  response_relay(connection::http::server_exchange_ptr aExchange, size_t aMaxBufferedBytes)
    : mExchange(std::move(aExchange))
    , mMaxBufferedBytes(aMaxBufferedBytes)
  {
  }
  void OnHead(const connection::http::response_head& aHead);
  // aAttempt is paused while the caller's connection is congested.
  void OnBody(std::string_view aBytes, request::attempt& aAttempt);
  void OnEnd();
  // The caller's connection is writable again.
  void OnWritable(request::attempt& aAttempt);
  // Drops a buffered response, so that another can replace it.
  void Discard();
  // Whether part of the response has been sent to the caller.
  bool Started() const { return mExchange->Started(); }
  int Status() const { return mHead.status; }

private:
  void Begin();

  connection::http::server_exchange_ptr mExchange;
  size_t mMaxBufferedBytes;
  connection::http::response_head mHead;
  std::string mBuffered;
};

} // namespace bamboograde::process::sidecar
