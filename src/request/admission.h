// Decides which requests an upstream runs, which wait, and which are rejected.
//
// The gate beside an upstream sends it at most as many requests as it has slots, so that the upstream's
// own queue stays empty and everything that waits does so here, in the order that serves callers best:
// by rank, then by the latest start that still makes the target latency; requests that can only be late
// come after those. A request that can not be answered within its deadline is rejected on arrival.
//
// Load pattern: arrivals beyond the upstream's capacity for seconds (bursts, a hot key, a slow upstream).
#pragma once

#include "common/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboograde::request {

// Identifies one waiting or running request within its gate.
using ticket_number = uint64_t;

struct admission_request
{
  // Requests of one class take about the same time; usually the name of the route.
  std::string work;
  unsigned rank = 0;
  common::boot_time deadline;
  // Until when an answer has its full value.
  common::boot_time target;
};

enum class admission_verdict
{
  kStart,
  kWait,
  kReject,
};

struct admission_decision
{
  admission_verdict verdict = admission_verdict::kReject;
  ticket_number ticket = 0;
  // The wait that was expected, for logs and for the caller's Retry-After.
  common::microseconds expectedWait{ 0 };
};

class admission
{
public:
  // Requests that the upstream runs at the same time.
  void SetSlots(unsigned aSlots) { mSlots = aSlots; }
  unsigned Slots() const { return mSlots; }

  admission_decision Offer(const admission_request& aRequest, common::boot_time aNow);
  // A running request has ended; aServed: the upstream answered, so the time counts as a sample.
  void OnFinished(ticket_number aTicket, bool aServed, common::boot_time aNow);
  // A waiting request is no longer wanted.
  void OnCancelled(ticket_number aTicket);
  // The next request to start, if a slot is free. Call until it returns nothing.
  std::optional<ticket_number> Next(common::boot_time aNow);
  // Waiting requests that can no longer be answered in time; they are removed.
  std::vector<ticket_number> TakeHopeless(common::boot_time aNow);
  // Removes and returns everything that waits.
  std::vector<ticket_number> TakeAll();

  size_t Running() const { return mRunning.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  // Expected time that a request of this class runs.
  common::microseconds ServiceTime(const std::string& aWork) const;
  // Mean over all classes, for reports of load.
  common::microseconds MeanServiceTime() const { return mMeanServiceTime; }

private:
  struct entry
  {
    admission_request request;
    // Latest start that makes the target, or the deadline for requests that can only be late.
    common::boot_time latestStart;
    bool late = false;
    ticket_number ticket = 0;
    common::boot_time startedAt;
  };
  // Rank, late or not, latest start, arrival.
  struct order_key
  {
    unsigned rank;
    bool late;
    common::boot_time latestStart;
    ticket_number ticket;
    auto operator<=>(const order_key&) const = default;
  };

  order_key KeyOf(const entry& aEntry) const;
  // How long a request that sorts at aKey will wait.
  common::microseconds ExpectedWait(const order_key& aKey, common::boot_time aNow) const;
  void Demote(common::boot_time aNow);

  unsigned mSlots = 0;
  ticket_number mLastTicket = 0;
  std::map<order_key, entry> mWaiting;
  std::map<ticket_number, order_key> mWaitingKeys;
  std::map<ticket_number, entry> mRunning;
  std::map<std::string, common::microseconds> mServiceTimes;
  common::microseconds mMeanServiceTime{ 0 };
};

} // namespace bamboograde::request
