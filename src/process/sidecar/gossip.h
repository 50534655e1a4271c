// Anti-entropy between daemons: members, configuration, key maps and crash suspects.
//
// A few times a second each daemon sends a random peer a digest of its members and key maps, its
// configuration version and its crash suspects. Only if the digests differ, the daemons exchange
// the versions of all members and key maps, and each sends the other what it lacks. A daemon
// without access to the platform stays current in this way. The message rate per daemon does not
// grow with the fleet, but the size of the version lists does.
#pragma once

#include "process/sidecar/config_sync.h"
#include "request/suspect_list.h"

#include <set>

namespace bamboograde::process::sidecar {

// Adds a report to the responses of comparisons.
class compare_observer
{
public:
  virtual ~compare_observer() = default;
  // This daemon's report for a peer.
  virtual common::json Report() const = 0;
  // The report in a peer's response to a comparison that was sent at aSentAt.
  virtual void OnReport(const common::endpoint& aControl, const common::json& aReport,
                        common::boot_time aSentAt) = 0;
  virtual void OnNoReport(const common::endpoint& aControl) = 0;
};

class gossip
{
public:
  gossip(runtime& aRuntime, peer_messenger& aMessenger, config_sync& aConfig,
         request::suspect_list& aSuspects);
  void Start();
  void SetCompareObserver(compare_observer* aObserver) { mObserver = aObserver; }
  // Compares with one daemon now; at most one comparison per daemon is pending.
  void Compare(const common::endpoint& aControl);
  // Handlers of control messages from peers; they return the response.
  common::json OnCompare(const common::json& aBody);
  common::json OnExchange(const common::json& aBody);
  // When a peer last responded.
  common::boot_time HeardAt() const { return mHeardAt; }

private:
  void Tick();
  void Exchange(const common::endpoint& aControl, const common::json& aTheirVersions);
  void Apply(const common::json& aChanges);
  void OnPeerState(const common::json& aBody);
  common::json Versions() const;
  uint64_t Digest() const;
  // Members and key maps that are newer here than in aVersions, empty arrays if none are, and the
  // era of the platform in which they were read, above 0.
  common::json ChangesSince(const common::json& aVersions) const;
  std::optional<common::endpoint> RandomPeer();

  runtime& mRuntime;
  peer_messenger& mMessenger;
  config_sync& mConfig;
  request::suspect_list& mSuspects;
  connection::http::loop_timer mTimer;
  compare_observer* mObserver = nullptr;
  std::set<common::endpoint> mComparing;
  common::boot_time mHeardAt;
};

} // namespace bamboograde::process::sidecar
