// Key maps after the platform has returned from an older copy of its rows.
//
// Each era has a row of its own for a map. The first map of an era is made from the newest one that
// a daemon knows, which may lack changes that were lost. Owners that held keys at the return enter
// what they hold. Until the map is settled, only they can have held these keys since.
//
// Tokens of an era are higher than all tokens of the eras before, whether these are known or not.
#pragma once

#include "version/key_map.h"

#include <functional>

namespace bamboograde::version {

// Whether the token was issued in this era or later.
bool IsIssuedSince(common::store_era aEra, fencing_token aToken);

// The first map of an era. aKnown: the newest known map of an earlier era; null if there was none.
// It is unsettled.
boost::intrusive_ptr<key_map> FirstMapOf(common::store_era aEra,
                                         const common::service_name& aService,
                                         const key_map* aKnown);

// Enters an owner that has held aHolder.ranges since before the era of aMap, except for those keys
// that have a token of this era. Returns whether the map has changed.
bool EnterHolder(key_map* aMap, const key_owner& aHolder);

// Gives the ranges of an owner a new token, without a handover, if aSelects returns true. Joins
// adjacent ranges. Returns whether there were any.
bool RenewTokens(key_map* aMap, key_owner* aOwner,
                 const std::function<bool(const held_range&)>& aSelects);

} // namespace bamboograde::version
