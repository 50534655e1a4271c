#include "process/sidecar/fleet_state.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace bamboograde::process::sidecar {

std::vector<std::pair<common::zone_name, zone_evacuation>> DecodeEvacuations(
  const common::json& aList)
{
  std::vector<std::pair<common::zone_name, zone_evacuation>> evacuations;
  for (const common::json& value : aList) {
    common::zone_name zone(common::GetString(value, "zone"));
    if (!zone.Empty()) {
      evacuations.push_back(
        { zone, { common::GetVersion(value, "row"), common::GetBool(value, "active") } });
    }
  }
  return evacuations;
}

void fleet_state::OnEra(common::store_era aEra)
{
  if (mEra.has_value() && aEra <= *mEra) {
    return;
  }
  std::optional<common::store_era> former = std::exchange(mEra, aEra);
  mHasSeenReturn = former.has_value();
  for (fleet_observer* observer : mObservers) {
    if (former.has_value()) {
      observer->OnPlatformReturned(*former);
    } else {
      observer->OnFirstEra();
    }
  }
}

bool fleet_state::KnowsAllKeyMaps() const
{
  return mEra.has_value() && (*mEra == common::store_era() || mRowsReadIn == mEra);
}

bool fleet_state::ApplyMember(const version::member& aMember)
{
  if (!mMembers.Apply(aMember)) {
    return false;
  }
  for (fleet_observer* observer : mObservers) {
    observer->OnMemberChanged(aMember);
  }
  return true;
}

bool fleet_state::ApplyMembers(const common::json& aList)
{
  bool changed = false;
  for (const common::json& value : aList) {
    if (auto member = version::DecodeMember(value); member.has_value()) {
      changed = ApplyMember(*member) || changed;
    }
  }
  return changed;
}

config_outcome fleet_state::ApplyConfig(const common::json& aValue)
{
  auto decoded = mDecoder.Decode(aValue);
  if (!decoded.has_value()) {
    spdlog::warn("configuration ignored: {}", decoded.assume_error().message);
    return config_outcome::kInvalid;
  }
  version::route_config_ptr config = std::move(decoded).assume_value();
  if (mConfig != nullptr && config->Version() < mConfig->Version()) {
    return config_outcome::kOlder;
  }
  if (mConfig != nullptr && config->Version() == mConfig->Version()) {
    return aValue == mConfigValue ? config_outcome::kKnown : config_outcome::kDifferent;
  }
  mConfig = config;
  mConfigValue = aValue;
  for (fleet_observer* observer : mObservers) {
    observer->OnConfigChanged();
  }
  return config_outcome::kApplied;
}

bool fleet_state::ApplyEvacuation(const common::zone_name& aZone,
                                  const zone_evacuation& aEvacuation)
{
  bool wasActive = IsEvacuated(aZone);
  zone_evacuation& known = mEvacuations[aZone];
  if (known.version >= aEvacuation.version) {
    return false;
  }
  known = aEvacuation;
  if (wasActive != aEvacuation.active) {
    for (fleet_observer* observer : mObservers) {
      observer->OnEvacuationChanged(aZone);
    }
  }
  return true;
}

common::json fleet_state::EncodeEvacuations() const
{
  common::json list = common::json::array();
  for (const auto& [zone, evacuation] : mEvacuations) {
    list.push_back({ { "zone", zone.Str() },
                     { "row", common::EncodeVersion(evacuation.version) },
                     { "active", evacuation.active } });
  }
  return list;
}

bool fleet_state::IsEvacuated(const common::zone_name& aZone) const
{
  auto found = mEvacuations.find(aZone);
  return found != mEvacuations.end() && found->second.active;
}

bool fleet_state::ApplyKeyMap(const version::key_map_ptr& aMap)
{
  OnEra(aMap->version.Era());
  version::key_map_ptr& known = mKeyMaps[aMap->service];
  if (known != nullptr && known->version >= aMap->version) {
    return false;
  }
  known = aMap;
  for (fleet_observer* observer : mObservers) {
    observer->OnKeyMapChanged(aMap->service);
  }
  return true;
}

version::key_map_ptr fleet_state::KeyMap(const common::service_name& aService) const
{
  auto found = mKeyMaps.find(aService);
  return found == mKeyMaps.end() ? nullptr : found->second;
}

void fleet_state::ConfirmKeyMap(const common::service_name& aService,
                                const lease::map_confirmation& aConfirmation)
{
  lease::map_confirmation& latest = mKeyMapConfirmations[aService];
  if (aConfirmation.at > latest.at) {
    latest = aConfirmation;
  }
}

lease::map_confirmation fleet_state::KeyMapConfirmation(const common::service_name& aService) const
{
  auto found = mKeyMapConfirmations.find(aService);
  return found == mKeyMapConfirmations.end() ? lease::map_confirmation() : found->second;
}

std::vector<const version::member*> fleet_state::RunningPeers(const std::string& aVm) const
{
  std::vector<const version::member*> peers;
  for (const auto& [vm, member] : mMembers.All()) {
    if (vm != aVm && !member.stopping) {
      peers.push_back(&member);
    }
  }
  return peers;
}

bool fleet_state::IsKeyed(const common::service_name& aService) const
{
  const version::service_rule* service = mConfig == nullptr ? nullptr : mConfig->Service(aService);
  return service != nullptr && service->keyed;
}

size_t fleet_state::RunningMemberCount() const
{
  const auto& all = mMembers.All();
  auto running =
    std::count_if(all.begin(), all.end(), [](const auto& aItem) { return !aItem.second.stopping; });
  return size_t(std::max<int64_t>(running, 1));
}

} // namespace bamboograde::process::sidecar
