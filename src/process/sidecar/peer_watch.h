// Notices daemons that have fallen silent while they owe answers: frozen, cut off or without power.
//
// A daemon that owes an answer and has sent nothing for a while, or accepts no connection, is asked
// for a sign of life on its control address. Without one it is avoided, and requests that may run
// again are sent elsewhere; it is asked again until it answers, so that no request has to try.
#pragma once

#include "process/sidecar/local_health.h"
#include "process/sidecar/peer_messenger.h"
#include "request/placement.h"

#include <set>

namespace bamboograde::process::sidecar {

constexpr char kPingPath[] = "/control/ping";

// Waits for an answer of a daemon.
class peer_client
{
public:
  virtual ~peer_client() = default;
  // The daemon is silent; an answer is not likely.
  virtual void OnPeerSilent() = 0;
};

class peer_watch
{
public:
  peer_watch(runtime& aRuntime, peer_messenger& aMessenger, request::placement& aPlacement);
  void OnSent(const version::member& aPeer, peer_client* aClient);
  // Anything has arrived from the daemon.
  void OnHeard(const std::string& aVm);
  void OnEnded(const std::string& aVm, peer_client* aClient);
  // The daemon accepts no connection: it is avoided until it shows a sign of life.
  void OnUnreachable(const version::member& aPeer);
  // Call every few dozen milliseconds.
  void Tick();

private:
  struct peer_state
  {
    common::endpoint control;
    std::set<peer_client*> clients;
    // When it was last heard of, or first owed an answer.
    common::boot_time heardAt;
    common::boot_time askAt;
    bool asking = false;
    bool silent = false;
  };

  void Ask(const std::string& aVm, peer_state& aPeer);
  void OnSilence(const std::string& aVm);

  runtime& mRuntime;
  peer_messenger& mMessenger;
  request::placement& mPlacement;
  std::map<std::string, peer_state> mPeers;
  local_health mHealth;
};

} // namespace bamboograde::process::sidecar
