#include "load/history.h"

#include "common/json.h"

#include <algorithm>
#include <fstream>

namespace bamboograde::load {

namespace {

constexpr size_t kMaxExamples = 10;
// A response that arrives within this time after its due time is no interruption.
constexpr int64_t kMaxPromptLatencyUs = 100000;

// Calls aCallback with each line of the file that is valid JSON.
template<typename function>
void ForEachLine(const std::string& aPath, function aCallback)
{
  std::ifstream file(aPath);
  std::string line;
  while (std::getline(file, line)) {
    auto value = common::ParseJson(line);
    if (value.has_value()) {
      aCallback(value.assume_value());
    }
  }
}

void AddExample(history_report* aReport, const std::string& aText)
{
  if (aReport->examples.size() < kMaxExamples) {
    aReport->examples.push_back(aText);
  }
}

void CheckOwnership(const std::vector<upstream_run>& aRuns, history_report* aReport)
{
  std::map<std::string, std::vector<const upstream_run*>> byKey;
  for (const upstream_run& run : aRuns) {
    if (run.effect) {
      byKey[run.key].push_back(&run);
    }
  }
  for (auto& [key, runs] : byKey) {
    std::sort(runs.begin(), runs.end(),
              [](auto* aLeft, auto* aRight) { return aLeft->startUs < aRight->startUs; });
    // The run with the highest epoch that has started so far, and the latest end per epoch.
    const upstream_run* newest = nullptr;
    std::map<uint64_t, int64_t> lastEnd;
    for (const upstream_run* run : runs) {
      bool wrongOrder = newest != nullptr && run->epoch < newest->epoch;
      bool overlaps = std::any_of(lastEnd.begin(), lastEnd.end(), [&](const auto& aItem) {
        return aItem.first < run->epoch && aItem.second > run->startUs;
      });
      if (wrongOrder || overlaps) {
        ++aReport->ownershipViolations;
        AddExample(aReport, "two owners of " + key + ": request " + run->id + " at " +
                              run->upstream + " under epoch " + std::to_string(run->epoch));
      }
      if (newest == nullptr || run->epoch > newest->epoch) {
        newest = run;
      }
      lastEnd[run->epoch] = std::max(lastEnd[run->epoch], run->endUs);
    }
  }
}

void CheckDuplicateRuns(const std::vector<upstream_run>& aRuns, history_report* aReport)
{
  std::map<std::string, unsigned> effects;
  for (const upstream_run& run : aRuns) {
    if (run.effect && !run.ticket.empty() && ++effects[run.ticket] == 2) {
      ++aReport->duplicateRuns;
      AddExample(aReport, "booking " + run.id + " ran twice");
    }
  }
}

void CheckOutcomes(const std::vector<upstream_run>& aRuns,
                   const std::vector<caller_outcome>& aOutcomes, history_report* aReport)
{
  std::map<std::string, bool> ran;
  for (const upstream_run& run : aRuns) {
    ran[run.id] = ran[run.id] || run.effect;
  }
  for (const caller_outcome& item : aOutcomes) {
    bool hadEffect = ran.contains(item.id) && ran[item.id];
    if (item.outcome == "not-run" && hadEffect) {
      ++aReport->falseNotRun;
      AddExample(aReport, "request " + item.id + " ran although its caller was told it did not");
    }
    if (item.outcome == "served" && !hadEffect) {
      ++aReport->servedWithoutRun;
      AddExample(aReport, "request " + item.id + " was answered without having run");
    }
  }
}

} // namespace

std::vector<upstream_run> ReadRuns(const std::string& aPath)
{
  std::vector<upstream_run> runs;
  ForEachLine(aPath, [&](const common::json& aLine) {
    upstream_run run;
    run.upstream = common::GetString(aLine, "upstream");
    run.key = common::GetString(aLine, "service") + "/" + common::GetString(aLine, "key");
    run.id = common::GetString(aLine, "id");
    run.ticket = common::GetString(aLine, "ticket");
    run.epoch = common::GetNumber(aLine, "epoch");
    run.startUs = int64_t(common::GetNumber(aLine, "start_us"));
    run.endUs = int64_t(common::GetNumber(aLine, "end_us"));
    run.effect = common::GetBool(aLine, "effect");
    runs.push_back(std::move(run));
  });
  return runs;
}

std::vector<caller_outcome> ReadOutcomes(const std::string& aPath)
{
  std::vector<caller_outcome> outcomes;
  ForEachLine(aPath, [&](const common::json& aLine) {
    outcomes.push_back({ common::GetString(aLine, "id"), common::GetString(aLine, "service"),
                         common::GetString(aLine, "key"), common::GetString(aLine, "ticket"),
                         common::GetString(aLine, "outcome"), common::GetString(aLine, "reason"),
                         int64_t(common::GetNumber(aLine, "due_us")),
                         int64_t(common::GetNumber(aLine, "end_us")) });
  });
  return outcomes;
}

history_report CheckHistory(const std::vector<upstream_run>& aRuns,
                            const std::vector<caller_outcome>& aOutcomes)
{
  history_report report;
  report.runs = aRuns.size();
  CheckOwnership(aRuns, &report);
  CheckDuplicateRuns(aRuns, &report);
  CheckOutcomes(aRuns, aOutcomes, &report);
  return report;
}

std::map<std::string, int64_t> LongestUnservedMs(const std::vector<caller_outcome>& aOutcomes)
{
  std::map<std::string, std::vector<const caller_outcome*>> byKey;
  for (const caller_outcome& item : aOutcomes) {
    if (item.reason == "limit") {
      continue;
    }
    byKey[item.service + "/" + item.key].push_back(&item);
  }
  std::map<std::string, int64_t> longest;
  for (auto& [key, items] : byKey) {
    std::sort(items.begin(), items.end(),
              [](auto* aLeft, auto* aRight) { return aLeft->dueUs < aRight->dueUs; });
    // Due time of the first request that was not served promptly; 0 while the key is served.
    int64_t since = 0;
    for (const caller_outcome* item : items) {
      bool served = item->outcome == "served";
      bool prompt = served && item->endUs - item->dueUs < kMaxPromptLatencyUs;
      if (!prompt && since == 0) {
        since = item->dueUs;
      }
      if (served && since != 0) {
        longest[key] = std::max(longest[key], (item->endUs - since) / 1000);
        since = 0;
      }
    }
    if (since != 0) {
      longest[key] = std::max(longest[key], (items.back()->endUs - since) / 1000);
    }
  }
  return longest;
}

} // namespace bamboograde::load
