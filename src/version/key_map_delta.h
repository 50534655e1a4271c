// The delta between two versions of a key map, which is sent to daemons that have the older
// version.
//
// The size of a map is proportional to the number of its owners, while a change concerns one or two
// of them. Sending deltas makes the cost of a change independent of the size of the fleet.
#pragma once

#include "version/key_map.h"

namespace bamboograde::version {

// The delta holds the owners of aAfter that differ from aBefore, and the VMs of the owners that
// were removed. It holds the whole map if aBefore is null or of another era.
common::json EncodeKeyMapDelta(const key_map* aBefore, const key_map& aAfter);

enum class delta_result
{
  // The known map is at least as new as the result of the delta.
  kStale,
  kApplied,
  // The known map is older than the result of the delta, but is not the version that the delta is
  // based on; the whole map is needed.
  kBaseMismatch,
  // The value is not a delta.
  kInvalid,
};

struct applied_delta
{
  delta_result result = delta_result::kInvalid;
  common::service_name service;
  // The new map; null unless the result is kApplied.
  key_map_ptr map;
};

// The service that the delta is for; empty when the value is not a delta.
common::service_name ServiceOfDelta(const common::json& aDelta);
// aKnown is null when no map of the service is known.
applied_delta ApplyKeyMapDelta(const key_map* aKnown, const common::json& aDelta);

} // namespace bamboograde::version
