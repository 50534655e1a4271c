// Concurrency limit of the upstream: its number of slots, reduced during a cold start and while the
// upstream sheds load (additive increase, multiplicative decrease).
#pragma once

#include "common/clock.h"

#include <cstddef>

namespace bamboograde::request {

class slot_pool
{
public:
  // An upstream has announced itself with aSlots slots. The capacity ramps up until aColdUntil, the
  // end of its cold start.
  void Open(size_t aSlots, common::boot_time aNow, common::boot_time aColdUntil);
  void Close();
  size_t Capacity(common::boot_time aNow) const;
  bool TryTake(common::boot_time aNow);
  void Release();
  // The upstream shed a request: lowers the capacity by a factor.
  void OnShed(common::boot_time aNow);
  // The upstream completed a request: raises the capacity by a fraction of a slot.
  void OnCompleted();
  size_t InUse() const { return mInUse; }
  size_t Slots() const { return mSlots; }

private:
  size_t mSlots = 0;
  size_t mInUse = 0;
  // Between 1 and mSlots.
  double mAdaptiveLimit = 0;
  common::boot_time mOpenedAt;
  common::boot_time mColdUntil;
  common::boot_time mNextDecreaseAt;
};

} // namespace bamboograde::request
