// Headers between daemons. They are removed from the messages of callers and upstreams in both
// directions, so that only daemons can set them.
#pragma once

#include "connection/http/message.h"

namespace bamboograde::process::sidecar {

constexpr char kFactsHeader[] = "Bamboograde-Facts";
constexpr char kRefusalHeader[] = "Bamboograde-Refusal";
constexpr char kFailureHeader[] = "Bamboograde-Failure";
constexpr char kLoadHeader[] = "Bamboograde-Load";

inline void RemoveDaemonHeaders(connection::http::header_list* aHeaders)
{
  for (const char* name : { kFactsHeader, kRefusalHeader, kFailureHeader, kLoadHeader }) {
    aHeaders->Remove(name);
  }
}

} // namespace bamboograde::process::sidecar
