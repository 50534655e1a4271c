#include "request/rate_limiter.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr common::seconds kRateInterval{ 1 };

double Capacity(request_rate aLimit)
{
  std::chrono::duration<double> burst = rate_limiter::kBurstTime;
  return std::max(1.0, aLimit.PerSecond() * burst.count());
}

} // namespace

void rate_limiter::SetLimit(std::optional<request_rate> aLimit, common::boot_time aNow,
                            bool aCountEarlier)
{
  mCountsEarlier = aCountEarlier;
  if (aLimit.has_value()) {
    aLimit = std::max(*aLimit, kMinLimit);
  }
  if (aLimit == mLimit) {
    return;
  }
  bool limitedBefore = mLimit.has_value();
  double tokens = Tokens(aNow);
  mLimit = aLimit;
  mCountedAt = aNow;
  if (mLimit.has_value()) {
    mTokens = limitedBefore ? std::min(tokens, Capacity(*mLimit)) : Capacity(*mLimit);
  }
}

common::boot_time rate_limiter::WindowOpensAt() const
{
  auto most = size_t(mLimit->PerSecond() + Capacity(*mLimit));
  return !mCountsEarlier || mRecentStarts.size() < most
           ? common::boot_time()
           : mRecentStarts[mRecentStarts.size() - most] + kRateInterval;
}

double rate_limiter::Tokens(common::boot_time aNow) const
{
  if (!mLimit.has_value()) {
    return 0;
  }
  std::chrono::duration<double> passed = aNow - mCountedAt;
  return std::min(Capacity(*mLimit), mTokens + passed.count() * mLimit->PerSecond());
}

bool rate_limiter::MayStart(common::boot_time aNow) const
{
  return !mLimit.has_value() || (Tokens(aNow) >= 1 && aNow >= WindowOpensAt());
}

void rate_limiter::OnStarted(common::boot_time aNow)
{
  mTokens = Tokens(aNow) - 1;
  mCountedAt = aNow;
  while (!mRecentStarts.empty() && mRecentStarts.front() <= aNow - kRateInterval) {
    mRecentStarts.pop_front();
  }
  mRecentStarts.push_back(aNow);
}

common::microseconds rate_limiter::WaitBehind(size_t aAhead, common::boot_time aNow) const
{
  if (!mLimit.has_value()) {
    return common::microseconds(0);
  }
  double missing = std::max(0.0, double(aAhead) + 1 - Tokens(aNow));
  auto forTokens = std::chrono::duration_cast<common::microseconds>(
    std::chrono::duration<double>(missing / mLimit->PerSecond()));
  return std::max(forTokens,
                  std::chrono::duration_cast<common::microseconds>(WindowOpensAt() - aNow));
}

} // namespace bamboograde::request
