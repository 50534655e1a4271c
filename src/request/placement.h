// Chooses the upstream that answers a request of a service soonest.
//
// Each daemon knows what it has sent to each upstream itself, and what the gate there reported with
// its last answer. Of two random candidates the one with the lower expected latency is taken, so
// that daemons which choose at the same moment do not all choose the same upstream.
//
// Load pattern: upstreams of unequal speed, a slow third, a cold start, and all of them nearly
// full.
#pragma once

#include "common/clock.h"
#include "common/random.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboograde::request {

// How far away an upstream is.
enum class distance
{
  kSameVm,
  kSameZone,
  kOtherZone,
};

struct placement_candidate
{
  std::string vm;
  distance away = distance::kOtherZone;
  unsigned slots = 1;
};

// What a gate reports with each answer.
struct load_report
{
  unsigned running = 0;
  unsigned waiting = 0;
  // Requests that the upstream may run at the same time.
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
  // The upstream could not be reached or failed; it is avoided for a while.
  void OnFailure(const std::string& aVm, common::boot_time aNow);
  void OnSuccess(const std::string& aVm);
  // A gate was asked for a free slot, and had one or not.
  void OnAsked(bool aFree);
  // Few gates have a free slot, so asking many of them costs more than it finds.
  bool FreeIsRare() const;
  // Share of its slots that the upstream had in use or asked for, over its last reports. Empty when
  // nothing was heard of it lately.
  std::optional<double> Use(const std::string& aVm, common::boot_time aNow) const;
  bool IsAvoided(const std::string& aVm, common::boot_time aNow) const;
  // Expected time until the answer.
  common::microseconds ExpectedLatency(const placement_candidate& aCandidate,
                                       common::boot_time aNow) const;

private:
  struct peer_state
  {
    unsigned outstanding = 0;
    load_report report;
    common::boot_time reportedAt;
    double use = 0;
    unsigned failures = 0;
    common::boot_time avoidUntil;
  };

  common::random_source& mRandom;
  std::unordered_map<std::string, peer_state> mPeers;
  // Share of the questions for a free slot that found one, lately.
  double mFreeShare = 1;
};

} // namespace bamboograde::request
