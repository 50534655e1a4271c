#include "request/mean_times.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr double kSampleWeight = 0.1;
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
  common::microseconds& mean = mMeans[aWork];
  mean = WeightedMean(mean, aTime);
}

std::optional<common::microseconds> mean_times::Mean(const std::string& aWork) const
{
  auto found = mMeans.find(aWork);
  return found == mMeans.end() ? std::nullopt : std::optional(found->second);
}

common::boot_time mean_times::LatestEnd(const std::string& aWork, common::boot_time aStart,
                                        common::boot_time aDeadline) const
{
  auto mean = Mean(aWork);
  return mean.has_value() ? std::min(aDeadline, aStart + *mean * kLongestShare) : aDeadline;
}

} // namespace bamboograde::request
