// A histogram of durations with a bounded relative error, for percentiles.
#pragma once

#include "common/clock.h"

#include <array>
#include <cstdint>

namespace bamboograde::common {

// Buckets grow by 1/16 per step, so the relative error of a percentile is at most 6.25 %.
class histogram
{
public:
  void Record(microseconds aValue);
  void Merge(const histogram& aOther);
  uint64_t Count() const { return mCount; }
  microseconds Sum() const { return mSum; }
  microseconds Max() const { return mMax; }
  // Upper bound of the bucket that holds the given percentile (0 to 100).
  microseconds Percentile(double aPercent) const;

private:
  static constexpr size_t kSubBuckets = 16;
  static constexpr size_t kBuckets = 40 * kSubBuckets;
  static size_t Index(uint64_t aMicros);
  static uint64_t UpperBound(size_t aIndex);

  std::array<uint64_t, kBuckets> mBuckets{};
  uint64_t mCount = 0;
  microseconds mSum{ 0 };
  microseconds mMax{ 0 };
};

} // namespace bamboograde::common
