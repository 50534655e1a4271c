// The search of one request for an upstream of a service whose upstreams are all alike.
//
// What a daemon knows of the others' load is old in a large fleet, where it sends to each of them
// seldom. So a request first asks a few gates, near ones before far ones, for a free slot; a gate
// without one answers at once how long the request would wait there. Only when none of them has a
// free slot does the request wait, where the wait is shortest. Fewer gates are asked while hardly
// any of them has a free slot.
//
// Load pattern: all upstreams nearly full, with many daemons that each see a small part of the
// traffic.
#pragma once

#include "request/placement.h"

#include <map>
#include <set>

namespace bamboograde::request {

struct placement_step
{
  // Of the candidate.
  size_t index = 0;
  // The gate is to refuse when it has no free slot.
  bool onlyIfFree = false;
};

class placement_search
{
public:
  explicit placement_search(placement& aPlacement)
    : mPlacement(aPlacement)
  {
  }
  // Where to go next; empty when the request should be rejected. Gates that are avoided are not
  // tried: somebody else asks their daemons for a sign of life.
  std::optional<placement_step> Next(const std::vector<placement_candidate>& aCandidates,
                                     common::boot_time aNow);
  // The gate has no free slot; the request may wait there for about this long.
  void OnBusy(const std::string& aVm, common::microseconds aWait);
  // The gate refuses the request, or could not be reached.
  void OnRefused(const std::string& aVm);
  // Looks for a second upstream. What was heard of busy gates counts no longer, because time has
  // passed since. aMayWait: also where no slot is free.
  void Restart(bool aMayWait);

private:
  std::optional<placement_step> AskForFree(const std::vector<placement_candidate>& aCandidates,
                                           bool aNear, common::boot_time aNow) const;
  std::optional<placement_step> Wait(const std::vector<placement_candidate>& aCandidates) const;

  placement& mPlacement;
  // Gates that may be waited at, with the expected wait.
  std::map<std::string, common::microseconds> mBusy;
  std::set<std::string> mRefused;
  unsigned mAsked = 0;
  unsigned mWaited = 0;
};

} // namespace bamboograde::request
