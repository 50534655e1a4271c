// Ranges of keys that are on their way from this daemon's upstream to other owners.
//
// A range is left out of an answer to the upstream, released by it, and then committed to its new
// owner. The upstream may let go of a range in several parts, at different times, each with a
// handover of its own.
#pragma once

#include "process/sidecar/upstream_codec.h"
#include "version/key_plan.h"

#include <set>

namespace bamboograde::process::sidecar {

class key_departures
{
public:
  bool Empty() const { return mParts.empty(); }
  void Clear() { mParts.clear(); }
  void Add(const std::vector<version::key_assignment>& aPlan);
  // An answer to the upstream has left the ranges out.
  void OnLeftOut();
  // What the upstream says that it holds and has let go of since the announcement before.
  void OnAnnouncement(const announcement& aAnnouncement);
  // The upstream has let go of every range, or can hold none any more.
  bool Ready(bool aGrantsLapsed) const;
  // Requests for these keys wait.
  std::vector<version::key_range> HeldBack() const;
  std::set<std::string> Targets() const;
  // What is left of the ranges without those that depart.
  std::vector<version::held_range> Remaining(const version::key_owner& aOwner) const;
  // Gives the ranges to their new owners, as far as the owner still has them. A target that is gone
  // is replaced by the first other owner.
  void Commit(version::key_map* aMap, const std::string& aOwner) const;
  // Forgets ranges that the owner has no more, whoever committed it.
  void DropDeparted(const version::key_map& aMap, const std::string& aOwner);

private:
  struct part
  {
    version::key_range range;
    std::string target;
    std::string handover;
    bool released = false;
    // The last answer to the upstream has left the range out.
    bool leftOut = false;
  };

  static std::vector<part> Split(const part& aPart, const announcement& aAnnouncement);

  std::vector<part> mParts;
};

} // namespace bamboograde::process::sidecar
