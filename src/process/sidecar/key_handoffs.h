// Key ranges in hand-off from the local upstream to other owners.
//
// A range is first excluded from a grant, then released by the upstream, and then committed to its
// new owner. The upstream may release a range in several parts at different times, each with its
// own handover value.
#pragma once

#include "process/sidecar/upstream_codec.h"
#include "version/key_plan.h"

#include <set>

namespace bamboograde::process::sidecar {

class key_handoffs
{
public:
  bool Empty() const { return mRanges.empty(); }
  void Clear() { mRanges.clear(); }
  void Add(const std::vector<version::key_assignment>& aPlan);
  // A grant that excludes the ranges has been sent to the upstream.
  void OnExcludedFromGrant();
  // Applies what the upstream holds and has released.
  void OnReport(const key_report& aReport);
  // Whether the upstream has released every range, or its grants have expired.
  bool ReadyToCommit(bool aGrantsExpired) const;
  // Ranges whose requests must wait at the gate.
  std::vector<version::key_range> PausedKeys() const;
  std::set<std::string> Targets() const;
  // The owner's ranges without those in hand-off.
  std::vector<version::held_range> Remaining(const version::key_owner& aOwner) const;
  // Moves the ranges that aOwner still owns to their targets in aMap. A target that is no longer an
  // owner is replaced by the first other owner.
  void ApplyTo(version::key_map* aMap, const std::string& aOwner) const;
  // Drops ranges whose first key aOwner no longer owns, whichever daemon committed the change.
  void DropMovedRanges(const version::key_map& aMap, const std::string& aOwner);

private:
  struct moving_range
  {
    version::key_range range;
    std::string target;
    std::string handover;
    bool released = false;
    // A grant that excludes the range has been sent.
    bool excludedFromGrant = false;
  };

  static std::vector<moving_range> Split(const moving_range& aPart, const key_report& aReport);

  std::vector<moving_range> mRanges;
};

} // namespace bamboograde::process::sidecar
