#include "version/key_load.h"

namespace bamboograde::version {

namespace {

// Decay() sets counts below this to zero.
constexpr float kMinCount = 0.01F;

} // namespace

void key_load::Decay()
{
  for (float& count : mCounts) {
    count = count < kMinCount ? 0 : count / 2;
  }
}

float key_load::Sum(const key_range& aRange) const
{
  float sum = 0;
  for (uint32_t key = aRange.first; key <= aRange.last; ++key) {
    sum += mCounts[key];
  }
  return sum;
}

std::optional<key_range> key_load::NarrowestRange(const key_range& aWithin, float aMinimum,
                                                  float aMaximum) const
{
  std::optional<key_range> best;
  float sum = 0;
  uint32_t first = aWithin.first;
  for (uint32_t last = aWithin.first; last <= aWithin.last; ++last) {
    sum += mCounts[last];
    while (first < last && sum - mCounts[first] >= aMinimum) {
      sum -= mCounts[first];
      ++first;
    }
    bool fits = sum >= aMinimum && sum <= aMaximum;
    if (fits && (!best.has_value() || last - first < best->last - best->first)) {
      best = key_range{ first, last };
    }
  }
  return best;
}

std::optional<key_range> key_load::HeaviestRange(const key_range& aWithin, float aMaximum) const
{
  std::optional<key_range> best;
  float highest = 0;
  float sum = 0;
  uint32_t first = aWithin.first;
  for (uint32_t last = aWithin.first; last <= aWithin.last; ++last) {
    sum += mCounts[last];
    while (first <= last && (sum > aMaximum || mCounts[first] == 0)) {
      sum -= mCounts[first];
      ++first;
    }
    if (first <= last && sum > highest) {
      highest = sum;
      best = key_range{ first, last };
    }
  }
  return best;
}

} // namespace bamboograde::version
