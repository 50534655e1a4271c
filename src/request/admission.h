// Decides which requests an upstream runs, which wait, and which are rejected.
//
// The gate beside an upstream sends it at most as many requests as it has slots, so that the
// upstream's own queue stays empty and everything that waits does so here: by rank, within a rank
// much shorter requests first, which are mostly calls that other upstreams need for their own work,
// and then in order of arrival. Whether a request may wait is decided once, on arrival, so that
// what is accepted is served and what is rejected knows at once: one that will make its target
// latency may wait; one that can only be late may wait only while little is in front of it, because
// under overload it would take the place of one that can still be on time. Where there is less
// urgent work to take the place of, the deadline decides.
//
// Load pattern: arrivals beyond the upstream's capacity for seconds (bursts, a hot key, a slow
// upstream).
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
  // The request goes elsewhere rather than wait.
  bool onlyIfFree = false;
};

enum class admission_verdict
{
  kStart,
  kWait,
  // It might wait, but asked for a free slot only.
  kBusy,
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
    common::boot_time startedAt;
  };
  // Lower is more urgent.
  struct urgency
  {
    unsigned rank = 0;
    // Takes about as long as the longest requests of its rank.
    bool isLong = true;
    auto operator<=>(const urgency&) const = default;
  };
  struct order_key
  {
    admission::urgency urgency;
    ticket_number ticket;
    auto operator<=>(const order_key&) const = default;
  };
  // Work that arrives with one urgency, in slots that it keeps busy.
  struct arriving_load
  {
    double slots = 0;
    common::boot_time updatedAt;
  };

  urgency UrgencyOf(const admission_request& aRequest) const;
  common::microseconds ExpectedWait(const urgency& aUrgency, common::boot_time aNow) const;
  // The share of the slots that more urgent requests will keep busy.
  double MoreUrgentShare(const urgency& aUrgency, common::boot_time aNow) const;
  // The share of the slots that less urgent requests ask for.
  double LessUrgentShare(const urgency& aUrgency, common::boot_time aNow) const;
  void NoteArrival(const admission_request& aRequest, common::boot_time aNow);

  unsigned mSlots = 0;
  ticket_number mLastTicket = 0;
  std::map<order_key, entry> mWaiting;
  std::map<ticket_number, order_key> mWaitingKeys;
  std::map<ticket_number, entry> mRunning;
  std::map<urgency, arriving_load> mLoads;
  // The rank with which requests of each class come.
  std::map<std::string, unsigned> mRanks;
  std::map<std::string, common::microseconds> mServiceTimes;
  common::microseconds mMeanServiceTime{ 0 };
};

} // namespace bamboograde::request
