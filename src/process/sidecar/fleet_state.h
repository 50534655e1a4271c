// The daemon's view of the fleet: members, configuration and key maps, each in the newest known
// version.
#pragma once

#include "process/lease/suspicion_lease.h"
#include "version/config_decoder.h"
#include "version/key_map.h"
#include "version/member.h"

#include <optional>
#include <vector>

namespace bamboograde::process::sidecar {

class fleet_observer
{
public:
  virtual ~fleet_observer() = default;
  virtual void OnMemberChanged(const version::member& aMember) {}
  virtual void OnConfigChanged() {}
  virtual void OnKeyMapChanged(const common::service_name& aService) {}
  virtual void OnEvacuationChanged(const common::zone_name& aZone) {}
  // The platform's era is known for the first time.
  virtual void OnFirstEra() {}
  // The platform has returned from an older copy. Nothing of the new era has been applied yet.
  // aFormer: the era before, as far as it was known here.
  virtual void OnPlatformReturned(common::store_era aFormer) {}
};

// What the operator last asked for an availability zone.
struct zone_evacuation
{
  // Version of the operator's row, or of its removal.
  common::row_version version;
  bool active = false;
};

// aList: as by fleet_state::EncodeEvacuations(); invalid entries are left out.
std::vector<std::pair<common::zone_name, zone_evacuation>> DecodeEvacuations(
  const common::json& aList);

enum class config_outcome
{
  kApplied,
  kInvalid,
  // It is the known one.
  kKnown,
  // A newer one is known.
  kOlder,
  // It has the version of the known one and another content.
  kDifferent,
};

class fleet_state
{
public:
  explicit fleet_state(const version::config_decoder& aDecoder)
    : mDecoder(aDecoder)
  {
  }
  void AddObserver(fleet_observer* aObserver) { mObservers.push_back(aObserver); }

  // The platform, or a peer that has heard it, has named its era; earlier ones are ignored.
  void OnEra(common::store_era aEra);
  // The latest era of the platform; empty while none is known.
  std::optional<common::store_era> Era() const { return mEra; }
  // Whether the platform has returned from an older copy since the first era was known here.
  bool HasSeenReturn() const { return mHasSeenReturn; }
  // Notes that all rows of the daemons' table have been read in the present era.
  void OnRowsRead() { mRowsReadIn = mEra; }
  // Whether a service without a known key map has none in the platform either. In a store that
  // names no era, a conditional write shows that.
  bool KnowsAllKeyMaps() const;

  // Each returns true if the value was newer than the known one and was applied.
  bool ApplyMember(const version::member& aMember);
  // Applies a list of members; invalid entries are ignored.
  bool ApplyMembers(const common::json& aList);
  // aValue: the configuration in the operator's format.
  config_outcome ApplyConfig(const common::json& aValue);
  bool ApplyKeyMap(const version::key_map_ptr& aMap);
  // The operator has asked to evacuate the zone or to take it back.
  bool ApplyEvacuation(const common::zone_name& aZone, const zone_evacuation& aEvacuation);
  common::json EncodeEvacuations() const;
  // The zone that an operator's row of this name evacuates; empty for other rows.
  common::zone_name EvacuatedZone(const std::string& aRow) const
  {
    return mDecoder.EvacuatedZone(aRow);
  }
  // Notes that the platform had no newer version of the service's key map at some moment not before
  // the confirmation's time.
  void ConfirmKeyMap(const common::service_name& aService,
                     const lease::map_confirmation& aConfirmation);

  const version::member_list& Members() const { return mMembers; }
  const std::map<common::zone_name, zone_evacuation>& Evacuations() const { return mEvacuations; }
  // Whether nothing is to be sent to the upstreams of the zone.
  bool IsEvacuated(const common::zone_name& aZone) const;
  // Null until the first configuration arrives.
  const version::route_config_ptr& Config() const { return mConfig; }
  const common::json& ConfigValue() const { return mConfigValue; }
  // Null if the service has no key map.
  version::key_map_ptr KeyMap(const common::service_name& aService) const;
  const std::map<common::service_name, version::key_map_ptr>& KeyMaps() const { return mKeyMaps; }
  // The latest confirmation of the service's key map; its time is the clock's origin if there is
  // none.
  lease::map_confirmation KeyMapConfirmation(const common::service_name& aService) const;
  // Members that are not stopping, except the one on aVm, ordered by VM. The pointers are valid
  // until a member changes.
  std::vector<const version::member*> RunningPeers(const std::string& aVm) const;
  // Whether the keys of the service have exclusive owners; false without a configuration.
  bool IsKeyed(const common::service_name& aService) const;
  // Number of members that are not stopping; at least 1.
  size_t RunningMemberCount() const;

private:
  const version::config_decoder& mDecoder;
  std::vector<fleet_observer*> mObservers;
  std::optional<common::store_era> mEra;
  bool mHasSeenReturn = false;
  std::optional<common::store_era> mRowsReadIn;
  version::member_list mMembers;
  version::route_config_ptr mConfig;
  common::json mConfigValue;
  std::map<common::zone_name, zone_evacuation> mEvacuations;
  std::map<common::service_name, version::key_map_ptr> mKeyMaps;
  std::map<common::service_name, lease::map_confirmation> mKeyMapConfirmations;
};

} // namespace bamboograde::process::sidecar
