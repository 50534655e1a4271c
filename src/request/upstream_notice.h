// What an upstream says of itself in a response.
#pragma once

#include "request/rate_limiter.h"

namespace bamboograde::request {

struct upstream_notice
{
  // Requests that it takes from all VMs together, for as long as its responses say so.
  std::optional<request_rate> limit;
  // It names a limit that can not be read.
  bool unreadableLimit = false;
  // It is about to stop.
  bool leaving = false;
};

} // namespace bamboograde::request
