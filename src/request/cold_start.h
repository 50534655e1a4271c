// Tracks whether an upstream is cold, and how many requests per second it may get while it is.
//
// An upstream says in its announcements how long it stays cold. Events after which it may have
// become cold without saying so count as evidence until a later announcement denies it.
//
// Load pattern: an upstream that starts, or becomes cold by itself, in a service under full load.
// Requests beyond the rate that it tolerates crash it, and a crash makes it cold again.
#pragma once

#include "request/rate_limiter.h"

#include <optional>

namespace bamboograde::request {

class cold_start
{
public:
  // Requests per second that the upstream may get while it is cold; empty: no limit.
  void SetRate(std::optional<request_rate> aRate) { mRate = aRate; }
  // The upstream says that it stays cold for aLeft; 0: it is not cold.
  void OnAnnounced(common::milliseconds aLeft, common::boot_time aNow);
  // The upstream may have become cold. Announcements that arrive before aConfirmableFrom may have
  // been sent earlier.
  void Assume(common::boot_time aConfirmableFrom);
  // A new incarnation of the upstream has started; what is known of the former one is void.
  void Reset();

  bool Assumed() const { return mAssumed; }
  // Empty when the upstream is not cold or tolerates any rate.
  std::optional<request_rate> Limit(common::boot_time aNow) const
  {
    return mAssumed || aNow < mColdUntil ? mRate : std::nullopt;
  }

private:
  std::optional<request_rate> mRate;
  // As announced.
  common::boot_time mColdUntil;
  bool mAssumed = false;
  common::boot_time mConfirmableFrom;
};

} // namespace bamboograde::request
