// Simulation, in simulated time, of one upstream under load. Arrivals are open-loop, and callers
// retry once after a rejection.
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
  // Factor of the arrival rates between burstFrom and burstUntil.
  double burstFactor = 1;
  common::seconds burstFrom{ 0 };
  common::seconds burstUntil{ 0 };
};

struct load_outcome
{
  unsigned arrived = 0;
  unsigned inTarget = 0;
  unsigned late = 0;
  // Accepted and then not answered before the deadline.
  unsigned acceptedNotServed = 0;
  unsigned rejectedTwice = 0;
  // Maximum time from the arrival of an accepted request to its later rejection.
  common::microseconds maxLateRejection{ 0 };
  double Served() const { return double(inTarget + late) / double(arrived); }
};

// Simulates the pattern with admission, or, without aAdmission, with an unlimited FIFO queue.
std::map<std::string, load_outcome> SimulateLoad(const load_pattern& aPattern, bool aAdmission,
                                                 uint64_t aSeed);

} // namespace bamboograde::tests
