#include "request/slot_pool.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr double kDecreaseFactor = 0.7;
// Minimum time between decreases, so that the refusals of one overload count once.
constexpr common::milliseconds kDecreaseInterval{ 100 };
// Share of the slots at the beginning of a cold start.
constexpr double kInitialColdShare = 0.25;

} // namespace

void slot_pool::Open(size_t aSlots, common::boot_time aNow, common::boot_time aColdUntil)
{
  mSlots = aSlots;
  mAdaptiveLimit = double(aSlots);
  mOpenedAt = aNow;
  mColdUntil = aColdUntil;
}

void slot_pool::Close()
{
  mSlots = 0;
}

size_t slot_pool::Capacity(common::boot_time aNow) const
{
  if (mSlots == 0) {
    return 0;
  }
  double capacity = mAdaptiveLimit;
  if (aNow < mColdUntil && mColdUntil > mOpenedAt) {
    double elapsedShare =
      double((aNow - mOpenedAt).count()) / double((mColdUntil - mOpenedAt).count());
    double share = kInitialColdShare + (1 - kInitialColdShare) * std::max(0.0, elapsedShare);
    capacity = std::min(capacity, double(mSlots) * share);
  }
  return std::max<size_t>(1, size_t(capacity));
}

bool slot_pool::TryTake(common::boot_time aNow)
{
  if (mInUse >= Capacity(aNow)) {
    return false;
  }
  ++mInUse;
  return true;
}

void slot_pool::Release()
{
  --mInUse;
}

void slot_pool::OnShed(common::boot_time aNow)
{
  if (aNow < mNextDecreaseAt) {
    return;
  }
  mNextDecreaseAt = aNow + kDecreaseInterval;
  mAdaptiveLimit = std::max(1.0, mAdaptiveLimit * kDecreaseFactor);
}

void slot_pool::OnCompleted()
{
  if (mAdaptiveLimit < double(mSlots)) {
    mAdaptiveLimit = std::min(double(mSlots), mAdaptiveLimit + 1 / mAdaptiveLimit);
  }
}

} // namespace bamboograde::request
