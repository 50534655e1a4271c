// Structured log on standard output: one JSON object per line, rate-limited, never blocking.
//
// Each event is rate-limited; the lines dropped by this are counted by event, and the counts are
// written at the next flush. Lines that do not fit into the output queue are dropped as well; only
// DroppedLines() counts them.
#pragma once

#include "common/clock.h"
#include "common/json.h"

#include <functional>
#include <map>
#include <string>

namespace bamboograde::process::sidecar {

enum class line_class
{
  // Decisions of every request; limited to the lowest rate.
  kRoutine,
  // Refusals, failures, retries.
  kTrouble,
  // Changes of the process's state, and its start and stop.
  kState,
};

class decision_log
{
public:
  decision_log(std::string aVm, const common::clock_source& aClock);
  // aFields returns a JSON object; called only if the line is written.
  void Write(line_class aClass, const char* aEvent, const std::function<common::json()>& aFields);
  // Writes the queue and the counts of lines dropped by the rate limit. Must be called every few
  // hundred milliseconds.
  void Flush();
  // Lines dropped since the start.
  uint64_t DroppedLines() const { return mDroppedTotal; }

private:
  struct bucket
  {
    double tokens = 0;
    common::boot_time filledAt;
    uint64_t dropped = 0;
  };

  bool TakeToken(bucket* aBucket, line_class aClass, common::boot_time aNow);
  void Append(const char* aEvent, common::json aFields);

  std::string mVm;
  const common::clock_source& mClock;
  std::map<std::string, bucket> mBuckets;
  std::string mQueue;
  uint64_t mDroppedTotal = 0;
};

} // namespace bamboograde::process::sidecar
