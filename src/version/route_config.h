// One immutable version of the routes, the services and the limits on callers that operators
// configure.
#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboograde::version {

using config_version = common::number_id<struct config_version_tag>;

struct weighted_service
{
  common::service_name service;
  // Share of the route's requests relative to the other services of the route.
  double weight = 1;
};

// Applies to requests for one host whose path begins with a prefix.
struct route_rule
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // Requests may run more than once, so that a retry is harmless.
  bool idempotent = false;
  // Responses are large.
  bool bulk = false;
  // The longest time until the caller gets a response.
  common::milliseconds timeout{ 0 };
  // Responses within this time have their full value to the caller.
  common::milliseconds targetLatency{ 0 };
  // Priority; zero is the highest.
  unsigned rank = 0;
  // How many upstreams one request may be sent to, one after the other.
  unsigned maxAttempts = 1;
  std::vector<weighted_service> services;
};

struct service_rule
{
  common::service_name name;
  // Each key of the service is served by the one upstream that holds it.
  bool keyed = false;
  // Path at which an upstream of the service tells whether it is ready; empty if there is none.
  std::string healthPath;
  // Connections that an upstream of the service accepts.
  unsigned maxConnections = 0;
  // Requests per second that a cold upstream of the service tolerates; empty: as many as a warm
  // one.
  std::optional<double> coldRate;
};

// Limits on the requests and connections of callers.
struct caller_limits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 64ULL << 20;
  common::milliseconds headerTimeout{ 5000 };
  common::milliseconds idleTimeout{ 15000 };
};

class route_config : public boost::intrusive_ref_counter<route_config, boost::thread_unsafe_counter>
{
public:
  route_config(config_version aVersion, std::vector<route_rule> aRoutes,
               std::vector<service_rule> aServices, caller_limits aCallers);

  config_version Version() const { return mVersion; }
  // The route with the longest prefix of aPath; null when none matches.
  const route_rule* Find(const std::string& aHost, std::string_view aPath) const;
  // Null when the service is not configured.
  const service_rule* Service(const common::service_name& aName) const;
  const std::map<common::service_name, service_rule>& Services() const { return mServices; }
  const caller_limits& Callers() const { return mCallers; }
  size_t RouteCount() const;

private:
  config_version mVersion;
  // The routes of each host, in descending order of the length of their prefixes.
  std::unordered_map<std::string, std::vector<route_rule>> mHosts;
  std::map<common::service_name, service_rule> mServices;
  caller_limits mCallers;
};

using route_config_ptr = boost::intrusive_ptr<const route_config>;

} // namespace bamboograde::version
