// Discrete-event simulation. Events run in order of time, and of scheduling at equal times.
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
  // Runs until no event is left, including events that are scheduled meanwhile.
  void Run();
  // Runs the events due by aTime, then sets the current time to aTime.
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
