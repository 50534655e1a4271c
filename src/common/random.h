// Random numbers for decision logic. Tests pass a seeded source to get reproducible runs.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bamboograde::common {

class random_source
{
public:
  virtual ~random_source() = default;
  // Uniform random number in [0, aBound). aBound must not be zero.
  virtual uint64_t Below(uint64_t aBound) = 0;
};

// A Mersenne twister; the same seed gives the same numbers.
class seeded_random : public random_source
{
public:
  explicit seeded_random(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }
  uint64_t Below(uint64_t aBound) override;
  // Uniform random number in [0, 1).
  double Unit();

private:
  std::mt19937_64 mEngine;
};

// Shuffles the items in place.
template<typename item_type>
void Shuffle(std::vector<item_type>* aItems, random_source& aRandom)
{
  for (size_t left = aItems->size(); left > 1; --left) {
    std::swap((*aItems)[left - 1], (*aItems)[size_t(aRandom.Below(left))]);
  }
}

// A seed from the machine's entropy.
uint64_t EntropySeed();
// A random identifier of 32 hexadecimal digits.
std::string MakeUniqueId();

} // namespace bamboograde::common
