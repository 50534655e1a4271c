#include "process/sidecar/decision_log.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace bamboograde::process::sidecar {

namespace {

// Token bucket for each event: lines per second and burst, by class.
struct rate_limit
{
  double perSecond;
  double burst;
};
constexpr std::array<rate_limit, 3> kRateLimits = { { { 5, 20 }, { 50, 200 }, { 100, 400 } } };
// Maximum output that is queued while standard output is not read.
constexpr size_t kMaxQueue = size_t(256) * 1024;
// Queue size that triggers a write before the next flush.
constexpr size_t kWriteSize = size_t(8) * 1024;

} // namespace

decision_log::decision_log(std::string aVm, const common::clock_source& aClock)
  : mVm(std::move(aVm))
  , mClock(aClock)
{
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool decision_log::TakeToken(bucket* aBucket, line_class aClass, common::boot_time aNow)
{
  const rate_limit& limit = kRateLimits[size_t(aClass)];
  if (aBucket->filledAt == common::boot_time()) {
    aBucket->tokens = limit.burst;
  }
  std::chrono::duration<double> passed = aNow - aBucket->filledAt;
  aBucket->tokens = std::min(limit.burst, aBucket->tokens + passed.count() * limit.perSecond);
  aBucket->filledAt = aNow;
  if (aBucket->tokens < 1) {
    ++aBucket->dropped;
    ++mDroppedTotal;
    return false;
  }
  aBucket->tokens -= 1;
  return true;
}

void decision_log::Write(line_class aClass, const char* aEvent,
                         const std::function<common::json()>& aFields)
{
  if (TakeToken(&mBuckets[aEvent], aClass, mClock.Now())) {
    Append(aEvent, aFields());
  }
  if (mQueue.size() > kWriteSize) {
    Flush();
  }
}

void decision_log::Append(const char* aEvent, common::json aFields)
{
  aFields["event"] = aEvent;
  aFields["vm"] = mVm;
  aFields["unix_ms"] = mClock.UnixMs();
  std::string line = common::Dump(aFields) + "\n";
  if (mQueue.size() + line.size() > kMaxQueue) {
    ++mDroppedTotal;
    return;
  }
  mQueue.append(line);
}

void decision_log::Flush()
{
  for (auto& [event, state] : mBuckets) {
    if (state.dropped > 0) {
      Append("lines_left_out", { { "of", event }, { "count", state.dropped } });
      state.dropped = 0;
    }
  }
  while (!mQueue.empty()) {
    ssize_t count = write(STDOUT_FILENO, mQueue.data(), mQueue.size());
    if (count <= 0) {
      return;
    }
    mQueue.erase(0, size_t(count));
  }
}

} // namespace bamboograde::process::sidecar
