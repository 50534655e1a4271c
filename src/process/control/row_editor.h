// Edits the row of this daemon's session in the platform: one edit at a time, each based on the
// newest version of the row.
#pragma once

#include "process/control/map_gossip.h"

#include <deque>

namespace bamboograde::process::control {

// An edit of the session's row. Retried on the newest row if another change was committed first.
struct row_edit
{
  // Changes the row and adds other writes and conditions to the transaction. Returns false to
  // cancel the edit.
  std::function<bool(row_edit& aEdit, version::session_row& aRow,
                     connection::transaction& aTransaction)>
    prepare;
  std::function<void(bool aCommitted)> done;
  // Rows of other sessions that the same transaction writes; set by prepare.
  std::vector<version::session_row_ptr> otherRows = {};
  unsigned attempts = 0;
};

class row_editor
{
public:
  row_editor(context& aContext, committer& aCommitter, map_gossip& aMap);

  // Called when an edit finds that the session's row was deleted.
  void SetRowDeletedObserver(std::function<void()> aObserver)
  {
    mOnRowDeleted = std::move(aObserver);
  }
  // Sets the session whose row is edited. Pending edits of the previous session are reported as not
  // committed.
  void SetSession(const common::session_id& aSession);
  void Edit(row_edit aEdit);
  // Whether an edit is in progress, its outcome not known yet.
  bool Busy() const { return mEditing; }

private:
  const version::versioned_session_row* OwnEntry() const;
  std::string RowName() const;
  void StartNext();
  void PublishCommitted(const named_entry& aOwn);
  void RereadRow();
  void Finish(bool aCommitted);

  context& mContext;
  committer& mCommitter;
  map_gossip& mMap;
  common::session_id mSession;
  // Incremented with each change of the session, to recognize late results of the previous one.
  uint64_t mGeneration = 0;
  std::deque<row_edit> mEdits;
  bool mEditing = false;
  std::function<void()> mOnRowDeleted;
};

} // namespace bamboograde::process::control
