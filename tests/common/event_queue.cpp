#include "common/event_queue.h"

namespace bamboograde::tests {

void event_queue::At(common::boot_time aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, ++mOrder, std::move(aRun) });
}

void event_queue::Run()
{
  while (!mEvents.empty()) {
    RunNext();
  }
}

void event_queue::RunUntil(common::boot_time aTime)
{
  while (!mEvents.empty() && mEvents.top().at <= aTime) {
    RunNext();
  }
  mNow = aTime;
}

void event_queue::RunNext()
{
  event next = mEvents.top();
  mEvents.pop();
  mNow = next.at;
  next.run();
}

} // namespace bamboograde::tests
