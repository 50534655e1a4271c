// One immutable version of who owns which keys of a service.
//
// Keys are positions from 0 to 65535 whose order is kept, so that busy neighbours can be split
// apart down to a single key. The platform keeps one row per service with the whole map; every
// change is one conditional write of it.
#pragma once

#include "common/json.h"
#include "version/member.h"
#include "version/session_row.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bamboograde::version {

constexpr uint32_t kKeyPositions = 65536;

// Positions first to last, both inclusive.
struct key_range
{
  uint32_t first = 0;
  uint32_t last = 0;
  bool Contains(uint32_t aKey) const { return first <= aKey && aKey <= last; }
  uint32_t Size() const { return last - first + 1; }
  auto operator<=>(const key_range&) const = default;
};

// The keys that are in both ranges; empty when there are none.
std::optional<key_range> Common(const key_range& aLeft, const key_range& aRight);

using fence = common::number_id<struct fence_tag>;

// A range as its owner's upstream holds it.
struct held_range
{
  key_range range;
  fence token;
  // What the last holder left for the next one; empty when it left nothing.
  std::string handover;
  bool operator==(const held_range&) const = default;
};

// A daemon whose upstream may hold keys, with the witnesses of its lease.
struct key_owner
{
  std::string vm;
  // One claim to the keys; the owner's lease is for it. A new one is made at each start of the
  // daemon and whenever a witness has given up the present one.
  common::session_id session;
  upstream_id upstream;
  std::vector<witness_ref> witnesses;
  // In order; disjoint from those of the other owners.
  std::vector<held_range> ranges;
  bool operator==(const key_owner&) const = default;
};

struct key_map : public boost::intrusive_ref_counter<key_map, boost::thread_unsafe_counter>
{
  common::service_name service;
  // Version of the platform's row. Zero: not stored yet.
  common::row_version version;
  // The highest token that was ever given out.
  fence lastFence;
  std::vector<key_owner> owners;

  const key_owner* Owner(const std::string& aVm) const;
  key_owner* Owner(const std::string& aVm);
  // The owner of a key; null when nobody owns it.
  const key_owner* Find(uint32_t aKey) const;
  // Ranges that nobody owns.
  std::vector<key_range> Unowned() const;
  void RemoveOwner(const std::string& aVm);
};

using key_map_ptr = boost::intrusive_ptr<const key_map>;

std::vector<key_range> RangesOf(const key_owner& aOwner);
// Removes aRange from the owner's ranges; what is left at its sides stays.
void TakeRange(key_owner* aOwner, const key_range& aRange);
// Adds a range, in place of what the owner has of it, and joins neighbours of equal token.
void GiveRange(key_owner* aOwner, const held_range& aRange);
// Joins neighbouring ranges of equal token and handover.
void JoinNeighbours(key_owner* aOwner);

common::json EncodeKeyMap(const key_map& aMap);
// Null when the value is not a key map. aVersion: of the platform's row that holds it.
boost::intrusive_ptr<key_map> DecodeKeyMap(const common::json& aValue,
                                           common::row_version aVersion = common::row_version());

} // namespace bamboograde::version
