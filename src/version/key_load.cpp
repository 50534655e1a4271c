#include "version/key_load.h"

namespace bamboograde::version {

namespace {

// Counts below this are forgotten.
constexpr float kLeast = 0.01F;

} // namespace

void key_load::Decay()
{
  for (float& count : mCounts) {
    count = count < kLeast ? 0 : count / 2;
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

std::optional<key_range> key_load::Narrowest(const key_range& aWithin, float aWanted,
                                             float aMost) const
{
  std::optional<key_range> best;
  float sum = 0;
  uint32_t first = aWithin.first;
  for (uint32_t last = aWithin.first; last <= aWithin.last; ++last) {
    sum += mCounts[last];
    while (first < last && sum - mCounts[first] >= aWanted) {
      sum -= mCounts[first];
      ++first;
    }
    bool fits = sum >= aWanted && sum <= aMost;
    if (fits && (!best.has_value() || last - first < best->last - best->first)) {
      best = key_range{ first, last };
    }
  }
  return best;
}

std::optional<key_range> key_load::Heaviest(const key_range& aWithin, float aMost) const
{
  std::optional<key_range> best;
  float most = 0;
  float sum = 0;
  uint32_t first = aWithin.first;
  for (uint32_t last = aWithin.first; last <= aWithin.last; ++last) {
    sum += mCounts[last];
    while (first <= last && (sum > aMost || mCounts[first] == 0)) {
      sum -= mCounts[first];
      ++first;
    }
    if (first <= last && sum > most) {
      most = sum;
      best = key_range{ first, last };
    }
  }
  return best;
}

} // namespace bamboograde::version
