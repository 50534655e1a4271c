// Checks the histories that upstreams and the load tool write during a run against the guarantees
// of bamboograde: exclusive ownership, at most one run of a ticket, and truthful outcomes.
//
// All processes of a run share the boot clock of one machine, so their times are comparable.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bamboograde::load {

// One run of a request at an upstream.
struct upstream_run
{
  std::string upstream;
  std::string key;
  std::string id;
  std::string ticket;
  uint64_t epoch = 0;
  int64_t startUs = 0;
  int64_t endUs = 0;
  // False when the upstream undid or refused the work because its grant had ended.
  bool effect = false;
};

// The outcome of one request as seen by its caller.
struct caller_outcome
{
  std::string id;
  std::string service;
  std::string key;
  std::string ticket;
  // "served", "not-run", "unknown", "ran", "lost" or "wrong".
  std::string outcome;
  // Reason of a refusal; empty otherwise.
  std::string reason;
  int64_t dueUs = 0;
  int64_t endUs = 0;
};

struct history_report
{
  uint64_t runs = 0;
  // Pairs of runs of a key by different owners that overlap or come in the wrong order of epochs.
  uint64_t ownershipViolations = 0;
  // Tickets of non-idempotent requests that had more than one effect.
  uint64_t duplicateRuns = 0;
  // Requests that had an effect although their callers were told that they were not run.
  uint64_t falseNotRun = 0;
  // Served requests without an effect at any upstream.
  uint64_t servedWithoutRun = 0;
  // Descriptions of the first violations.
  std::vector<std::string> examples;
  bool GuaranteesHold() const
  {
    return ownershipViolations + duplicateRuns + falseNotRun + servedWithoutRun == 0;
  }
};

// Reads lines of JSON. Malformed lines are skipped, such as a last line that is truncated because
// its writer was killed.
std::vector<upstream_run> ReadRuns(const std::string& aPath);
std::vector<caller_outcome> ReadOutcomes(const std::string& aPath);
history_report CheckHistory(const std::vector<upstream_run>& aRuns,
                            const std::vector<caller_outcome>& aOutcomes);

// Longest time per key, in milliseconds, from the due time of a failed or delayed request to the
// next served response. Keys without a failed or delayed request are left out. Refusals under the
// limit of a table row are intended and not counted as an interruption.
std::map<std::string, int64_t> LongestUnservedMs(const std::vector<caller_outcome>& aOutcomes);

} // namespace bamboograde::load
