// A model of many daemons that send to the gates of one service, in simulated time.
//
// Each entry daemon knows only what gates told it in answers to its own requests. Open loop.
#pragma once

#include "common/clock.h"

#include <cstdint>
#include <vector>

namespace bamboograde::tests {

struct fleet_pattern
{
  unsigned entries = 1;
  // Relative speed of the upstream behind each gate.
  std::vector<double> speeds;
  unsigned slots = 6;
  unsigned zones = 1;
  double perSecond = 0;
  common::milliseconds work{ 0 };
  common::milliseconds target{ 0 };
  common::milliseconds deadline{ 0 };
  common::milliseconds length{ 0 };
};

struct fleet_outcome
{
  unsigned asked = 0;
  unsigned inTarget = 0;
  unsigned late = 0;
  unsigned rejected = 0;
  // Served by an upstream of another zone.
  unsigned otherZone = 0;
  // Of all gates: the largest and the smallest use of their slots over the whole time.
  double highestUse = 0;
  double lowestUse = 1;
};

enum class fleet_policy
{
  // The gate with the lowest expected latency by what the entry knows, four tries.
  kByReports,
  // placement_search.
  kSearch,
  // Any gate at random, four tries.
  kRandom,
};

fleet_outcome ReplayFleet(const fleet_pattern& aPattern, fleet_policy aPolicy, uint64_t aSeed);

} // namespace bamboograde::tests
