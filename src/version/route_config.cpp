#include "version/route_config.h"

#include <algorithm>

namespace bamboograde::version {

route_config::route_config(config_version aVersion, std::vector<route_rule> aRoutes,
                           std::vector<service_rule> aServices, caller_limits aCallers)
  : mVersion(aVersion)
  , mCallers(aCallers)
{
  for (route_rule& route : aRoutes) {
    mHosts[route.host].push_back(std::move(route));
  }
  for (auto& [host, routes] : mHosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route_rule& aLeft, const route_rule& aRight) {
                       return aLeft.prefix.size() > aRight.prefix.size();
                     });
  }
  for (service_rule& service : aServices) {
    mServices.emplace(service.name, std::move(service));
  }
}

const route_rule* route_config::Find(const std::string& aHost, std::string_view aPath) const
{
  auto host = mHosts.find(aHost);
  if (host == mHosts.end()) {
    return nullptr;
  }
  for (const route_rule& route : host->second) {
    if (aPath.substr(0, route.prefix.size()) == route.prefix) {
      return &route;
    }
  }
  return nullptr;
}

const service_rule* route_config::Service(const common::service_name& aName) const
{
  auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

size_t route_config::RouteCount() const
{
  size_t count = 0;
  for (const auto& [host, routes] : mHosts) {
    count += routes.size();
  }
  return count;
}

} // namespace bamboograde::version
