// Broadcasts changes of members and key maps to the other daemons.
//
// The daemon that makes a change sends it to a few daemons of every zone. A daemon that receives it
// for the first time relays it to a few daemons of its own zone. A change reaches nearly all
// daemons within a few network hops, at a cost per daemon that does not grow with the fleet. Gossip
// delivers it to the rest.
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
  // Broadcasts a new member record of this daemon.
  void BroadcastMember(const version::member& aMember);
  // Broadcasts a committed change of a key map. aBefore: null if there was no map.
  void BroadcastKeyMap(const version::key_map* aBefore, const version::key_map& aAfter);
  // Handles an update from a peer; returns the response.
  common::json OnUpdate(const common::json& aBody);
  // The observer is called with the control address of a peer whose delta does not apply, because
  // this daemon lacks an earlier version of the map.
  void SetGapObserver(std::function<void(const common::endpoint&)> aObserver)
  {
    mOnGap = std::move(aObserver);
  }

private:
  using vm_set = std::set<std::string>;

  bool ApplyDelta(const common::json& aBody, const common::endpoint& aFrom);
  // Sends to all daemons in aRequired and to a few more of each zone.
  void SendToAllZones(const common::json& aBody, const vm_set& aRequired);
  void RelayInOwnZone(const common::json& aBody, const common::endpoint& aFrom);
  void Send(const version::member& aPeer, const common::json& aBody);
  // Running peers by zone, each zone in random order.
  std::map<common::zone_name, std::vector<const version::member*>> PeersByZone();

  runtime& mRuntime;
  peer_messenger& mMessenger;
  std::function<void(const common::endpoint&)> mOnGap;
};

} // namespace bamboograde::process::sidecar
