// A session: one daemon's registration as an owner, with the slices that it owns and its witnesses.
//
// The platform keeps one row per session, "session/SERVICE/SESSION". A slice belongs to exactly one
// session row, so a change of owner is one transaction over the rows of the old and the new owner.
#pragma once

#include "common/json.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <vector>

namespace bamboograde::version {

// The key hashes from first to last, both inclusive.
struct slice_range
{
  common::key_hash first;
  common::key_hash last;
  bool Contains(common::key_hash aHash) const { return first <= aHash && aHash <= last; }
  auto operator<=>(const slice_range&) const = default;
};

struct owned_slice
{
  slice_range range;
  common::slice_epoch epoch;
  bool operator==(const owned_slice&) const = default;
};

// A daemon that is a witness of a lease: its control address, and its boot id at the time when it
// became a witness.
struct witness_ref
{
  common::endpoint control;
  common::boot_id boot;
  auto operator<=>(const witness_ref&) const = default;
};

struct session_row : public boost::intrusive_ref_counter<session_row, boost::thread_safe_counter>
{
  common::service_name service;
  common::session_id session;
  std::string region;
  common::zone_name zone;
  common::boot_id boot;
  // Addresses of the daemon for requests from callers, for requests that other daemons forward, and
  // for control messages from other daemons.
  common::endpoint caller;
  common::endpoint peer;
  common::endpoint control;
  // The session accepts no further slices and hands over those that it owns.
  bool draining = false;
  std::vector<witness_ref> witnesses;
  // In ascending order of their ranges.
  std::vector<owned_slice> slices;
};

using session_row_ptr = boost::intrusive_ptr<const session_row>;

constexpr char kSessionPrefix[] = "session/";

std::string SessionRowName(const common::service_name& aService,
                           const common::session_id& aSession);
common::json EncodeSession(const session_row& aRow);
// Null when the value is not a session.
session_row_ptr DecodeSession(const common::json& aValue);
common::json EncodeSlices(const std::vector<owned_slice>& aSlices);
// Malformed items are skipped.
std::vector<owned_slice> DecodeSlices(const common::json& aValue);
// aCount slices of equal length that cover the whole hash space, at epoch 1.
std::vector<owned_slice> DivideHashSpace(size_t aCount);

} // namespace bamboograde::version
