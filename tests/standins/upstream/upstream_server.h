// Stand-in for an upstream with slots, a cold start time to announce, load shedding, grants,
// cancellation and crashes.
//
// A response echoes the nonce and the key of its request. Query parameters of the target control
// it: work_us=N runs for N microseconds, bytes=N appends N bytes to the body. The header
// "Standin-Do: crash" ends the process.
#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/timer.h"
#include "run_log.h"

#include <list>

namespace bamboograde::standins::upstream {

struct upstream_options
{
  common::endpoint listen;
  // The daemon's upstream listener; empty: the upstream sends no announcements.
  common::endpoint daemon;
  size_t slots = 17;
  common::milliseconds cold{ 0 };
  common::microseconds work{ 0 };
  bool checksFences = true;
  std::string logPath;
};

class upstream_server
{
public:
  explicit upstream_server(upstream_options aOptions);
  common::result<void> Listen();
  // Stops announcing and tells the daemon that this upstream accepts no new requests.
  void Leave();

private:
  struct running
  {
    connection::http_exchange_ptr exchange;
    common::json entry;
    connection::timer timer;
    bool cancelled = false;
  };
  using running_iterator = std::list<running>::iterator;

  void Announce();
  void OnGrant(const connection::http_exchange_ptr& aExchange);
  void OnWork(const connection::http_exchange_ptr& aExchange);
  // Reason why the request must not run; empty if it may.
  std::string CheckFence(const connection::http_exchange_ptr& aExchange) const;
  void Finish(running_iterator aItem);
  void RespondNotRun(const connection::http_exchange_ptr& aExchange, const std::string& aReason);

  upstream_options mOptions;
  common::system_clock_source mClock;
  connection::http_server mServer;
  connection::http_client mClient;
  connection::timer mAnnounceTimer;
  run_log mLog;
  std::list<running> mRunning;
  std::string mSession;
  int64_t mGrantEndUs = 0;
  uint64_t mCompleted = 0;
};

} // namespace bamboograde::standins::upstream
