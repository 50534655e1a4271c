// Keeps the operator's configuration current, from the platform's feed and from peers.
//
// The feed normally delivers a change within milliseconds. A version that a peer has first is
// fetched from that peer, and the feed is asked for it again.
//
// A feed without changes looks like an interrupted one, so each daemon's poll ends after a time
// that grows with the fleet: all daemons together poll at a constant rate, and the first one that
// finds a change passes it on. In small fleets each daemon finds it by itself.
#pragma once

#include "connection/row_feed.h"
#include "process/sidecar/peer_messenger.h"

namespace bamboograde::process::sidecar {

class config_sync : private connection::row_feed_observer
{
public:
  config_sync(runtime& aRuntime, peer_messenger& aMessenger, connection::row_feed& aFeed);
  void Start() { mFeed.Start(this); }
  // A peer's message names the version of its configuration.
  void OnPeerVersion(uint64_t aVersion, const common::endpoint& aPeer);
  // Handler of a peer's request for the configuration; returns the response.
  common::json OnRequest() const;
  // Must be called every few hundred milliseconds.
  void Tick();
  // Version of this daemon's configuration; 0 without one.
  uint64_t Version() const;
  // Time since the feed's last response.
  common::milliseconds FeedAge() const;

private:
  // A newer configuration of a peer that this daemon lacks.
  struct config_lag
  {
    uint64_t version = 0;
    // The last peer that had a newer version.
    common::endpoint source;
    common::boot_time fetchAt;
  };

  void OnRow(const connection::platform_row& aRow) override;
  void OnFeedResponse() override;
  void FetchMissing();
  void OnFetched(const common::endpoint& aPeer, const common::result<common::json>& aResponse,
                 common::boot_time aSentAt);
  void Apply(const common::json& aValue, const std::string& aSource);

  runtime& mRuntime;
  peer_messenger& mMessenger;
  connection::row_feed& mFeed;
  config_lag mLag;
  common::boot_time mFeedResponseAt;
};

} // namespace bamboograde::process::sidecar
