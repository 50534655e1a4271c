// What the daemon knows of the fleet: members, configuration and key maps, each in its newest
// version.
#pragma once

#include "version/config_decoder.h"
#include "version/key_map.h"
#include "version/member.h"

#include <vector>

namespace bamboograde::process::sidecar {

class fleet_observer
{
public:
  virtual ~fleet_observer() = default;
  virtual void OnMemberChanged(const version::member& aMember) {}
  virtual void OnConfigChanged() {}
  virtual void OnKeyMapChanged(const common::service_name& aService) {}
};

class fleet_state
{
public:
  explicit fleet_state(const version::config_decoder& aDecoder)
    : mDecoder(aDecoder)
  {
  }
  void AddObserver(fleet_observer* aObserver) { mObservers.push_back(aObserver); }

  // Each returns true when the value was newer than the known one.
  bool ApplyMember(const version::member& aMember);
  // Applies a list of members; what is not one is left out.
  bool ApplyMembers(const common::json& aList);
  // aValue: the configuration as the operator wrote it.
  bool ApplyConfig(const common::json& aValue);
  bool ApplyKeyMap(const version::key_map_ptr& aMap);

  const version::member_list& Members() const { return mMembers; }
  // Null before the first configuration.
  const version::route_config_ptr& Config() const { return mConfig; }
  const common::json& ConfigValue() const { return mConfigValue; }
  // Null when the service has no map.
  version::key_map_ptr KeyMap(const common::service_name& aService) const;
  const std::map<common::service_name, version::key_map_ptr>& KeyMaps() const { return mKeyMaps; }
  // Daemons other than the one on aVm that are not stopping, in order of their VMs. Valid until the
  // next change of a member.
  std::vector<const version::member*> RunningPeers(const std::string& aVm) const;
  // Whether keys of the service belong to owners; false without a configuration.
  bool IsKeyed(const common::service_name& aService) const;
  // Daemons that are not stopping; at least one.
  size_t LiveMembers() const;

private:
  const version::config_decoder& mDecoder;
  std::vector<fleet_observer*> mObservers;
  version::member_list mMembers;
  version::route_config_ptr mConfig;
  common::json mConfigValue;
  std::map<common::service_name, version::key_map_ptr> mKeyMaps;
};

} // namespace bamboograde::process::sidecar
