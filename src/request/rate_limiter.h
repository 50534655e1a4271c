// Keeps the requests sent to an upstream within the rate that it has named.
//
// Token bucket: unused tokens allow a burst of kBurstTime's worth of requests, at least one. Every
// request to an upstream passes the gate on its VM, so one bucket there limits all VMs together.
//
// Load pattern: an upstream in need, which names a rate below its slots' throughput, under load
// that does not shrink.
#pragma once

#include "common/clock.h"

#include <deque>
#include <optional>

namespace bamboograde::request {

// Requests per second.
class request_rate
{
public:
  constexpr request_rate() = default;
  constexpr explicit request_rate(double aPerSecond)
    : mPerSecond(aPerSecond)
  {
  }
  constexpr double PerSecond() const { return mPerSecond; }
  auto operator<=>(const request_rate&) const = default;

private:
  double mPerSecond = 0;
};

class rate_limiter
{
public:
  static constexpr common::milliseconds kBurstTime{ 250 };
  // Lower limits are raised to this, since only responses show whether a limit still holds.
  static constexpr request_rate kMinLimit{ 0.5 };

  // Empty: no limit. aCountEarlier: no second may have more requests than the limit and the burst,
  // also if it began before the limit.
  void SetLimit(std::optional<request_rate> aLimit, common::boot_time aNow,
                bool aCountEarlier = false);
  std::optional<request_rate> Limit() const { return mLimit; }
  bool MayStart(common::boot_time aNow) const;
  void OnStarted(common::boot_time aNow);
  // Time until one more request may start after aAhead others have; 0 without a limit.
  common::microseconds WaitBehind(size_t aAhead, common::boot_time aNow) const;

private:
  double Tokens(common::boot_time aNow) const;
  // When one more request does not exceed what a second may have, for limits that count earlier
  // requests. Afterwards the tokens are the stricter bound.
  common::boot_time WindowOpensAt() const;

  std::optional<request_rate> mLimit;
  bool mCountsEarlier = false;
  double mTokens = 0;
  common::boot_time mCountedAt;
  // Times at which the requests of the last second started, in order.
  std::deque<common::boot_time> mRecentStarts;
};

} // namespace bamboograde::request
