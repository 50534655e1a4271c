#include "process/sidecar/decision_log.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace bamboograde::process::sidecar {

namespace {

// Lines a second and lines at once, by class.
struct allowance
{
  double perSecond;
  double burst;
};
constexpr std::array<allowance, 3> kAllowances = { { { 5, 20 }, { 50, 200 }, { 100, 400 } } };
// Output that may wait for a reader.
constexpr size_t kMaxQueue = size_t(256) * 1024;
// Queued output at which it is written without waiting for the next flush.
constexpr size_t kWriteSize = size_t(8) * 1024;

} // namespace

decision_log::decision_log(std::string aVm, const common::clock_source& aClock)
  : mVm(std::move(aVm))
  , mClock(aClock)
{
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool decision_log::Take(bucket* aBucket, line_class aClass, common::boot_time aNow)
{
  const allowance& allowed = kAllowances[size_t(aClass)];
  if (aBucket->filledAt == common::boot_time()) {
    aBucket->tokens = allowed.burst;
  }
  std::chrono::duration<double> passed = aNow - aBucket->filledAt;
  aBucket->tokens = std::min(allowed.burst, aBucket->tokens + passed.count() * allowed.perSecond);
  aBucket->filledAt = aNow;
  if (aBucket->tokens < 1) {
    ++aBucket->leftOut;
    ++mLeftOutTotal;
    return false;
  }
  aBucket->tokens -= 1;
  return true;
}

void decision_log::Write(line_class aClass, const char* aEvent,
                         const std::function<common::json()>& aFields)
{
  if (Take(&mBuckets[aEvent], aClass, mClock.Now())) {
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
    ++mLeftOutTotal;
    return;
  }
  mQueue.append(line);
}

void decision_log::Flush()
{
  for (auto& [event, state] : mBuckets) {
    if (state.leftOut > 0) {
      Append("lines_left_out", { { "of", event }, { "count", state.leftOut } });
      state.leftOut = 0;
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
