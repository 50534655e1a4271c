// Keeps the operator's configuration and requests for evacuations current, from the platform's feed
// and from peers.
//
// The feed normally delivers a change within milliseconds. A version that a peer has first is
// fetched from that peer, and the feed is asked for it again.
//
// A feed without changes looks like an interrupted one. What shows that the configuration is
// current is decided by config_freshness. In a large fleet only some daemons follow the feed, and
// the others learn of changes from them.
#pragma once

#include "connection/row_feed.h"
#include "process/sidecar/config_freshness.h"
#include "process/sidecar/evacuation_sync.h"
#include "process/sidecar/peer_messenger.h"

namespace bamboograde::process::sidecar {

class config_sync : private connection::row_feed_observer
{
public:
  config_sync(runtime& aRuntime, peer_messenger& aMessenger, connection::row_feed& aFeed);
  void Start() { mFeed.Start(this); }
  // The state of this daemon's configuration, for a peer.
  void AddState(common::json* aMessage) const;
  // A peer's message names the state of its configuration.
  void OnPeerState(const common::json& aMessage);
  // Handler of a peer's request for the configuration; returns the response.
  common::json OnRequest() const;
  // Must be called every few hundred milliseconds.
  void Tick();
  // Version of this daemon's configuration; 0 without one.
  uint64_t Version() const;
  // Time since the feed's last response.
  common::milliseconds FeedAge() const;
  // The latest time at which the configuration and the evacuations are known to have been the
  // newest ones; the clock's origin if they never were.
  common::boot_time ProvenAt() const { return mFreshness.ProvenAt().value_or(common::boot_time()); }

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
  void OnFeedSynchronized(const std::set<std::string>& aRows,
                          common::row_version aVersion) override;
  void OnFeedResponse(const connection::feed_response& aResponse) override;
  // aList: the evacuations in a message of a peer.
  void OnPeerEvacuations(const common::json& aList);
  void OnPeerVersion(uint64_t aVersion, const common::endpoint& aPeer);
  // Asks the platform if there is no recent proof.
  void QueryIfUnproven();
  bool FollowsFeed() const;
  void FetchMissing();
  void OnFetched(const common::endpoint& aPeer, const common::result<common::json>& aResponse,
                 common::boot_time aSentAt);
  void Apply(const common::json& aValue, const std::string& aSource);

  runtime& mRuntime;
  peer_messenger& mMessenger;
  connection::row_feed& mFeed;
  config_lag mLag;
  common::boot_time mFeedResponseAt;
  config_freshness mFreshness;
  connection::http::loop_timer mQueryTimer;
  evacuation_sync mEvacuations;
};

} // namespace bamboograde::process::sidecar
