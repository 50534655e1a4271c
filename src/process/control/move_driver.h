// Hands slices over to other sessions while their former owner is still running.
//
// The former owner stops admitting requests of the slices, waits until those in flight have
// finished, sends the ledger's records of the slices, by which retries are recognized, to the new
// owner, and only then commits the new ownership. A slice never has two owners that serve it.
#pragma once

#include "process/control/session_manager.h"
#include "process/control/successors.h"
#include "process/lease/takeover.h"

#include <optional>

namespace bamboograde::process::control {

class move_driver
{
public:
  move_driver(context& aContext, committer& aCommitter, map_gossip& aMap,
              session_manager& aSessions);

  // Moves the slices to the target session and reports whether the move was committed. Returns
  // false, without calling back, if aSlices is empty or another move is in progress.
  bool Move(std::vector<version::owned_slice> aSlices, const version::session_row_ptr& aTarget,
            const std::string& aCause, std::function<void(bool)> aCallback);
  // Moves all slices to other sessions and deletes the session's row. If there is no successor, the
  // row stays, marked as released, and a daemon of the service takes its slices over later.
  // aEarliestCommit: no move is committed before this time.
  void MoveAllAndRelease(const std::string& aCause, common::boot_time aEarliestCommit,
                         std::function<void()> aCallback);
  void OnDrained(const slices_drained& aDrained);
  bool Busy() const { return mCurrent.has_value(); }
  // Handles the hand-off request of a former owner to this daemon, the new owner.
  common::json HandlePrepare(const common::json& aBody);

private:
  struct move
  {
    std::vector<version::owned_slice> slices;
    version::session_row_ptr target;
    std::string cause;
    std::function<void(bool)> callback;
  };

  void PrepareTarget(const slices_drained& aDrained);
  void CommitMove(const successor& aTarget);
  void Finish(bool aMoved);
  void MoveNextBatch(const std::string& aCause, std::function<void()> aCallback);
  void Release(const std::string& aCause, std::function<void()> aCallback);

  context& mContext;
  committer& mCommitter;
  map_gossip& mMap;
  session_manager& mSessions;
  std::optional<move> mCurrent;
  common::boot_time mEarliestCommit;
  connection::timer mDelayTimer;
  unsigned mBatchesLeft = 0;
};

} // namespace bamboograde::process::control
