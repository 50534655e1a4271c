// Selects the daemons that act as witnesses of a session's lease.
#pragma once

#include "common/random.h"
#include "process/lease/lease_holder.h"

namespace bamboograde::process::lease {

struct witness_candidate
{
  version::witness_ref ref;
  std::string region;
  common::zone_name zone;
  // Number of sessions that the candidate is a witness of.
  size_t load = 0;
};

// Selects three of the other daemons. Prefers, in this order: the holder's region, availability
// zones that differ from the holder's and from each other, and candidates with few sessions.
// Members of aKeep that are still candidates stay. With only two other daemons the holder is the
// third witness; with fewer it is the only one, because a set of two has no majority once either
// member is lost.
witness_set ChooseWitnesses(const witness_candidate& aSelf,
                            const std::vector<witness_candidate>& aOthers, const witness_set& aKeep,
                            common::random_source& aRandom);

} // namespace bamboograde::process::lease
