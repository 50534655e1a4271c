#include "process/counters.h"

#include <sstream>

namespace bamboograde::process {

namespace {

constexpr char kPrefix[] = "bamboograde_";

} // namespace

counter& counters::Get(const std::string& aName, const std::string& aLabels)
{
  std::scoped_lock lock(mMutex);
  auto& found = mCounters[{ aName, aLabels }];
  if (found == nullptr) {
    found = std::make_unique<counter>(0);
  }
  return *found;
}

void counters::Record(const std::string& aName, common::microseconds aValue)
{
  std::scoped_lock lock(mMutex);
  mHistograms[aName].Record(aValue);
}

std::string counters::Format() const
{
  std::scoped_lock lock(mMutex);
  std::ostringstream text;
  for (const auto& [id, value] : mCounters) {
    text << kPrefix << id.name;
    if (!id.labels.empty()) {
      text << "{" << id.labels << "}";
    }
    text << " " << value->load() << "\n";
  }
  for (const auto& [name, values] : mHistograms) {
    for (double quantile : { 0.5, 0.9, 0.99, 0.999 }) {
      text << kPrefix << name << "_seconds{quantile=\"" << quantile << "\"} "
           << double(values.Percentile(quantile * 100).count()) / 1e6 << "\n";
    }
    text << kPrefix << name << "_seconds_count " << values.Count() << "\n";
    text << kPrefix << name << "_seconds_sum " << double(values.Sum().count()) / 1e6 << "\n";
  }
  return text.str();
}

} // namespace bamboograde::process
