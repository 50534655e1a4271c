// Commits transactions to the platform and resolves unknown outcomes, as after a lost response.
#pragma once

#include "connection/timer.h"
#include "process/control/context.h"

#include <list>

namespace bamboograde::process::control {

class committer
{
public:
  explicit committer(context& aContext);

  // Commits under a new operation id. An unknown outcome is resolved by retrying with the same id,
  // to which the platform responds with the recorded outcome if it has one; the callback never
  // receives kUnknown.
  void Commit(connection::transaction aTransaction,
              std::function<void(connection::commit_result)> aCallback);
  // Whether the platform responded to the last call.
  bool Reachable() const { return mReachable; }
  void NoteReachable(bool aReachable) { mReachable = aReachable; }

private:
  struct pending
  {
    connection::transaction transaction;
    std::function<void(connection::commit_result)> callback;
    connection::timer retry;
    common::milliseconds delay{ 100 };
  };
  using position = std::list<pending>::iterator;
  void Send(position aItem);

  context& mContext;
  std::list<pending> mPending;
  bool mReachable = true;
};

// Makes the audit row that records a change. The transaction that commits the change writes it.
connection::row_write MakeAuditRow(const context& aContext, common::json aEntry);

} // namespace bamboograde::process::control
