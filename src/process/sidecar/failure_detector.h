// Failure detector for daemons with pending requests: frozen, partitioned or powered off.
//
// A daemon with pending requests that has sent nothing for a while is pinged at its control
// address. Without a response, or if it accepts no connection, placement avoids it and its pending
// requests are told. It is pinged until it responds, so that no request is needed to probe it.
//
// Most silent daemons are at work, behind a full link or short of processor time, so silence ends
// no request.
#pragma once

#include "process/sidecar/local_health.h"
#include "process/sidecar/peer_messenger.h"
#include "request/placement.h"

#include <set>

namespace bamboograde::process::sidecar {

constexpr char kPingPath[] = "/control/ping";

// Waits for a response of a peer.
class failure_observer
{
public:
  virtual ~failure_observer() = default;
  // The peer accepts no connection or has not responded to a ping, which makes that many failed
  // checks since it was last heard. Repeated at each failed ping.
  virtual void OnPeerSilent(unsigned aFailedChecks) = 0;
};

class failure_detector
{
public:
  failure_detector(runtime& aRuntime, peer_messenger& aMessenger, request::placement& aPlacement);
  void OnSent(const version::member& aPeer, failure_observer* aClient);
  // Data has arrived from the daemon.
  void OnHeard(const std::string& aVm);
  void OnEnded(const std::string& aVm, failure_observer* aClient);
  // The daemon accepts no connection; it is avoided until it responds to a ping.
  void OnUnreachable(const version::member& aPeer);
  bool IsSilent(const std::string& aVm) const;
  // Time since the head of a response or the response to a ping last arrived from the daemon, or
  // since the first pending request was sent; 0 if nothing is known of it.
  common::microseconds SilentFor(const std::string& aVm) const;
  // Must be called every few tens of milliseconds.
  void Tick();

private:
  struct peer_state
  {
    common::endpoint control;
    std::set<failure_observer*> clients;
    // When data last arrived, or when the first pending request was sent.
    common::boot_time heardAt;
    common::boot_time nextPingAt;
    bool pingInFlight = false;
    bool silent = false;
    // Since it was last heard.
    unsigned failedChecks = 0;
  };

  void Ping(const std::string& aVm, peer_state& aPeer);
  void OnSilence(const std::string& aVm);

  runtime& mRuntime;
  peer_messenger& mMessenger;
  request::placement& mPlacement;
  std::map<std::string, peer_state> mPeers;
  local_health mHealth;
};

} // namespace bamboograde::process::sidecar
