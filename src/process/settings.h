// The daemon's settings, which are read from a YAML file and validated completely.
#pragma once

#include "common/clock.h"
#include "common/findings.h"
#include "common/ids.h"
#include "process/lease/lease_terms.h"

#include <string>

namespace bamboograde::process {

// Addresses that the daemon listens on, one for each kind of client.
struct listen_settings
{
  // Requests from callers.
  common::endpoint caller;
  // Forwarded requests from other daemons.
  common::endpoint peer;
  // Leases, routing map and table from other daemons; the control task serves them, so that they do
  // not wait for requests.
  common::endpoint control;
  // The operator interface.
  common::endpoint operators;
  // Announcements of the upstream on the same VM.
  common::endpoint upstream;
};

struct limit_settings
{
  size_t maxBodyBytes = 1 << 20;
  common::milliseconds defaultTimeout{ 5000 };
  common::milliseconds maxTimeout{ 60000 };
  size_t maxQueued = 2000;
  unsigned upstreamConnections = 120;
  unsigned requestTimeoutSeconds = 60;
};

struct settings
{
  std::string vm;
  std::string region = "default";
  common::zone_name zone;
  common::service_name service;
  listen_settings listen;
  common::endpoint platform;
  // Secret that all daemons of a deployment share. It authenticates requests between daemons and
  // signs idempotency tickets.
  std::string peerKey;
  // Secret that operators send to be authorized for changes.
  std::string operatorKey;
  // Number of worker tasks.
  size_t workers = 2;
  // Number of slices that a new service is divided into.
  size_t initialSlices = 64;
  limit_settings limits;
  lease::lease_terms leaseTerms;
  // "text" or "json".
  std::string logFormat = "text";
};

// Reads a settings file. Reports all findings together, each with its file, line and key. The
// returned settings are valid only if there are no findings.
settings LoadSettings(const std::string& aPath, common::findings* aFindings);
// Like LoadSettings(), from the text of a file. aSource: name of the file for the findings.
settings ParseSettings(const std::string& aText, const std::string& aSource,
                       common::findings* aFindings);

} // namespace bamboograde::process
