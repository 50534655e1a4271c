// Spreads members, configuration, key maps and crash suspects between daemons.
//
// Each daemon tells a random other one, a few times a second, which versions it knows; the answer
// holds what is newer there. A daemon that hears of something newer asks for it at once. A daemon
// that is cut off from the platform follows its peers in this way. Messages per second do not grow
// with the fleet.
#pragma once

#include "process/sidecar/peer_messenger.h"
#include "request/suspect_list.h"

namespace bamboograde::process::sidecar {

class gossip
{
public:
  gossip(runtime& aRuntime, peer_messenger& aMessenger, request::suspect_list& aSuspects);
  void Start();
  // Tells some daemons at once that something has changed here.
  void Announce();
  void AnnounceTo(const common::endpoint& aControl) { Exchange(aControl); }
  // The answer to another daemon's message.
  common::json OnExchange(const common::json& aBody);
  // Called when a peer knows a newer row than the platform's feed has told.
  void SetLagObserver(std::function<void()> aObserver) { mOnLag = std::move(aObserver); }

private:
  void Tick();
  void Exchange(const common::endpoint& aControl);
  void OnAnswer(const common::json& aAnswer);
  common::json Versions() const;
  std::optional<common::endpoint> RandomPeer();
  bool TheyKnowMore(const common::json& aVersions) const;

  runtime& mRuntime;
  peer_messenger& mMessenger;
  request::suspect_list& mSuspects;
  connection::http::loop_timer mTimer;
  std::function<void()> mOnLag;
};

} // namespace bamboograde::process::sidecar
