// A client call with a deadline whose request and response are held in memory completely.
#pragma once

#include "connection/http/client_pool.h"

namespace bamboograde::connection::http {

struct fetch_result
{
  // HTTP status, or zero if the call failed; then error tells why.
  int status = 0;
  header_list headers;
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

// Sends a request and calls back exactly once: with the response, the failure, or at the deadline.
// At the deadline the call's connection and all idle connections to the target are closed.
void Fetch(event_loop& aLoop, client_pool& aPool, fetch_request aRequest, fetch_callback aCallback);

} // namespace bamboograde::connection::http
