// The task that runs the gate: it translates messages into decisions and decisions into messages.
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
  void Handle(mint_ticket&& aMessage);
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
  void Handle(query&& aMessage);

  void OnTick();
  // aChanged: the demand has just changed, so that even none is worth telling.
  void ReportDemand(bool aChanged);
  void SendEvents();
  void SendEvent(request::gate_event&& aEvent);
  void SendToOwnerOf(request::request_token aToken, worker_message aMessage);
  void SendDrained();
  void Probe();
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
  unsigned mTicks = 0;
  common::endpoint mUpstream;
  // Moves that wait for requests in flight.
  std::vector<begin_move> mDraining;
};

// Workers number their requests so that the gate knows whom to answer.
constexpr unsigned kWorkerBits = 8;
inline size_t WorkerOf(request::request_token aToken)
{
  return aToken.Value() & ((1U << kWorkerBits) - 1);
}

} // namespace bamboograde::process
