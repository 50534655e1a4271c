// Assigns the slices of lost sessions to new owners.
//
// A witness whose last renewal of a session has expired reads the session's row, collects promises
// from a majority of the session's witnesses, and commits the new owners on condition that the row
// is unchanged. Several witnesses may attempt this at once; only one of the commits succeeds.
#pragma once

#include "process/control/session_manager.h"
#include "process/control/successors.h"
#include "process/lease/takeover.h"

#include <set>

namespace bamboograde::process::control {

class takeover_driver
{
public:
  takeover_driver(context& aContext, committer& aCommitter, map_gossip& aMap,
                  session_manager& aSessions);
  // Must be called every few dozen milliseconds.
  void Tick();

private:
  // State of one takeover attempt, shared by its callbacks.
  struct takeover_attempt
  {
    std::string name;
    lease::takeover promises;
    size_t open = 0;
    bool successorsKnown = false;
    std::vector<successor> successors;
    bool committed = false;
  };
  using attempt_ptr = std::shared_ptr<takeover_attempt>;

  void StartAttempt(const common::session_id& aSession, const std::string& aName);
  // Starts attempts for sessions whose expiry this witness has not recorded: those whose rows name
  // an earlier start of this daemon as a witness, and released ones, which have no witnesses.
  void CheckOrphans();
  // Whether this daemon is one of the row's witnesses, under whatever boot id.
  bool NamesThisDaemon(const version::session_row& aRow) const;
  void OnRow(const common::session_id& aSession, const connection::platform_row& aRow);
  void ProbeHolder(const attempt_ptr& aAttempt);
  void CollectPromises(const attempt_ptr& aAttempt);
  void OnPromise(const attempt_ptr& aAttempt, const version::witness_ref& aWitness, bool aPromised);
  void CommitIfReady(const attempt_ptr& aAttempt);
  void Commit(const attempt_ptr& aAttempt);
  void Finish(const attempt_ptr& aAttempt, const char* aOutcome);

  context& mContext;
  committer& mCommitter;
  map_gossip& mMap;
  session_manager& mSessions;
  // Time of the next attempt for each expired session.
  std::map<common::session_id, common::boot_time> mNextAttempt;
  common::boot_time mNextOrphanCheck;
};

} // namespace bamboograde::process::control
