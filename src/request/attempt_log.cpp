#include "request/attempt_log.h"

namespace bamboograde::request {

namespace {

// Longer than an entry daemon waits before it queries, and than a connection can delay an attempt.
constexpr common::seconds kAttemptLifetime{ 30 };

} // namespace

void attempt_log::Record(const common::attempt_id& aAttempt, attempt_state aState,
                         common::boot_time aNow)
{
  mStates[aAttempt] = aState;
  mExpiryQueue.push_back({ aAttempt, aNow + kAttemptLifetime });
}

attempt_begin attempt_log::Begin(const common::attempt_id& aAttempt, common::boot_time aNow)
{
  auto found = mStates.find(aAttempt);
  if (found != mStates.end()) {
    bool closed = found->second == attempt_state::kClosed;
    return closed ? attempt_begin::kClosed : attempt_begin::kRepeated;
  }
  Record(aAttempt, attempt_state::kOpen, aNow);
  return attempt_begin::kNew;
}

void attempt_log::End(const common::attempt_id& aAttempt, bool aRan)
{
  auto found = mStates.find(aAttempt);
  if (found != mStates.end()) {
    found->second = aRan ? attempt_state::kRan : attempt_state::kNotRun;
  }
}

attempt_state attempt_log::Resolve(const common::attempt_id& aAttempt, common::boot_time aNow)
{
  auto found = mStates.find(aAttempt);
  if (found != mStates.end()) {
    return found->second;
  }
  Record(aAttempt, attempt_state::kClosed, aNow);
  return attempt_state::kClosed;
}

void attempt_log::Expire(common::boot_time aNow)
{
  while (!mExpiryQueue.empty() && mExpiryQueue.front().expiresAt <= aNow) {
    auto found = mStates.find(mExpiryQueue.front().attempt);
    // The entry of an attempt that is still open is kept for another lifetime.
    if (found != mStates.end() && found->second == attempt_state::kOpen) {
      mExpiryQueue.push_back({ mExpiryQueue.front().attempt, aNow + kAttemptLifetime });
    } else if (found != mStates.end()) {
      mStates.erase(found);
    }
    mExpiryQueue.pop_front();
  }
}

} // namespace bamboograde::request
