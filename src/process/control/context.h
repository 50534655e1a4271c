// Settings, services and state that the parts of the control task share.
#pragma once

#include "common/random.h"
#include "connection/peer_client.h"
#include "connection/platform_store.h"
#include "process/counters.h"
#include "process/messages.h"
#include "process/settings.h"

namespace bamboograde::process::control {

// Timeout of a call to another daemon.
constexpr common::milliseconds kPeerTimeout{ 400 };
// Timeout of a call to the platform, after which the outcome is treated as unknown.
constexpr common::milliseconds kPlatformTimeout{ 2000 };

struct context
{
  const settings& config;
  const common::clock_source& clock;
  common::random_source& random;
  connection::platform_store& platform;
  connection::peer_transport& peers;
  mailboxes& boxes;
  counters& metrics;
  // Identifies this start of the process.
  common::boot_id boot;

  common::boot_time FromNow(common::milliseconds aDelay) const { return clock.Now() + aDelay; }
  version::witness_ref Self() const { return { config.listen.control, boot }; }
};

} // namespace bamboograde::process::control
