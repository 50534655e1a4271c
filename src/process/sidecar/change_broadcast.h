// Pushes changes of members and key maps to other daemons as they happen.
//
// The daemon that makes a change sends it to a few daemons of every zone; a daemon to which it is
// new passes it on to a few of its own zone. A change reaches nearly all within a few ways through
// the network, at a cost per daemon that does not grow with the fleet; gossip finds whoever was
// missed.
#pragma once

#include "process/sidecar/peer_messenger.h"
#include "version/key_map_delta.h"

#include <set>

namespace bamboograde::process::sidecar {

constexpr char kUpdatePath[] = "/control/update";

class change_broadcast
{
public:
  change_broadcast(runtime& aRuntime, peer_messenger& aMessenger);
  // A new record of this daemon.
  void SpreadMember(const version::member& aMember);
  // A change that this daemon has committed. aBefore: null when there was no map.
  void SpreadKeyMap(const version::key_map* aBefore, const version::key_map& aAfter);
  // The answer to another daemon's message.
  common::json OnUpdate(const common::json& aBody);
  // Called with the control address of a daemon that knows a map of which this one lacks more than
  // was sent.
  void SetGapObserver(std::function<void(const common::endpoint&)> aObserver)
  {
    mOnGap = std::move(aObserver);
  }

private:
  using vm_set = std::set<std::string>;

  bool ApplyDelta(const common::json& aBody, const common::endpoint& aFrom);
  // Sends to daemons that must know, and to some of each zone.
  void SendEverywhere(const common::json& aBody, const vm_set& aFirst);
  void PassOn(const common::json& aBody, const common::endpoint& aFrom);
  void Send(const version::member& aPeer, const common::json& aBody);
  // Members other than this one that run, by zone, each zone in random order.
  std::map<common::zone_name, std::vector<const version::member*>> PeersByZone();

  runtime& mRuntime;
  peer_messenger& mMessenger;
  std::function<void(const common::endpoint&)> mOnGap;
};

} // namespace bamboograde::process::sidecar
