#include "load/key_source.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::load {

namespace {

// Number of keys by which the ranks shift per interval; large, so that other keys become hot.
constexpr size_t kShiftStride = 7919;

} // namespace

key_source::key_source(key_options aOptions)
  : mOptions(std::move(aOptions))
{
  if (mOptions.distribution == key_distribution::kUniform) {
    return;
  }
  double sum = 0;
  for (size_t rank = 1; rank <= mOptions.count; ++rank) {
    sum += 1 / std::pow(double(rank), mOptions.zipfExponent);
    mCumulative.push_back(sum);
  }
}

std::string key_source::Next(common::seeded_random& aRandom, double aSeconds) const
{
  size_t index = 0;
  if (mCumulative.empty()) {
    index = aRandom.Below(mOptions.count);
  } else {
    double point = aRandom.Unit() * mCumulative.back();
    index =
      size_t(std::lower_bound(mCumulative.begin(), mCumulative.end(), point) - mCumulative.begin());
  }
  if (mOptions.distribution == key_distribution::kShiftingZipf) {
    auto period = size_t(aSeconds / mOptions.shiftIntervalSeconds);
    index = (index + period * kShiftStride) % mOptions.count;
  }
  return mOptions.prefix + std::to_string(index);
}

} // namespace bamboograde::load
