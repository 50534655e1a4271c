#include "request/request_trace_log.h"

namespace bamboograde::request {

namespace {

common::json EncodeTrace(const request_trace& aTrace)
{
  return { { "role", aTrace.role },
           { "unix_ms", aTrace.unixMs },
           { "row", aTrace.row.Str() },
           { "table_version", aTrace.tableVersion.Value() },
           { "epoch", aTrace.epoch.Value() },
           { "session", aTrace.session.Str() },
           { "queue_position", aTrace.queuePosition },
           { "queued_us", aTrace.queuedUs },
           { "ran_us", aTrace.ranUs },
           { "attempts", aTrace.attempts },
           { "served_ahead", aTrace.servedAhead },
           { "outcome", aTrace.outcome },
           { "detail", aTrace.detail } };
}

} // namespace

request_trace_log::request_trace_log(size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void request_trace_log::Add(request_trace aTrace)
{
  mTraces.push_back(std::move(aTrace));
  if (mTraces.size() > mCapacity) {
    mTraces.pop_front();
  }
}

common::json request_trace_log::Find(const common::request_id& aId) const
{
  common::json found = common::json::array();
  for (const request_trace& trace : mTraces) {
    if (trace.id == aId) {
      found.push_back(EncodeTrace(trace));
    }
  }
  return found;
}

} // namespace bamboograde::request
