#include "process/control/row_editor.h"

namespace bamboograde::process::control {

namespace {

constexpr unsigned kMaxAttempts = 20;

} // namespace

row_editor::row_editor(context& aContext, committer& aCommitter, map_gossip& aMap)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(aMap)
{
}

std::string row_editor::RowName() const
{
  return version::SessionRowName(mContext.config.service, mSession);
}

const version::versioned_session_row* row_editor::OwnEntry() const
{
  const version::versioned_session_row* entry = mMap.Find(mContext.config.service, mSession);
  return entry == nullptr || entry->row == nullptr ? nullptr : entry;
}

void row_editor::SetSession(const common::session_id& aSession)
{
  mSession = aSession;
  ++mGeneration;
  mEditing = false;
  for (row_edit& edit : std::exchange(mEdits, {})) {
    edit.done(false);
  }
}

void row_editor::Edit(row_edit aEdit)
{
  mEdits.push_back(std::move(aEdit));
  if (!mEditing) {
    StartNext();
  }
}

void row_editor::StartNext()
{
  if (mEdits.empty()) {
    return;
  }
  mEditing = true;
  row_edit& edit = mEdits.front();
  const version::versioned_session_row* current = OwnEntry();
  if (current == nullptr || ++edit.attempts > kMaxAttempts) {
    Finish(false);
    return;
  }
  boost::intrusive_ptr<version::session_row> changed(new version::session_row(*current->row));
  connection::transaction transaction;
  edit.otherRows.clear();
  if (!edit.prepare(edit, *changed, transaction)) {
    Finish(false);
    return;
  }
  std::string name = RowName();
  transaction.conditions.push_back({ name, current->version });
  transaction.writes.push_back({ name, version::EncodeSession(*changed) });
  mCommitter.Commit(std::move(transaction),
                    [=, this, generation = mGeneration](connection::commit_result aResult) {
                      if (generation != mGeneration) {
                        return;
                      }
                      if (aResult.outcome == connection::commit_outcome::kCommitted) {
                        PublishCommitted({ name, { aResult.version, changed } });
                      } else {
                        RereadRow();
                      }
                    });
}

void row_editor::PublishCommitted(const named_entry& aOwn)
{
  std::vector<named_entry> entries{ aOwn };
  for (const version::session_row_ptr& other : mEdits.front().otherRows) {
    entries.push_back(
      { version::SessionRowName(other->service, other->session), { aOwn.entry.version, other } });
  }
  mMap.ApplyAfterOwners(entries, [this, generation = mGeneration] {
    if (generation == mGeneration) {
      Finish(true);
    }
  });
}

void row_editor::RereadRow()
{
  std::string name = RowName();
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Read(
    name, mContext.FromNow(kPlatformTimeout),
    [this, name, generation = mGeneration](const common::result<connection::platform_row>& aRow) {
      if (generation != mGeneration) {
        return;
      }
      if (!aRow.has_value()) {
        Finish(false);
        return;
      }
      const connection::platform_row& row = aRow.assume_value();
      if (row.version.Value() == 0) {
        mMap.Apply({ { name, { kDeletedVersion, nullptr } } }, common::endpoint());
        mOnRowDeleted();
        return;
      }
      mMap.Apply({ { name, { row.version, version::DecodeSession(row.value) } } },
                 common::endpoint());
      StartNext();
    });
}

void row_editor::Finish(bool aCommitted)
{
  row_edit edit = std::move(mEdits.front());
  mEdits.pop_front();
  mEditing = false;
  edit.done(aCommitted);
  if (!mEditing) {
    StartNext();
  }
}

} // namespace bamboograde::process::control
