// Finds the upstream for one request of a service without key ownership, where any upstream will
// do.
//
// In a large fleet a daemon sends to each upstream rarely, so the load reports that it has are old.
// A request therefore first queries a few gates for a free slot, those in its own availability zone
// before those in others. A gate without a free slot answers at once with the expected wait. If
// none of them has a free slot, the request queues at the gate with the shortest expected wait.
// Fewer gates are queried while free slots are rare.
//
// A gate that knows the speed of its upstream also answers with the expected time until completion.
// It refuses to use a free slot if the request would take much longer than usual there. If no other
// gate has a free slot, the request goes to the gate with the earliest expected completion, and
// starts at once if that one has a free slot.
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
  // Index of the candidate to send to.
  size_t index = 0;
  // The gate refuses the request when it has no free slot; else it may queue the request.
  bool onlyIfFree = false;
};

class placement_search
{
public:
  explicit placement_search(placement& aPlacement)
    : mPlacement(aPlacement)
  {
  }
  // The next gate to send to; empty when the request should be rejected. Gates that placement
  // avoids are not queried; their daemons are health-checked separately.
  std::optional<placement_step> Next(const std::vector<placement_candidate>& aCandidates,
                                     common::boot_time aNow);
  // The gate has no free slot; the request could queue there for about aWait. Or the gate has one
  // and aWait is 0, but the request would take much longer than usual. aCompletion: expected time
  // until completion there, 0 if not known.
  void OnBusy(const std::string& aVm, common::microseconds aWait,
              common::microseconds aCompletion = common::microseconds(0));
  // Time that the request usually takes; 0 if not known. Completes the wait of gates that do not
  // know the speed of their upstreams.
  void SetUsualTime(common::microseconds aTime) { mUsualTime = aTime; }
  // The gate refused the request or could not be reached.
  void OnRefused(const std::string& aVm);
  // Begins the search for another upstream for a retry. Forgets busy gates, because their expected
  // waits are out of date by now, but not those that refused. aMayWait: the retry may be queued.
  void Restart(bool aMayWait);

private:
  std::optional<placement_step> QueryFreeSlot(const std::vector<placement_candidate>& aCandidates,
                                              bool aSameZone, common::boot_time aNow) const;
  std::optional<placement_step> Wait(const std::vector<placement_candidate>& aCandidates) const;

  placement& mPlacement;
  common::microseconds mUsualTime{ 0 };
  // VMs of gates without a free slot, with the expected time until completion there.
  std::map<std::string, common::microseconds> mBusy;
  // VMs of gates that refused or could not be reached.
  std::set<std::string> mRefused;
  unsigned mQueries = 0;
  unsigned mWaits = 0;
};

} // namespace bamboograde::request
