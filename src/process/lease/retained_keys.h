// The keys that an owner held when the platform returned from an older copy of its rows.
//
// No map of the new era is known to have all changes of the era before. But an owner that relied on
// a valid lease when it learned of the return is the only one that holds its keys: whoever took
// them before had to wait for that lease. So it goes on granting them whatever a map says, until
// they are given out in the new era.
#pragma once

#include "version/key_map_restore.h"

#include <optional>

namespace bamboograde::process::lease {

class retained_keys
{
public:
  // The platform has returned. aHolder: this owner with its present witnesses and the keys that it
  // may grant at this moment; empty if it relies on no valid lease. Such an owner has to start a
  // new session. aUndecided: further keys of aHolder, of which a call that is still open will show
  // whether they were handed off before. What was undecided at an earlier return is dropped.
  void OnReturn(std::optional<version::key_owner> aHolder,
                std::vector<version::held_range> aUndecided);
  // The undecided keys were not handed off, so this owner retains them. Must not be called when its
  // lease has ended since the return; OnMap() must follow if a map of the present era is known.
  void OnNotHandedOff();
  // Nothing will show any more whether the undecided keys were handed off.
  void DropUndecided() { mUndecided.ranges.clear(); }
  // While keys are undecided no map may confirm the lease: one that lacks them may have been
  // confirmed by daemons that give them to others.
  bool HasUndecided() const { return !mUndecided.ranges.empty(); }
  // Whoever held the keys has ended.
  void Clear()
  {
    mHolder.reset();
    DropUndecided();
  }
  // Must be called for each map of the present era.
  void OnMap(const version::key_map& aMap);
  // This owner as of the return, without the keys that were given out since, while no map of the
  // present era has had it with the same session, upstream and witnesses; otherwise null.
  const version::key_owner* Unentered() const
  {
    return mHolder.has_value() && !mEntered ? &*mHolder : nullptr;
  }
  // Whether this owner may grant a range of its entry in a map of aEra.
  bool MayGrant(const version::held_range& aRange, common::store_era aEra) const;
  // The ranges of this owner's entry in a map that it may grant in aEra: those that it retains, and
  // those with tokens of the era.
  std::vector<version::held_range> Grantable(const version::key_owner& aEntry,
                                             common::store_era aEra) const;

private:
  bool IsIn(const version::key_map& aMap) const;

  std::optional<version::key_owner> mHolder;
  // Only the ranges are used.
  version::key_owner mUndecided;
  bool mEntered = false;
};

} // namespace bamboograde::process::lease
