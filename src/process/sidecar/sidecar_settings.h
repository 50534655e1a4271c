// Settings of the sidecar daemon, read from one YAML file and checked whole.
#pragma once

#include "common/clock.h"
#include "common/findings.h"
#include "common/ids.h"

#include <string>
#include <vector>

namespace bamboograde::process::sidecar {

// Addresses that the daemon listens at; each audience has its own.
struct sidecar_listeners
{
  // Callers on this VM.
  common::endpoint callers;
  // Requests that other daemons forward to the upstream.
  common::endpoint forwards;
  // Control messages of other daemons.
  common::endpoint control;
  // Whether the daemon is ready, and its counters.
  common::endpoint readiness;
  // The upstream's announcements.
  common::endpoint announcements;
  // Counters for collectors. Empty: only beside the readiness.
  common::endpoint metrics;
};

// What the daemon has to keep to, as its deployment sets it.
struct sidecar_bounds
{
  // How long after SIGTERM the process may run.
  common::milliseconds grace{ 6000 };
  // How long after it has said that it leaves an upstream may still get requests.
  common::milliseconds drain{ 2000 };
  // Repeats that all daemons may make for each request of a service, and besides, in each window.
  double retryRatio = 0.2;
  double retrySlack = 50;
  common::milliseconds retryWindow{ 10000 };
  // Longest time that an upstream may hold keys without a new grant.
  common::milliseconds maxHold{ 10000 };
};

struct sidecar_settings
{
  // IP address of the VM; identifies the daemon.
  std::string vm;
  common::zone_name zone;
  common::service_name service;
  common::endpoint upstream;
  // The platform's table service.
  common::endpoint platform;
  // How often the upstream announces itself.
  common::milliseconds announcePeriod{ 1000 };
  // The fleet starts for the first time.
  bool firstStart = false;
  sidecar_listeners listen;
  sidecar_bounds bounds;
  // Control addresses of daemons to ask when the platform is unreachable.
  std::vector<common::endpoint> seeds;
};

// Reads aPath. All findings are reported together; the settings are usable only if there are none.
sidecar_settings LoadSidecarSettings(const std::string& aPath, common::findings* aFindings);
sidecar_settings ParseSidecarSettings(const std::string& aText, const std::string& aSource,
                                      common::findings* aFindings);

} // namespace bamboograde::process::sidecar
