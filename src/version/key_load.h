// Estimates the current load of each key from its recent requests.
#pragma once

#include "version/key_map.h"

#include <array>

namespace bamboograde::version {

// The load of each key: the count of its requests, which Decay() halves.
class key_load
{
public:
  void Count(uint32_t aKey) { mCounts[aKey] += 1; }
  void Decay();
  float Sum(const key_range& aRange) const;
  // The range with the fewest keys within aWithin whose load is from aMinimum to aMaximum. Empty
  // when there is none.
  std::optional<key_range> NarrowestRange(const key_range& aWithin, float aMinimum,
                                          float aMaximum) const;
  // The range within aWithin that has the most load, but at most aMaximum. Empty when each key
  // there has no load or more than aMaximum.
  std::optional<key_range> HeaviestRange(const key_range& aWithin, float aMaximum) const;

private:
  std::array<float, kKeyPositions> mCounts{};
};

} // namespace bamboograde::version
