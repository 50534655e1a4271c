// The difference between two versions of a key map, as it is sent to daemons that have the older
// one.
//
// A map grows with the number of its owners, while a change touches one or two of them, so that
// spreading a change costs the same in a large fleet as in a small one.
#pragma once

#include "version/key_map.h"

namespace bamboograde::version {

// Owners of aAfter that differ from aBefore, and owners that are gone. aBefore may be null: no map.
common::json EncodeKeyMapDelta(const key_map* aBefore, const key_map& aAfter);

enum class delta_result
{
  // Nothing new: the known map is at least as new.
  kStale,
  kApplied,
  // The difference is to another version than the known one; the whole map is needed.
  kGap,
  kInvalid,
};

struct applied_delta
{
  delta_result result = delta_result::kInvalid;
  common::service_name service;
  // The new map, when applied.
  key_map_ptr map;
};

// The service that a difference is for; empty when it is not one.
common::service_name ServiceOfDelta(const common::json& aDelta);
// aKnown may be null: no map is known.
applied_delta ApplyKeyMapDelta(const key_map* aKnown, const common::json& aDelta);

} // namespace bamboograde::version
