// Settings of the sidecar daemon, read from one YAML file and validated as a whole.
#pragma once

#include "common/clock.h"
#include "common/findings.h"
#include "common/ids.h"

#include <string>
#include <vector>

namespace bamboograde::process::sidecar {

// Listen addresses of the daemon, one for each kind of client.
struct sidecar_listeners
{
  // Callers on this VM.
  common::endpoint callers;
  // Requests that other daemons forward to the upstream.
  common::endpoint forwards;
  // Control messages of other daemons.
  common::endpoint control;
  // Readiness probe and metrics.
  common::endpoint readiness;
  // The upstream's announcements.
  common::endpoint announcements;
  // Metrics only. Empty: metrics are served only at the readiness address.
  common::endpoint metrics;
};

// Addresses under which other daemons reach this one. Empty: its listen address.
struct sidecar_advertised
{
  common::endpoint forwards;
  common::endpoint control;
};

// Limits that the deployment sets for the daemon.
struct sidecar_bounds
{
  // Maximum time from SIGTERM to the exit of the process.
  common::milliseconds grace{ 6000 };
  // How long an upstream may still receive requests after it has announced that it leaves.
  common::milliseconds drain{ 2000 };
  // A change of the configuration is in force this long after the platform has acknowledged it.
  common::milliseconds configApply{ 2000 };
  // Retry budget of all daemons together, by service: retries per request, and additional retries
  // per window.
  double retryRatio = 0.2;
  double retrySlack = 50;
  common::milliseconds retryWindow{ 10000 };
  // Maximum time that an upstream may hold keys without a new grant.
  common::milliseconds maxHold{ 10000 };
  // A cold upstream gets at most its cold rate times the overage plus the slack in each second.
  double coldOverage = 1;
  double coldSlack = 0;
  // Maximum time from the operator's request to evacuate an availability zone until its upstreams
  // get no more requests.
  common::milliseconds evacuate{ 5000 };
};

// How the upstream is granted keys.
enum class grant_method
{
  // In the responses to its announcements.
  kResponse,
  // By calls at its address.
  kDirect,
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
  grant_method grants = grant_method::kResponse;
  // Rate of the VM's network link in Mbit/s; 0 when unknown.
  double linkMbps = 0;
  // The fleet is being started for the first time.
  bool firstStart = false;
  sidecar_listeners listen;
  sidecar_advertised advertise;
  sidecar_bounds bounds;
  // Control addresses of daemons to ask when the platform is unreachable.
  std::vector<common::endpoint> seeds;

  // The addresses that other daemons are told.
  const common::endpoint& PublicForwards() const
  {
    return advertise.forwards.Empty() ? listen.forwards : advertise.forwards;
  }
  const common::endpoint& PublicControl() const
  {
    return advertise.control.Empty() ? listen.control : advertise.control;
  }
};

// Reads aPath. Reports all findings; the settings are valid only if there are none.
sidecar_settings LoadSidecarSettings(const std::string& aPath, common::findings* aFindings);
sidecar_settings ParseSidecarSettings(const std::string& aText, const std::string& aSource,
                                      common::findings* aFindings);

} // namespace bamboograde::process::sidecar
