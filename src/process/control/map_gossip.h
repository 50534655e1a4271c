// Holds the session rows of all daemons and disseminates changes of them by gossip.
//
// A change is pushed to the neighbours at once; each of them forwards what is new to it. Digests in
// the lease renewals detect changes that the pushes missed (anti-entropy).
#pragma once

#include "connection/timer.h"
#include "process/control/committer.h"
#include "version/session_row_store.h"

#include <memory>

namespace bamboograde::process::control {

// Version of the tombstone of a deleted row. It is above all others, because session ids are unique
// and so a deleted row is never created again.
constexpr common::row_version kDeletedVersion{ UINT64_MAX };

struct named_entry
{
  std::string name;
  version::versioned_session_row entry;
};

class map_gossip
{
public:
  map_gossip(context& aContext, committer& aCommitter);

  // Called after rows have changed, before the new map is published to the workers.
  void SetObserver(std::function<void()> aObserver) { mObserver = std::move(aObserver); }
  // The publisher sends the current map to the workers. Called after the map has been rebuilt.
  void SetPublisher(std::function<void()> aPublisher) { mPublisher = std::move(aPublisher); }
  // Sets the control addresses of the daemons that changes are pushed to.
  void SetNeighbours(std::vector<common::endpoint> aNeighbours);

  // Applies entries with newer versions and pushes them to all neighbours except aFrom.
  void Apply(const std::vector<named_entry>& aEntries, const common::endpoint& aFrom);
  // Pushes the entries to the sessions of their rows, waits for the responses or a timeout, applies
  // the entries here, and then calls aCallback. This avoids routing requests to an owner that does
  // not know of its slices yet.
  void ApplyAfterOwners(const std::vector<named_entry>& aEntries, std::function<void()> aCallback);
  const version::session_row_store& Rows() const { return mRows; }
  // The most recently published map.
  version::routing_map_ptr Map() const { return mMap; }
  const version::versioned_session_row* Find(const common::service_name& aService,
                                             const common::session_id& aSession) const;
  // Existing session rows of one service, or of all services if the name is empty.
  std::vector<version::session_row_ptr> Sessions(const common::service_name& aService) const;

  // Reads all session rows from the platform, page by page, and reports whether this succeeded.
  void LoadFromPlatform(std::function<void(bool)> aCallback);
  // Compares the digest of a peer's rows with that of this daemon's rows and, after repeated
  // mismatches, exchanges the rows that differ.
  void CompareDigest(const common::endpoint& aPeer, uint64_t aDigest);
  common::json HandlePush(const common::json& aBody);
  common::json HandleSync(const common::json& aBody);

private:
  void LoadPage(std::string aAfter, std::shared_ptr<std::vector<named_entry>> aLoaded,
                std::function<void(bool)> aCallback);
  void FinishLoad(const std::vector<named_entry>& aLoaded);
  void ConfirmDeleted(const std::string& aName);
  void Push(const std::vector<named_entry>& aEntries, const common::endpoint& aExcept);
  void SyncWith(const common::endpoint& aPeer);
  void Publish();

  context& mContext;
  committer& mCommitter;
  version::session_row_store mRows;
  version::routing_map_ptr mMap;
  std::vector<common::endpoint> mNeighbours;
  std::function<void()> mObserver;
  std::function<void()> mPublisher;
  connection::timer mPublishTimer;
  // Consecutive mismatches per peer. One mismatch does not start an exchange, since a push may be
  // in flight.
  std::map<common::endpoint, unsigned> mDigestMismatches;
};

} // namespace bamboograde::process::control
