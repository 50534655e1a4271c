// Bounded log of the traces of recent requests, which "explain" shows to operators.
#pragma once

#include "common/json.h"

#include <deque>
#include <unordered_map>

namespace bamboograde::request {

// Trace of a request on one daemon.
struct request_trace
{
  common::request_id id;
  // "entry" or "owner".
  const char* role = "owner";
  int64_t unixMs = 0;
  common::row_id row;
  common::table_version tableVersion;
  common::slice_epoch epoch;
  common::session_id session;
  size_t queuePosition = 0;
  int64_t queuedUs = 0;
  int64_t ranUs = 0;
  unsigned attempts = 0;
  // Number of requests of each row that were dispatched while this one was queued.
  common::json servedAhead;
  // "ran", a refusal's name, or empty while in progress.
  std::string outcome;
  std::string detail;
};

class request_trace_log
{
public:
  explicit request_trace_log(size_t aCapacity);
  void Add(request_trace aTrace);
  // All traces of the request on this daemon, oldest first.
  common::json Find(const common::request_id& aId) const;

private:
  size_t mCapacity;
  // Oldest first.
  std::deque<request_trace> mTraces;
};

} // namespace bamboograde::request
