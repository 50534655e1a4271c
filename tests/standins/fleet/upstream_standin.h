// A stand-in for an upstream: announces itself to its daemon, holds keys as it is told, and runs
// requests.
//
// It checks what an upstream can see of the promises: requests only within its slots, only for keys
// that it holds, and no request of a non-idempotent route twice.
#pragma once

#include "connection/http/fetch.h"
#include "connection/http/server_connection.h"
#include "version/key_map.h"

#include <set>

namespace bamboograde::tests {

struct upstream_standin_plan
{
  std::string vm;
  std::string service;
  common::endpoint address;
  // Where the daemon hears announcements.
  common::endpoint daemon;
  unsigned slots = 4;
  common::milliseconds work{ 20 };
  common::milliseconds announcePeriod{ 100 };
};

// What all upstreams of a test have seen.
struct fleet_record
{
  // Request ids that ran, with how often.
  std::map<std::string, unsigned> runs;
  // Keys that two upstreams held at the same moment.
  unsigned sharedKeys = 0;
  // Bytes of the bodies that arrived, by request id.
  std::map<std::string, size_t> bodyBytes;
  unsigned misdirected = 0;
  unsigned beyondSlots = 0;
};

class upstream_standin : public connection::http::exchange_handler
{
public:
  upstream_standin(connection::http::event_loop& aLoop, upstream_standin_plan aPlan,
                   fleet_record& aRecord);
  common::result<void> Start();
  // Stops listening and announcing, as a crash does. Start() begins a new life.
  void Crash();
  void Leave() { mLeaving = true; }
  // Breaks off the answers of the next requests after running them.
  void LoseAnswers(unsigned aCount) { mLostAnswers = aCount; }
  // How long requests run from now on.
  void SetWork(common::milliseconds aWork) { mPlan.work = aWork; }
  // Answers the next requests with 500.
  void FailRequests(unsigned aCount) { mFailures = aCount; }
  bool Holds(uint32_t aKey) const;
  size_t HeldKeys() const;
  const std::string& Vm() const { return mPlan.vm; }

  connection::http::caller_limits Limits() const override { return {}; }
  void OnRequest(const connection::http::server_exchange_ptr& aExchange) override;

private:
  void Announce();
  void OnAcknowledged(const connection::http::fetch_result& aResult, common::boot_time aSentAt);
  void Run(const connection::http::server_exchange_ptr& aExchange, const std::string& aId);
  void Finish(const connection::http::server_exchange_ptr& aExchange, const std::string& aId);

  connection::http::event_loop& mLoop;
  upstream_standin_plan mPlan;
  fleet_record& mRecord;
  std::unique_ptr<connection::http::tcp_listener> mListener;
  connection::http::client_pool mPool;
  connection::http::loop_timer mTimer;
  std::vector<std::unique_ptr<connection::http::loop_timer>> mWork;
  std::vector<version::held_range> mHolds;
  common::boot_time mHoldUntil;
  common::json mReleased = common::json::array();
  unsigned mRunning = 0;
  unsigned mLostAnswers = 0;
  unsigned mFailures = 0;
  uint64_t mSequence = 0;
  uint64_t mLife = 0;
  bool mLeaving = false;
};

} // namespace bamboograde::tests
