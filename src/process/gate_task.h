// The task that runs the gate: it passes messages on to request::gate and sends the gate's events
// to the tasks that they concern.
#pragma once

#include "common/random.h"
#include "connection/http_client.h"
#include "connection/timer.h"
#include "process/counters.h"
#include "process/messages.h"
#include "process/settings.h"
#include "process/task.h"

#include <memory>

namespace bamboograde::process {

class gate_task
{
public:
  gate_task(const settings& aSettings, const common::clock_source& aClock, mailboxes& aMailboxes,
            counters& aCounters);
  void Start();
  void Stop() { mTask.Stop(); }

private:
  void SetUp();
  void TearDown();
  void OnMessage(gate_message&& aMessage);
  void Handle(submit_request&& aMessage);
  void Handle(cancel_request&& aMessage);
  void Handle(finish_request&& aMessage);
  void Handle(issue_ticket&& aMessage);
  void Handle(resolve_attempt&& aMessage);
  void Handle(set_ownership&& aMessage);
  void Handle(set_lease&& aMessage);
  void Handle(set_table&& aMessage);
  void Handle(begin_move&& aMessage);
  void Handle(end_move&& aMessage);
  void Handle(import_records&& aMessage);
  void Handle(import_suspects&& aMessage);
  void Handle(open_upstream&& aMessage);
  void Handle(close_upstream&& aMessage);
  void Handle(set_limit_share&& aMessage);
  void Handle(trace_query&& aMessage);

  void OnTick();
  // Reports the demand on limited rows to the control task. aChanged: the demand has just changed,
  // so that the report is sent even if there is no demand.
  void ReportDemand(bool aChanged);
  void SendEvents();
  void SendEvent(request::gate_event&& aEvent);
  void SendToWorkerOf(request::request_token aToken, worker_message aMessage);
  void ReportDrainedSlices();
  void SendProbe();
  void OnProbeResult(const connection::http_result& aResult);
  void PublishCounters();

  const settings& mSettings;
  const common::clock_source& mClock;
  mailboxes& mMailboxes;
  counters& mCounters;
  task mTask;
  request::gate mGate;
  common::seeded_random mRandom;
  std::unique_ptr<connection::http_client> mProbeClient;
  connection::timer mTick;
  unsigned mTickCount = 0;
  common::endpoint mUpstream;
  // Moves that wait until no request of their slices is in flight.
  std::vector<begin_move> mDrainingMoves;
};

// The lowest bits of a request token are the index of the worker that issued it, so that the gate
// can send its reply to that worker.
constexpr unsigned kWorkerBits = 8;
inline size_t WorkerOf(request::request_token aToken)
{
  return aToken.Value() & ((1U << kWorkerBits) - 1);
}

} // namespace bamboograde::process
