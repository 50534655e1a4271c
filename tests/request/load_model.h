// A model of one upstream under load, in simulated time: open-loop arrivals, slots, and callers who
// come back once after a rejection.
#pragma once

#include "common/random.h"
#include "request/admission.h"

#include <memory>
#include <queue>

namespace bamboograde::tests {

struct load_class
{
  std::string name;
  unsigned rank = 0;
  double perSecond = 0;
  common::milliseconds work{ 0 };
  common::milliseconds target{ 0 };
  common::milliseconds deadline{ 0 };
};

struct load_pattern
{
  std::vector<load_class> classes;
  unsigned slots = 0;
  common::seconds length{ 20 };
  // Arrivals are multiplied by this between the two times.
  double burst = 1;
  common::seconds burstFrom{ 0 };
  common::seconds burstUntil{ 0 };
};

struct load_outcome
{
  unsigned asked = 0;
  unsigned inTarget = 0;
  unsigned late = 0;
  // Accepted and then not served.
  unsigned brokenPromises = 0;
  unsigned rejectedTwice = 0;
  // Longest time until a rejection was told.
  common::microseconds longestRejection{ 0 };
  double Served() const { return double(inTarget + late) / double(asked); }
};

// Replays the pattern against the product's admission, or against a queue without limits.
std::map<std::string, load_outcome> Replay(const load_pattern& aPattern, bool aAdmission,
                                           uint64_t aSeed);

} // namespace bamboograde::tests
