#include "common/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bamboograde::common {

size_t histogram::Index(uint64_t aMicros)
{
  if (aMicros < kSubBuckets) {
    return aMicros;
  }
  unsigned shift = std::bit_width(aMicros) - 5;
  size_t index = (shift + 1) * kSubBuckets + (aMicros >> shift) - kSubBuckets;
  return std::min(index, kBuckets - 1);
}

uint64_t histogram::UpperBound(size_t aIndex)
{
  if (aIndex < kSubBuckets) {
    return aIndex;
  }
  size_t shift = aIndex / kSubBuckets - 1;
  uint64_t base = aIndex % kSubBuckets + kSubBuckets;
  return ((base + 1) << shift) - 1;
}

void histogram::Record(microseconds aValue)
{
  auto micros = uint64_t(std::max<int64_t>(0, aValue.count()));
  ++mBuckets[Index(micros)];
  ++mCount;
  mSum += aValue;
  mMax = std::max(mMax, aValue);
}

void histogram::Merge(const histogram& aOther)
{
  for (size_t i = 0; i < kBuckets; ++i) {
    mBuckets[i] += aOther.mBuckets[i];
  }
  mCount += aOther.mCount;
  mSum += aOther.mSum;
  mMax = std::max(mMax, aOther.mMax);
}

microseconds histogram::Percentile(double aPercent) const
{
  auto rank = uint64_t(std::ceil(aPercent / 100.0 * double(mCount)));
  uint64_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += mBuckets[i];
    if (seen >= rank && seen > 0) {
      return std::min(microseconds(UpperBound(i)), mMax);
    }
  }
  return mMax;
}

} // namespace bamboograde::common
