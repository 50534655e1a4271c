// Simulated time: runs what is scheduled in order of its time, and of scheduling at equal times.
#pragma once

#include "common/clock.h"

#include <functional>
#include <queue>
#include <vector>

namespace bamboograde::tests {

class event_queue
{
public:
  common::boot_time Now() const { return mNow; }
  void At(common::boot_time aTime, std::function<void()> aRun);
  // Runs everything, also what is scheduled meanwhile.
  void Run();
  // Runs what is due by the given time, which is the present one from then on.
  void RunUntil(common::boot_time aTime);

private:
  struct event
  {
    common::boot_time at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  void RunNext();

  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  uint64_t mOrder = 0;
  common::boot_time mNow;
};

} // namespace bamboograde::tests
