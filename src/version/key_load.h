// How often each key was asked for lately.
#pragma once

#include "version/key_map.h"

#include <array>

namespace bamboograde::version {

// Counts per key that halve with each Decay().
class key_load
{
public:
  void Count(uint32_t aKey) { mCounts[aKey] += 1; }
  void Decay();
  float Sum(const key_range& aRange) const;
  // The shortest range within aWithin whose count is at least aWanted, if its count is at most
  // aMost. Empty when there is none.
  std::optional<key_range> Narrowest(const key_range& aWithin, float aWanted, float aMost) const;
  // The range within aWithin whose count is the greatest that is not above aMost. Empty when no key
  // has a count so small and was asked for.
  std::optional<key_range> Heaviest(const key_range& aWithin, float aMost) const;

private:
  std::array<float, kKeyPositions> mCounts{};
};

} // namespace bamboograde::version
