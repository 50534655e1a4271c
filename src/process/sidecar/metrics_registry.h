// Counters, gauges and latency histograms in the Prometheus text format.
#pragma once

#include "common/histogram.h"

#include <functional>
#include <map>
#include <string>

namespace bamboograde::process::sidecar {

class metrics_registry
{
public:
  // aName may include labels: name{label="value"}. The TYPE line uses the name without labels.
  void Add(const std::string& aName, uint64_t aAmount = 1) { mCounters[aName] += aAmount; }
  void Observe(const std::string& aName, common::microseconds aTime)
  {
    mHistograms[aName].Record(aTime);
  }
  // aRead is called at each Render().
  void AddGauge(const std::string& aName, std::function<double()> aRead)
  {
    mGauges[aName] = std::move(aRead);
  }
  std::string Render() const;

private:
  std::map<std::string, uint64_t> mCounters;
  std::map<std::string, common::histogram> mHistograms;
  std::map<std::string, std::function<double()>> mGauges;
};

} // namespace bamboograde::process::sidecar
