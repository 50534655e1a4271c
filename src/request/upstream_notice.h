// What an upstream says of itself in a response.
#pragma once

#include "request/rate_limiter.h"

namespace bamboograde::request {

// How busy the upstream says it is.
struct upstream_load
{
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  // How many times as long as usual work takes on its VM at this moment; empty if it does not say.
  std::optional<double> slowdown;
};

struct upstream_notice
{
  // Requests that it takes from all VMs together, for as long as its responses say so.
  std::optional<request_rate> limit;
  // It names a limit that can not be read.
  bool unreadableLimit = false;
  // It is about to stop.
  bool leaving = false;
  std::optional<upstream_load> load;
};

} // namespace bamboograde::request
