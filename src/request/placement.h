// Load balancing: chooses the upstream of a service with the lowest expected latency.
//
// A daemon knows its own outstanding requests at each upstream, and the load that the upstream's
// gate reported with its last response. It compares two random candidates and the nearest one
// (power of two choices), so that daemons which choose at the same moment do not all choose the
// same upstream.
//
// Load pattern: upstreams of unequal speed, a third of them slow, cold starts, and all upstreams
// nearly full.
#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboograde::request {

// Network distance of an upstream from this daemon.
enum class distance
{
  kSameVm,
  kSameZone,
  kOtherZone,
};

struct placement_candidate
{
  std::string vm;
  distance networkDistance = distance::kOtherZone;
  unsigned slots = 1;
};

// The load of an upstream, which its gate reports with each response.
struct load_report
{
  unsigned running = 0;
  unsigned waiting = 0;
  // Maximum number of requests that the upstream runs at the same time; 0 when unknown.
  unsigned limit = 0;
  common::microseconds serviceTime{ 0 };
};

class placement
{
public:
  explicit placement(common::random_source& aRandom)
    : mRandom(aRandom)
  {
  }

  // The index of the chosen candidate; aCandidates must not be empty.
  size_t Choose(const std::vector<placement_candidate>& aCandidates, common::boot_time aNow);

  void OnSent(const std::string& aVm);
  void OnEnded(const std::string& aVm);
  void OnReport(const std::string& aVm, const load_report& aReport, common::boot_time aNow);
  // The upstream could not be reached or failed; avoids it with exponential backoff.
  void OnFailure(const std::string& aVm, common::boot_time aNow);
  void OnSuccess(const std::string& aVm);
  // Records whether a gate that was queried for a free slot had one.
  void OnFreeSlotQuery(bool aFree);
  // Whether so few gates had a free slot recently that querying many of them is not worth its cost.
  bool FreeSlotsAreRare() const;
  // Running and queued requests of the upstream per slot, a mean over its last reports. Empty when
  // it has not reported recently.
  std::optional<double> Utilization(const std::string& aVm, common::boot_time aNow) const;
  bool IsAvoided(const std::string& aVm, common::boot_time aNow) const;
  // Expected time until the response, with the cost of the network distance.
  common::microseconds ExpectedLatency(const placement_candidate& aCandidate,
                                       common::boot_time aNow) const;

private:
  struct upstream_state
  {
    unsigned outstanding = 0;
    load_report report;
    common::boot_time reportedAt;
    double utilization = 0;
    // Since the last success.
    unsigned failures = 0;
    common::boot_time avoidUntil;
  };

  common::random_source& mRandom;
  std::unordered_map<std::string, upstream_state> mUpstreams;
  // Share of the queries for a free slot that found one, exponentially weighted.
  double mFreeSlotShare = 1;
};

} // namespace bamboograde::request
