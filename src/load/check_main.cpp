// bamboograde_check: checks the histories of a run against the guarantees of bamboograde. The exit
// code is 0 if no guarantee was violated.

#include "load/history.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, runs, {},
          "History files of the upstreams, separated by commas.");
ABSL_FLAG(std::string, outcomes, "", "History file of the load tool.");

namespace {

constexpr int kGuaranteeViolated = 1;

void PrintUnserved(const std::vector<bamboograde::load::caller_outcome>& aOutcomes)
{
  std::vector<int64_t> times;
  for (const auto& [key, ms] : bamboograde::load::LongestUnservedMs(aOutcomes)) {
    times.push_back(ms);
  }
  std::sort(times.begin(), times.end());
  auto at = [&](double aPercent) {
    return times.empty() ? 0 : times[size_t(double(times.size() - 1) * aPercent / 100)];
  };
  std::cout << "unserved_keys=" << times.size() << "\nunserved_p50_ms=" << at(50)
            << "\nunserved_p99_ms=" << at(99) << "\nunserved_p100_ms=" << at(100) << "\n";
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Checks the histories of a run against the guarantees of bamboograde.");
  absl::ParseCommandLine(argc, argv);
  std::vector<bamboograde::load::upstream_run> runs;
  for (const std::string& path : absl::GetFlag(FLAGS_runs)) {
    for (auto& run : bamboograde::load::ReadRuns(path)) {
      runs.push_back(std::move(run));
    }
  }
  auto outcomes = bamboograde::load::ReadOutcomes(absl::GetFlag(FLAGS_outcomes));
  auto report = bamboograde::load::CheckHistory(runs, outcomes);
  std::cout << "runs=" << report.runs << "\ntwo_owners=" << report.ownershipViolations
            << "\nran_twice=" << report.duplicateRuns << "\nfalse_not_run=" << report.falseNotRun
            << "\nserved_without_run=" << report.servedWithoutRun << "\n";
  PrintUnserved(outcomes);
  for (const std::string& example : report.examples) {
    std::cout << "example: " << example << "\n";
  }
  return report.GuaranteesHold() ? 0 : kGuaranteeViolated;
}
