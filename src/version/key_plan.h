// Plans how the keys of a service are divided among owners, and which keys move to balance load.
#pragma once

#include "version/key_load.h"

namespace bamboograde::version {

// A daemon that can take over keys.
struct successor
{
  std::string vm;
  // Requests that its upstream can run concurrently.
  unsigned slots = 1;
  // Share of its slots that is in use or demanded, which may exceed 1.
  double use = 0;
};

struct key_assignment
{
  key_range range;
  std::string vm;
};

// Divides the ranges into consecutive parts, one after the other to the successors, so that the
// load of each successor is about proportional to its slots. If aLoad is null, all keys count as
// equally loaded. aSuccessors must not be empty.
std::vector<key_assignment> AssignKeys(const std::vector<key_range>& aRanges,
                                       const std::vector<successor>& aSuccessors,
                                       const key_load* aLoad);

// Removes a lost owner and divides its keys among the successors, with a new fencing token. Changes
// nothing and returns false if it has keys and there are no successors.
bool ReplaceOwner(key_map* aMap, const std::string& aLostVm,
                  const std::vector<successor>& aSuccessors);

// Chooses parts of aRanges to move that together have a load of about aTargetLoad: one narrow range
// if there is one, else a few ranges with the most load. A key whose load alone exceeds aTargetLoad
// by more than half is never chosen, but the keys next to it may be. Empty when no range without
// such a key has at least a tenth of aTargetLoad, or when aTargetLoad is not positive.
std::vector<key_range> ChooseRangesToMove(const std::vector<key_range>& aRanges,
                                          const key_load& aLoad, float aTargetLoad);

// At most aMaximum of the successors, in ascending order of use. Dividing keys among few successors
// keeps the number of ranges, and so the size of the map and of its deltas, independent of the
// fleet's size.
std::vector<successor> LeastUsed(std::vector<successor> aSuccessors, size_t aMaximum);

} // namespace bamboograde::version
