// Passes a caller's body on to an attempt, no faster than the attempt takes it.
#pragma once

#include "connection/http/server_connection.h"
#include "request/attempt.h"

namespace bamboograde::process::sidecar {

class request_body
{
public:
  // Bodies up to this size are kept whole, so that the request can be sent again.
  static constexpr size_t kKeepBytes = size_t(64) * 1024;

  explicit request_body(connection::http::server_exchange_ptr aExchange)
    : mExchange(std::move(aExchange))
  {
  }
  // Enough has arrived to place the request: all of it, or more than is kept.
  bool Placeable() const;
  // What the attempt begins with, the same each time. The rest of a body that is not whole follows
  // through Pump() and can not be sent a second time.
  std::string Take();
  bool Whole() const { return mWhole; }
  // Passes on what has arrived since.
  void Pump(request::attempt& aAttempt);

private:
  connection::http::server_exchange_ptr mExchange;
  std::string mKept;
  bool mTaken = false;
  bool mWhole = false;
  bool mFinished = false;
};

} // namespace bamboograde::process::sidecar
