// One version of the map from the keys of a service to their owners; immutable as key_map_ptr.
//
// Keys are numbers from 0 to 65535 and are not hashed, so that adjacent keys with much load can be
// divided among owners down to a single key. The platform stores the whole map of a service in one
// row; every change of the map is one conditional write of that row.
#pragma once

#include "common/json.h"
#include "version/member.h"
#include "version/session_row.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bamboograde::version {

constexpr uint32_t kKeyPositions = 65536;

// The keys from first to last, both inclusive.
struct key_range
{
  uint32_t first = 0;
  uint32_t last = 0;
  bool Contains(uint32_t aKey) const { return first <= aKey && aKey <= last; }
  uint32_t Size() const { return last - first + 1; }
  auto operator<=>(const key_range&) const = default;
};

// The keys that are in both ranges; empty when there are none.
std::optional<key_range> Intersection(const key_range& aLeft, const key_range& aRight);

using suspicion_id = common::text_id<struct suspicion_id_tag>;
using fencing_token = common::number_id<struct fence_tag>;

// A range of keys that an owner's upstream holds, with its fencing token.
struct held_range
{
  key_range range;
  fencing_token token;
  // Opaque text from the upstream that held the range before, for the upstream that holds it next;
  // empty when there is none.
  std::string handover;
  bool operator==(const held_range&) const = default;
};

// A daemon whose upstream may hold keys, with the witnesses of its lease.
struct key_owner
{
  std::string vm;
  // The session that the owner's lease is for. The daemon makes a new session id at each start, and
  // whenever a witness has revoked the current session.
  common::session_id session;
  upstream_id upstream;
  std::vector<witness_ref> witnesses;
  // Set by a daemon that finds the owner silent; the other owners may take the keys over some time
  // later. Empty when the owner is not suspected.
  suspicion_id suspicion;
  // In ascending order; disjoint from the ranges of the other owners.
  std::vector<held_range> ranges;
  bool operator==(const key_owner&) const = default;
};

struct key_map : public boost::intrusive_ref_counter<key_map, boost::thread_unsafe_counter>
{
  common::service_name service;
  // Version of the row that stores the map; zero when the map has not been stored yet.
  common::row_version version;
  // The highest fencing token that has been issued.
  fencing_token lastFence;
  // False for some time after the platform has returned from an older copy: changes of owners that
  // were lost may be missing here, so no key may be given to another owner, except by the owner
  // that has held it all the time.
  bool settled = true;
  std::vector<key_owner> owners;

  const key_owner* Owner(const std::string& aVm) const;
  key_owner* Owner(const std::string& aVm);
  // The owner of a key; null when the key has no owner.
  const key_owner* Find(uint32_t aKey) const;
  // The ranges of keys without an owner, in ascending order.
  std::vector<key_range> Unowned() const;
  void RemoveOwner(const std::string& aVm);
};

using key_map_ptr = boost::intrusive_ptr<const key_map>;

std::vector<key_range> RangesOf(const key_owner& aOwner);
// Removes the keys of aRange from the owner's ranges; the remainders on both sides stay.
void RemoveRange(key_owner* aOwner, const key_range& aRange);
// Adds aRange to the owner's ranges. Where it overlaps them, its token and handover replace theirs.
// Joins adjacent ranges as JoinAdjacentRanges() does.
void AddRange(key_owner* aOwner, const held_range& aRange);
// Joins adjacent ranges that have the same token and handover.
void JoinAdjacentRanges(key_owner* aOwner);

common::json EncodeKeyMap(const key_map& aMap);
// Null when the value is not a key map. aVersion: version of the row that stores the map.
boost::intrusive_ptr<key_map> DecodeKeyMap(const common::json& aValue,
                                           common::row_version aVersion = common::row_version());

} // namespace bamboograde::version
