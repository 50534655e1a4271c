#include "request/mean_times.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr double kSampleWeight = 0.1;
// The first sample then has a weight below 0.15.
constexpr unsigned kMinSettledSamples = 20;
// Nearly all requests of a class take at most this many times its mean.
constexpr int kLongestShare = 3;

} // namespace

common::microseconds WeightedMean(common::microseconds aMean, common::microseconds aSample)
{
  if (aMean.count() == 0) {
    return aSample;
  }
  return common::microseconds(
    int64_t(double(aMean.count()) * (1 - kSampleWeight) + double(aSample.count()) * kSampleWeight));
}

void mean_times::Add(const std::string& aWork, common::microseconds aTime)
{
  entry& times = mEntries[aWork];
  times.mean = WeightedMean(times.mean, aTime);
  ++times.samples;
}

std::optional<common::microseconds> mean_times::Mean(const std::string& aWork) const
{
  auto found = mEntries.find(aWork);
  return found == mEntries.end() ? std::nullopt : std::optional(found->second.mean);
}

std::optional<common::microseconds> mean_times::SettledMean(const std::string& aWork) const
{
  auto found = mEntries.find(aWork);
  bool isSettled = found != mEntries.end() && found->second.samples >= kMinSettledSamples;
  return isSettled ? std::optional(found->second.mean) : std::nullopt;
}

common::boot_time mean_times::LatestEnd(const std::string& aWork, common::boot_time aStart,
                                        common::boot_time aDeadline) const
{
  auto mean = Mean(aWork);
  return mean.has_value() ? std::min(aDeadline, aStart + *mean * kLongestShare) : aDeadline;
}

} // namespace bamboograde::request
