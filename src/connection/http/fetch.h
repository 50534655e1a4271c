// A call whose request and response are small enough to be held whole, with a deadline.
#pragma once

#include "connection/http/client_pool.h"

namespace bamboograde::connection::http {

struct fetch_result
{
  // Zero when there was no response.
  int status = 0;
  std::string body;
  call_error error;
};

using fetch_callback = std::function<void(const fetch_result&)>;

struct fetch_request
{
  common::endpoint target;
  std::string method;
  // Path and query.
  std::string path;
  std::string body;
  common::boot_time deadline;
};

// Calls back exactly once, by the deadline. A connection on which the deadline has passed is
// closed.
void Fetch(event_loop& aLoop, client_pool& aPool, fetch_request aRequest, fetch_callback aCallback);

} // namespace bamboograde::connection::http
