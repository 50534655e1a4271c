// The counters and latency histograms of the process. All tasks write them; the operator interface
// publishes them as metrics.
#pragma once

#include "common/histogram.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bamboograde::process {

using counter = std::atomic<uint64_t>;

class counters
{
public:
  // The counter with this name and these labels, such as reason="limit",row="r1"; it starts at
  // zero. The reference stays valid as long as this object. Safe on all threads.
  counter& Get(const std::string& aName, const std::string& aLabels = "");
  // Adds a duration to the histogram of this name. Safe on all threads.
  void Record(const std::string& aName, common::microseconds aValue);
  // All counters and histograms in the text format of Prometheus.
  std::string Format() const;

private:
  struct metric_id
  {
    std::string name;
    std::string labels;
    auto operator<=>(const metric_id&) const = default;
  };
  mutable std::mutex mMutex;
  std::map<metric_id, std::unique_ptr<counter>> mCounters;
  std::map<std::string, common::histogram> mHistograms;
};

} // namespace bamboograde::process
