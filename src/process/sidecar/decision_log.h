// Structured log lines on standard output: one JSON object a line, bounded in volume, never
// blocking.
//
// A kind of line that comes too often is left out and counted; the count is written once a second.
// Output that nobody reads is dropped and counted as well.
#pragma once

#include "common/clock.h"
#include "common/json.h"

#include <functional>
#include <map>
#include <string>

namespace bamboograde::process::sidecar {

enum class line_class
{
  // Decisions of every request; the first to be left out.
  kRoutine,
  // Refusals, failures, retries.
  kTrouble,
  // Changes of what the process believes, and its start and stop.
  kState,
};

class decision_log
{
public:
  decision_log(std::string aVm, const common::clock_source& aClock);
  // aFields is called only when the line is written; it returns an object.
  void Write(line_class aClass, const char* aEvent, const std::function<common::json()>& aFields);
  // Writes what is queued and the counts of lines left out. Call every few hundred milliseconds.
  void Flush();
  // Lines that were left out since the start.
  uint64_t LeftOut() const { return mLeftOutTotal; }

private:
  struct bucket
  {
    double tokens = 0;
    common::boot_time filledAt;
    uint64_t leftOut = 0;
  };

  bool Take(bucket* aBucket, line_class aClass, common::boot_time aNow);
  void Append(const char* aEvent, common::json aFields);

  std::string mVm;
  const common::clock_source& mClock;
  std::map<std::string, bucket> mBuckets;
  std::string mQueue;
  uint64_t mLeftOutTotal = 0;
};

} // namespace bamboograde::process::sidecar
