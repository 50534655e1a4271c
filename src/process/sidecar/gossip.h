// Anti-entropy between daemons: members, configuration, key maps and crash suspects.
//
// A few times a second each daemon sends a random peer a digest of its members and key maps, its
// configuration version and its crash suspects. Only if the digests differ, the daemons exchange
// the versions of all members and key maps, and each sends the other what it lacks. A daemon
// without access to the platform stays current in this way. The message rate per daemon does not
// grow with the fleet, but the size of the version lists does.
#pragma once

#include "process/sidecar/peer_messenger.h"
#include "request/suspect_list.h"

#include <set>

namespace bamboograde::process::sidecar {

class gossip
{
public:
  gossip(runtime& aRuntime, peer_messenger& aMessenger, request::suspect_list& aSuspects);
  void Start();
  // Compares with one daemon now; at most one comparison per daemon is pending.
  void Compare(const common::endpoint& aControl);
  // Handlers of control messages from peers; they return the response.
  common::json OnCompare(const common::json& aBody);
  common::json OnExchange(const common::json& aBody);
  // The platform's row feed has delivered a configuration.
  void OnConfigFromFeed() { mConfigFromFeedAt = mRuntime.Now(); }
  // The observer is called when the feed does not soon deliver a configuration that a peer had.
  void SetFeedLagObserver(std::function<void()> aObserver) { mOnFeedLag = std::move(aObserver); }
  // When a peer last responded.
  common::boot_time HeardAt() const { return mHeardAt; }

private:
  // A newer configuration of a peer that this daemon lacks.
  struct config_lag
  {
    uint64_t version = 0;
    common::endpoint source;
    common::boot_time since;
    bool fetching = false;
  };

  void Tick();
  void Exchange(const common::endpoint& aControl, const common::json& aTheirVersions);
  void Apply(const common::json& aChanges);
  void OnPeerState(const common::json& aBody);
  void FetchMissingConfig();
  void CheckFeed();
  uint64_t ConfigVersion() const;
  common::json Versions() const;
  uint64_t Digest() const;
  // Members and key maps that are newer here than in aVersions; empty arrays if none are.
  common::json ChangesSince(const common::json& aVersions) const;
  std::optional<common::endpoint> RandomPeer();

  runtime& mRuntime;
  peer_messenger& mMessenger;
  request::suspect_list& mSuspects;
  connection::http::loop_timer mTimer;
  std::function<void()> mOnFeedLag;
  std::set<common::endpoint> mComparing;
  config_lag mConfigLag;
  common::boot_time mConfigFromFeedAt;
  // When a configuration came from a peer before the feed; reset after the feed was checked.
  std::optional<common::boot_time> mConfigFromPeerAt;
  common::boot_time mHeardAt;
};

} // namespace bamboograde::process::sidecar
