#include "version/key_map_restore.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

// Tokens of an era begin above the era shifted by this number of bits.
constexpr unsigned kTokenBits = 32;

fencing_token LastTokenBefore(common::store_era aEra)
{
  return fencing_token(aEra.Value() << kTokenBits);
}

} // namespace

bool IsIssuedSince(common::store_era aEra, fencing_token aToken)
{
  return aEra == common::store_era() || aToken > LastTokenBefore(aEra);
}

boost::intrusive_ptr<key_map> FirstMapOf(common::store_era aEra,
                                         const common::service_name& aService,
                                         const key_map* aKnown)
{
  boost::intrusive_ptr<key_map> map(new key_map());
  map->service = aService;
  map->version = { aEra, 0 };
  map->lastFence = LastTokenBefore(aEra);
  map->settled = false;
  if (aKnown != nullptr) {
    map->lastFence = std::max(map->lastFence, aKnown->lastFence);
    map->owners = aKnown->owners;
  }
  for (key_owner& owner : map->owners) {
    // A suspicion may have been withdrawn by a change that was lost.
    owner.suspicion = {};
  }
  return map;
}

bool EnterHolder(key_map* aMap, const key_owner& aHolder)
{
  std::vector<key_owner> before = aMap->owners;
  key_owner held = aHolder;
  for (const key_owner& owner : aMap->owners) {
    for (const held_range& range : owner.ranges) {
      if (IsIssuedSince(aMap->version.Era(), range.token)) {
        RemoveRange(&held, range.range);
      }
    }
  }
  key_owner* own = aMap->Owner(aHolder.vm);
  if (own == nullptr) {
    own = &aMap->owners.emplace_back();
    own->vm = aHolder.vm;
  }
  own->session = aHolder.session;
  own->upstream = aHolder.upstream;
  own->witnesses = aHolder.witnesses;
  own->suspicion = {};
  for (const held_range& range : held.ranges) {
    for (key_owner& owner : aMap->owners) {
      RemoveRange(&owner, range.range);
    }
    AddRange(own, range);
  }
  return aMap->owners != before;
}

bool RenewTokens(key_map* aMap, key_owner* aOwner,
                 const std::function<bool(const held_range&)>& aSelects)
{
  if (std::none_of(aOwner->ranges.begin(), aOwner->ranges.end(), aSelects)) {
    return false;
  }
  aMap->lastFence = aMap->lastFence.Next();
  for (held_range& range : aOwner->ranges) {
    if (aSelects(range)) {
      range.token = aMap->lastFence;
      range.handover.clear();
    }
  }
  JoinAdjacentRanges(aOwner);
  return true;
}

} // namespace bamboograde::version
