// Draws the keys of generated requests from a configurable distribution.
#pragma once

#include "common/random.h"

#include <string>
#include <vector>

namespace bamboograde::load {

enum class key_distribution
{
  kUniform,
  kZipf,
  // Zipf whose hottest keys change at a fixed interval.
  kShiftingZipf,
};

struct key_options
{
  key_distribution distribution = key_distribution::kUniform;
  size_t count = 1000;
  double zipfExponent = 1.0;
  double shiftIntervalSeconds = 10;
  std::string prefix = "key-";
};

class key_source
{
public:
  explicit key_source(key_options aOptions);
  // aSeconds: time since the start of the run.
  std::string Next(common::seeded_random& aRandom, double aSeconds) const;

private:
  key_options mOptions;
  // Cumulative weight per rank, not normalized; empty for uniform keys.
  std::vector<double> mCumulative;
};

} // namespace bamboograde::load
