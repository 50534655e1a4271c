// Streams a caller's body to an attempt, with backpressure from the attempt.
#pragma once

#include "connection/http/server_connection.h"
#include "request/attempt.h"

namespace bamboograde::process::sidecar {

class request_body
{
public:
  // Bodies up to this size are buffered whole, so that the request can be retried.
  static constexpr size_t kMaxBufferedBytes = size_t(64) * 1024;

  explicit request_body(connection::http::server_exchange_ptr aExchange)
    : mExchange(std::move(aExchange))
  {
  }
  // Whether enough of the body has arrived to place the request: all of it, or more than
  // kMaxBufferedBytes.
  bool ReadyToPlace() const;
  // Returns the initial part of the body, the same at each call. The rest of an incomplete body
  // follows through Pump() and can not be sent again.
  std::string Take();
  bool Whole() const { return mWhole; }
  // Sends what has arrived since to the attempt.
  void Pump(request::attempt& aAttempt);

private:
  connection::http::server_exchange_ptr mExchange;
  std::string mBuffered;
  bool mTaken = false;
  bool mWhole = false;
  bool mFinished = false;
};

} // namespace bamboograde::process::sidecar
