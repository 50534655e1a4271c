// Mean time that the requests of each class take, weighted towards the latest ones.
#pragma once

#include "common/clock.h"

#include <map>
#include <optional>
#include <string>

namespace bamboograde::request {

class mean_times
{
public:
  void Add(const std::string& aWork, common::microseconds aTime);
  // Empty before the first sample.
  std::optional<common::microseconds> Mean(const std::string& aWork) const;
  // Empty before enough samples to compare other times with the mean.
  std::optional<common::microseconds> SettledMean(const std::string& aWork) const;
  // Time by which nearly all requests of the class that start at aStart have ended: at most
  // aDeadline, and aDeadline before the first sample.
  common::boot_time LatestEnd(const std::string& aWork, common::boot_time aStart,
                              common::boot_time aDeadline) const;

private:
  struct entry
  {
    common::microseconds mean{ 0 };
    unsigned samples = 0;
  };
  std::map<std::string, entry> mEntries;
};

// Mean after one more sample; a mean of 0 stands for no sample.
common::microseconds WeightedMean(common::microseconds aMean, common::microseconds aSample);

} // namespace bamboograde::request
