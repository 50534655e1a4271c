// Finds and closes differences between what daemons know: members, configuration, key maps and
// crash suspects.
//
// Each daemon compares a hash of what it knows with a random other one, a few times a second; only
// where the hashes differ are versions compared, and what either side lacks is sent. A daemon that
// is cut off from the platform follows its peers in this way. Messages per second do not grow with
// the fleet, and their size only with what differs.
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
  // Compares with one daemon now; at most one comparison with it is under way.
  void Compare(const common::endpoint& aControl);
  // Answers to other daemons' messages.
  common::json OnCompare(const common::json& aBody);
  common::json OnExchange(const common::json& aBody);
  // The platform's feed has told a configuration.
  void OnConfigFed() { mFedAt = mRuntime.Now(); }
  // Called when a peer has told a configuration and the feed does not tell it soon after.
  void SetLagObserver(std::function<void()> aObserver) { mOnLag = std::move(aObserver); }
  // When a peer last answered.
  common::boot_time HeardAt() const { return mHeardAt; }

private:
  // A configuration that a peer has and this daemon lacks.
  struct config_lag
  {
    uint64_t version = 0;
    common::endpoint source;
    common::boot_time since;
    bool fetching = false;
  };

  void Tick();
  void Exchange(const common::endpoint& aControl, const common::json& aTheirVersions);
  void Apply(const common::json& aNews);
  void NoteConfig(const common::json& aBody);
  void CloseConfigLag();
  void CheckFeed();
  uint64_t ConfigVersion() const;
  common::json Versions() const;
  uint64_t Digest() const;
  // What this daemon knows newer than aVersions says; empty arrays when nothing.
  common::json NewerThan(const common::json& aVersions) const;
  std::optional<common::endpoint> RandomPeer();

  runtime& mRuntime;
  peer_messenger& mMessenger;
  request::suspect_list& mSuspects;
  connection::http::loop_timer mTimer;
  std::function<void()> mOnLag;
  std::set<common::endpoint> mComparing;
  config_lag mConfigLag;
  common::boot_time mFedAt;
  // When a peer told a configuration before the feed; empty once that is settled.
  std::optional<common::boot_time> mToldByPeerAt;
  common::boot_time mHeardAt;
};

} // namespace bamboograde::process::sidecar
