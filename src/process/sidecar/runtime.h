// Dependencies shared by all components of the sidecar daemon. Lives as long as the process.
#pragma once

#include "common/random.h"
#include "connection/http/client_pool.h"
#include "process/sidecar/bulk_writer.h"
#include "process/sidecar/decision_log.h"
#include "process/sidecar/fleet_state.h"
#include "process/sidecar/metrics_registry.h"
#include "process/sidecar/sidecar_settings.h"
#include "request/header_translator.h"

namespace bamboograde::process::sidecar {

struct runtime
{
  const sidecar_settings& settings;
  connection::http::event_loop& loop;
  const common::clock_source& clock;
  common::random_source& random;
  // Connections to the upstream, to other daemons and to the platform.
  connection::http::client_pool& pool;
  const request::header_translator& headers;
  fleet_state& fleet;
  decision_log& log;
  metrics_registry& counters;
  // Number of requests, from callers and from other daemons, whose response is not complete.
  size_t& inFlight;
  // Null: bulk responses are written as they arrive.
  bulk_writer* bulk = nullptr;

  common::boot_time Now() const { return clock.Now(); }
};

} // namespace bamboograde::process::sidecar
