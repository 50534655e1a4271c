// Decides which requests an upstream runs, which wait, and which are rejected.
//
// A gate sends its upstream at most as many requests as the upstream has slots, so that requests
// queue here and not in the upstream. The queue is ordered by rank; within a rank, requests much
// shorter than the longest of that rank go first, because they are mostly calls that other
// upstreams need for their own work; then by order of arrival.
//
// Whether a request may queue is decided once, on arrival, so that nearly all accepted requests are
// served and callers learn of a rejection at once. A request that is expected to meet its target
// latency may queue. One that can no longer meet it may queue only if the expected wait is short,
// because under overload it would delay requests that still can. While less urgent work keeps slots
// busy, a more urgent request overtakes that work, so only the deadline of the request counts.
//
// Load pattern: arrivals beyond the upstream's capacity for seconds (bursts, a hot key, a slow
// upstream).
#pragma once

#include "request/mean_times.h"
#include "request/rate_limiter.h"
#include "request/upstream_speed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboograde::request {

// Identifies one queued or running request within its gate.
using admission_id = uint64_t;

struct admission_request
{
  // Class of requests that take about the same time; usually the name of the route.
  std::string work;
  // Lower is more urgent.
  unsigned rank = 0;
  common::boot_time deadline;
  // End of the target latency. Later responses, up to the deadline, count as late.
  common::boot_time target;
  // Query for a free slot: the request is not queued.
  bool onlyIfFree = false;
  // Time that requests of this class usually take at other upstreams; 0 when not known. A query is
  // refused if the request would take much longer here.
  common::microseconds usualTime{ 0 };
};

enum class admission_verdict
{
  kStart,
  kWait,
  // The request could be queued or started, but onlyIfFree forbids it.
  kBusy,
  kReject,
};

struct admission_decision
{
  admission_verdict verdict = admission_verdict::kReject;
  admission_id id = 0;
  // Estimated time in the queue, for logs and for the caller's Retry-After.
  common::microseconds expectedWait{ 0 };
  // For kBusy: expected time until completion; 0 when the speed of the upstream is not known.
  common::microseconds expectedCompletion{ 0 };
};

class admission
{
public:
  // Maximum number of requests that the upstream runs at the same time.
  void SetSlots(unsigned aSlots) { mSlots = aSlots; }
  unsigned Slots() const { return mSlots; }
  // Requests per second that may start; empty: no limit but the slots.
  // aCountEarlier: as for rate_limiter.
  void SetRateLimit(std::optional<request_rate> aLimit, common::boot_time aNow,
                    bool aCountEarlier = false)
  {
    mRate.SetLimit(aLimit, aNow, aCountEarlier);
  }
  // No request starts before this time.
  void SetClosedUntil(common::boot_time aTime) { mClosedUntil = aTime; }
  // Slots that the rate limit lets the upstream use, from the mean service time; at least 1.
  unsigned UsableSlots() const;
  bool MayStart(common::boot_time aNow) const
  {
    return aNow >= mClosedUntil && mRunning.size() < mSlots && mRate.MayStart(aNow);
  }

  admission_decision Offer(const admission_request& aRequest, common::boot_time aNow);
  // A running request has ended. aServed: the upstream answered, so the time is a sample of the
  // service time.
  void OnFinished(admission_id aId, bool aServed, common::boot_time aNow);
  // Removes a queued request; no effect when it is not queued.
  void OnCancelled(admission_id aId);
  // Starts the next queued request if a slot is free. Call until it returns nothing.
  std::optional<admission_id> Next(common::boot_time aNow);
  // Removes and returns queued requests that can no longer be answered before their deadlines.
  std::vector<admission_id> TakeUnservable(common::boot_time aNow);
  // Removes and returns all queued requests.
  std::vector<admission_id> TakeAll();

  size_t Running() const { return mRunning.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  // Mean time that a request of this class runs, or a default before the first sample.
  common::microseconds ServiceTime(const std::string& aWork) const;
  const mean_times& ServiceTimes() const { return mServiceTimes; }
  // Service time of the class without slow periods of the upstream.
  common::microseconds NormalTime(const std::string& aWork) const;
  // Expected service time of a request that starts aWait from now.
  common::microseconds ExpectedTime(const std::string& aWork, common::boot_time aNow,
                                    common::microseconds aWait = common::microseconds(0)) const
  {
    return mSpeed.Duration(NormalTime(aWork), aNow, aWait);
  }
  // How fast the upstream works at present.
  upstream_speed& Speed() { return mSpeed; }
  const upstream_speed& Speed() const { return mSpeed; }
  // Mean over all classes, for load reports.
  common::microseconds MeanServiceTime() const { return mMeanServiceTime; }

private:
  struct entry
  {
    admission_request request;
    common::boot_time startedAt;
    // Progress of the upstream at startedAt.
    common::microseconds startProgress{ 0 };
  };
  // Lower is more urgent.
  struct urgency
  {
    unsigned rank = 0;
    // False for requests much shorter than the longest class of their rank.
    bool isLong = true;
    auto operator<=>(const urgency&) const = default;
  };
  struct order_key
  {
    admission::urgency urgency;
    admission_id id;
    auto operator<=>(const order_key&) const = default;
  };
  // Offered load of one urgency.
  struct offered_load
  {
    // Mean number of slots that the load keeps busy, exponentially decayed.
    double slots = 0;
    // Requests per second, exponentially decayed.
    double arrivals = 0;
    common::boot_time updatedAt;

    offered_load DecayedTo(common::boot_time aNow) const;
  };

  urgency UrgencyOf(const admission_request& aRequest) const;
  common::microseconds ExpectedWait(const urgency& aUrgency, common::boot_time aNow) const;
  // Share of the capacity that more urgent requests are expected to take.
  double MoreUrgentShare(const urgency& aUrgency, common::boot_time aNow) const;
  // Share of the capacity that less urgent requests would take; above 1 under overload.
  double LessUrgentShare(const urgency& aUrgency, common::boot_time aNow) const;
  // Share of the slots or of the rate limit that this load takes, whichever is more.
  double Share(const offered_load& aLoad) const;
  // Whether the request would take much longer than at other upstreams.
  bool IsTooSlow(const admission_request& aRequest, common::boot_time aNow) const;
  void Start(admission_id aId, const admission_request& aRequest, common::boot_time aNow);
  void RecordArrival(const admission_request& aRequest, common::boot_time aNow);

  unsigned mSlots = 0;
  rate_limiter mRate;
  common::boot_time mClosedUntil;
  admission_id mLastId = 0;
  std::map<order_key, entry> mWaiting;
  std::map<admission_id, order_key> mWaitingKeys;
  std::map<admission_id, entry> mRunning;
  std::map<urgency, offered_load> mOfferedLoads;
  // Rank of the newest request of each class.
  std::map<std::string, unsigned> mRanksByWork;
  mean_times mServiceTimes;
  upstream_speed mSpeed;
  common::microseconds mMeanServiceTime{ 0 };
};

} // namespace bamboograde::request
