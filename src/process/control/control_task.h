// The control task: runs leases, routing map, table, takeovers, moves and the operator interface on
// a thread of its own, apart from request processing.
#pragma once

#include "connection/http_platform_store.h"
#include "process/control/limit_broker.h"
#include "process/control/move_driver.h"
#include "process/control/operator_api.h"
#include "process/control/takeover_driver.h"
#include "process/task.h"

#include <memory>

namespace bamboograde::process::control {

class control_task
{
public:
  control_task(const settings& aSettings, const common::clock_source& aClock, mailboxes& aMailboxes,
               counters& aCounters);
  // aOnStopped runs on the control task's thread when a graceful shutdown has finished.
  common::result<void> Start(std::function<void()> aOnStopped);
  void Stop() { mTask.Stop(); }

private:
  // Objects that are created, used and destroyed on the task's thread, in order of construction.
  struct components
  {
    components(control_task& aOwner);
    connection::http_platform_store platform;
    connection::peer_client peers;
    context shared;
    committer commits;
    map_gossip map;
    table_manager table;
    session_manager sessions;
    takeover_driver takeovers;
    move_driver moves;
    limit_broker limits;
    upstream_manager upstream;
    operator_api operators;
    connection::http_server controlServer;
    connection::http_server upstreamServer;
    connection::timer tick;
    connection::timer delayTimer;
  };
  using json_handler = std::function<common::json(const common::json&)>;

  common::result<void> SetUp();
  void TearDown();
  void RoutePeers();
  void RoutePeer(const char* aPath, json_handler aHandler);
  void RouteUpstream();
  void ConnectObservers();
  void LoadFromPlatform();

  void OnTick();
  void RefreshNeighbours();
  void PublishRouting();
  void Rebalance();
  void OnMessage(control_message&& aMessage);
  void Handle(slices_drained&& aMessage);
  void Handle(upstream_lost&& aMessage);
  void Handle(limit_demand&& aMessage);
  void Handle(trace_reply&& aMessage);
  void Handle(worker_idle&& aMessage);
  void Handle(stop_requested&& aMessage);
  void OnUpstreamLeave();
  void Leave(const std::string& aCause, common::boot_time aEarliestCommit,
             std::function<void()> aCallback);
  void DrainWorkers();

  const settings& mSettings;
  const common::clock_source& mClock;
  mailboxes& mMailboxes;
  counters& mCounters;
  task mTask;
  common::seeded_random mRandom;
  std::unique_ptr<components> mComponents;
  std::function<void()> mOnStopped;
  common::boot_time mNextRefresh;
  common::boot_time mNextReload;
  bool mLoaded = false;
  bool mLeaving = false;
  bool mStopping = false;
  size_t mBusyWorkers = 0;
};

} // namespace bamboograde::process::control
