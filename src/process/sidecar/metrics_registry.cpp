#include "process/sidecar/metrics_registry.h"

#include <array>
#include <spdlog/fmt/fmt.h>

namespace bamboograde::process::sidecar {

namespace {

constexpr std::array<double, 4> kPercentiles = { 50, 90, 99, 99.9 };
constexpr double kMicrosPerSecond = 1e6;

// Writes one TYPE line for all series of a metric.
void AppendType(std::string* aPage, std::string* aLast, const std::string& aSeries,
                const char* aType)
{
  std::string name = aSeries.substr(0, aSeries.find('{'));
  if (name != *aLast) {
    fmt::format_to(std::back_inserter(*aPage), "# TYPE {} {}\n", name, aType);
    *aLast = name;
  }
}

} // namespace

std::string metrics_registry::Render() const
{
  std::string page;
  std::string last;
  auto out = std::back_inserter(page);
  for (const auto& [series, value] : mCounters) {
    AppendType(&page, &last, series, "counter");
    fmt::format_to(out, "{} {}\n", series, value);
  }
  for (const auto& [series, read] : mGauges) {
    AppendType(&page, &last, series, "gauge");
    fmt::format_to(out, "{} {}\n", series, read());
  }
  for (const auto& [name, histogram] : mHistograms) {
    AppendType(&page, &last, name, "summary");
    for (double percentile : kPercentiles) {
      fmt::format_to(out, "{}{{quantile=\"{}\"}} {}\n", name, percentile / 100,
                     double(histogram.Percentile(percentile).count()) / kMicrosPerSecond);
    }
    fmt::format_to(out, "{}_sum {}\n{}_count {}\n", name,
                   double(histogram.Sum().count()) / kMicrosPerSecond, name, histogram.Count());
  }
  return page;
}

} // namespace bamboograde::process::sidecar
