#include "version/key_map_delta.h"

namespace bamboograde::version {

common::json EncodeKeyMapDelta(const key_map* aBefore, const key_map& aAfter)
{
  if (aBefore != nullptr && aBefore->version.Era() != aAfter.version.Era()) {
    // A version of an earlier era may stand for another map at each daemon.
    return EncodeKeyMapDelta(nullptr, aAfter);
  }
  // A map with the changed owners alone is encoded like a whole map.
  key_map changed;
  changed.service = aAfter.service;
  changed.lastFence = aAfter.lastFence;
  changed.settled = aAfter.settled;
  for (const key_owner& owner : aAfter.owners) {
    const key_owner* former = aBefore == nullptr ? nullptr : aBefore->Owner(owner.vm);
    if (former == nullptr || *former != owner) {
      changed.owners.push_back(owner);
    }
  }
  common::json removed = common::json::array();
  if (aBefore != nullptr) {
    for (const key_owner& owner : aBefore->owners) {
      if (aAfter.Owner(owner.vm) == nullptr) {
        removed.push_back(owner.vm);
      }
    }
  }
  return { { "base",
             common::EncodeVersion(aBefore == nullptr ? common::row_version() : aBefore->version) },
           { "row", common::EncodeVersion(aAfter.version) },
           { "changed", EncodeKeyMap(changed) },
           { "gone", std::move(removed) } };
}

common::service_name ServiceOfDelta(const common::json& aDelta)
{
  return common::service_name(common::GetString(common::GetObject(aDelta, "changed"), "service"));
}

applied_delta ApplyKeyMapDelta(const key_map* aKnown, const common::json& aDelta)
{
  applied_delta applied;
  boost::intrusive_ptr<key_map> changed = DecodeKeyMap(common::GetObject(aDelta, "changed"));
  common::row_version base = common::GetVersion(aDelta, "base");
  common::row_version row = common::GetVersion(aDelta, "row");
  if (changed == nullptr || row <= base) {
    return applied;
  }
  applied.service = changed->service;
  common::row_version known = aKnown == nullptr ? common::row_version() : aKnown->version;
  if (known >= row) {
    applied.result = delta_result::kStale;
    return applied;
  }
  bool isWhole = base == common::row_version();
  bool isOnBase = known == base && base.Era() == row.Era();
  if (!isOnBase && !isWhole) {
    applied.result = delta_result::kBaseMismatch;
    return applied;
  }
  boost::intrusive_ptr<key_map> next(new key_map());
  next->service = changed->service;
  next->version = row;
  next->lastFence = changed->lastFence;
  next->settled = changed->settled;
  if (aKnown != nullptr && !isWhole) {
    next->owners = aKnown->owners;
  }
  for (const common::json& vm : common::GetArray(aDelta, "gone")) {
    if (vm.is_string()) {
      next->RemoveOwner(vm.get<std::string>());
    }
  }
  for (key_owner& owner : changed->owners) {
    if (key_owner* former = next->Owner(owner.vm); former != nullptr) {
      *former = std::move(owner);
    } else {
      next->owners.push_back(std::move(owner));
    }
  }
  applied.result = delta_result::kApplied;
  applied.map = next;
  return applied;
}

} // namespace bamboograde::version
