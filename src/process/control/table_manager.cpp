#include "process/control/table_manager.h"

#include "common/hash.h"
#include "version/table_codec.h"

#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

using common::json;

std::string HistoryRowName(common::table_version aVersion)
{
  return kTableHistoryPrefix + common::ToHex(aVersion.Value());
}

json EncodeChanges(const std::vector<version::cell_change>& aChanges)
{
  json list = json::array();
  for (const version::cell_change& change : aChanges) {
    list.push_back({ { "row", change.row.Str() },
                     { "column", change.column },
                     { "from", change.before },
                     { "to", change.after } });
  }
  return list;
}

table_manager::table_manager(context& aContext, committer& aCommitter)
  : mContext(aContext)
  , mCommitter(aCommitter)
{
}

common::table_version table_manager::Version() const
{
  return mTable == nullptr ? common::table_version() : mTable->Version();
}

void table_manager::SetNeighbours(std::vector<common::endpoint> aNeighbours)
{
  mNeighbours = std::move(aNeighbours);
}

bool table_manager::Learn(const json& aTable, common::row_version aRowVersion,
                          const common::endpoint& aFrom)
{
  version::table_ptr decoded = version::DecodeTable(aTable);
  // Versions only increase: an older version that arrives late is ignored.
  if (decoded == nullptr || decoded->Version() <= Version()) {
    return false;
  }
  mTable = std::move(decoded);
  mRowVersion = aRowVersion;
  mSinceUnixMs = mContext.clock.UnixMs();
  mContext.metrics.Get("table_version") = mTable->Version().Value();
  spdlog::info("adopted table version {}", mTable->Version().Value());
  mContext.boxes.gate.Send(set_table{ mTable });
  mObserver();
  Push(aFrom);
  return true;
}

void table_manager::Push(const common::endpoint& aExcept)
{
  json body = HandleGet();
  for (const common::endpoint& peer : mNeighbours) {
    if (peer != aExcept) {
      mContext.peers.Call(peer, "/table/push", body, mContext.FromNow(kPeerTimeout),
                          [](const connection::peer_reply&) {});
    }
  }
}

json table_manager::HandleGet() const
{
  if (mTable == nullptr) {
    return json::object();
  }
  return { { "from", mContext.config.listen.control.Str() },
           { "table", version::EncodeTable(*mTable) },
           { "row_version", mRowVersion.Value() } };
}

json table_manager::HandlePush(const json& aBody)
{
  Learn(aBody.value("table", json()), common::row_version(common::GetNumber(aBody, "row_version")),
        common::endpoint(common::GetString(aBody, "from")));
  return json::object();
}

void table_manager::FetchFrom(const common::endpoint& aPeer)
{
  mContext.peers.Call(aPeer, "/table/get", json::object(), mContext.FromNow(kPeerTimeout),
                      [this](const connection::peer_reply& aReply) {
                        if (aReply.ok) {
                          HandlePush(aReply.body);
                        }
                      });
}

void table_manager::LoadFromPlatform(std::function<void(bool)> aCallback)
{
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Read(
    kTableRowName, mContext.FromNow(kPlatformTimeout),
    [this, callback = std::move(aCallback)](const common::result<connection::platform_row>& aRow) {
      mCommitter.NoteReachable(aRow.has_value());
      if (aRow.has_value()) {
        Learn(aRow.assume_value().value, aRow.assume_value().version, common::endpoint());
      }
      callback(aRow.has_value());
    });
}

void table_manager::Edit(table_edit aEdit, std::function<void(edit_result)> aCallback)
{
  edit_result invalid;
  invalid.found = version::CheckRows("table", aEdit.rows);
  if (!invalid.found.Empty()) {
    invalid.status = edit_status::kInvalid;
    aCallback(std::move(invalid));
    return;
  }
  // Loads the newest version first, since the edit is merged with it.
  LoadFromPlatform(
    [this, edit = std::move(aEdit), callback = std::move(aCallback)](bool aOk) mutable {
      if (!aOk) {
        callback({});
      } else if (edit.base == Version()) {
        CommitEdit(std::move(edit), false, std::move(callback));
      } else {
        MergeOntoCurrent(std::move(edit), std::move(callback));
      }
    });
}

void table_manager::MergeOntoCurrent(table_edit aEdit, std::function<void(edit_result)> aCallback)
{
  ++mContext.metrics.Get("platform_reads_total");
  std::string baseRow = HistoryRowName(aEdit.base);
  mContext.platform.Read(
    baseRow, mContext.FromNow(kPlatformTimeout),
    [this, edit = std::move(aEdit), callback = std::move(aCallback)](
      const common::result<connection::platform_row>& aRow) mutable {
      edit_result result;
      if (!aRow.has_value()) {
        callback(result);
        return;
      }
      version::table_ptr base = version::DecodeTable(aRow.assume_value().value);
      if (base == nullptr || mTable == nullptr) {
        result.status = edit_status::kInvalid;
        result.found.Add({ "table", 0, "base",
                           "There is no version " + std::to_string(edit.base.Value()) +
                             "; get the table again and repeat the edit." });
        callback(result);
        return;
      }
      auto merged = version::MergeRows(base->Rows(), edit.rows, mTable->Rows());
      if (!merged.conflicts.empty()) {
        result.status = edit_status::kConflict;
        result.version = Version();
        result.conflicts = std::move(merged.conflicts);
        callback(result);
        return;
      }
      edit.base = Version();
      edit.rows = std::move(merged.rows);
      result.found = version::CheckRows("merged table", edit.rows);
      if (!result.found.Empty()) {
        result.status = edit_status::kInvalid;
        callback(result);
        return;
      }
      CommitEdit(std::move(edit), true, std::move(callback));
    });
}

connection::transaction table_manager::MakeTransaction(const table_edit& aEdit,
                                                       common::table_version aVersion) const
{
  version::table next(aVersion, aEdit.rows);
  std::vector<version::table_row> before;
  if (mTable != nullptr) {
    before = mTable->Rows();
  }
  json audit = { { "kind", "table" },
                 { "who", aEdit.who },
                 { "version", aVersion.Value() },
                 { "changes", EncodeChanges(version::DiffRows(before, aEdit.rows)) } };
  json value = version::EncodeTable(next);
  value["who"] = aEdit.who;
  value["unix_ms"] = mContext.clock.UnixMs();
  connection::transaction transaction;
  transaction.conditions.push_back({ kTableRowName, mRowVersion });
  transaction.writes.push_back({ kTableRowName, value });
  transaction.writes.push_back({ HistoryRowName(aVersion), value });
  transaction.writes.push_back(MakeAuditRow(mContext, std::move(audit)));
  return transaction;
}

void table_manager::CommitEdit(table_edit aEdit, bool aMerged,
                               std::function<void(edit_result)> aCallback)
{
  common::table_version next = Version().Next();
  json value = version::EncodeTable(version::table(next, aEdit.rows));
  mCommitter.Commit(MakeTransaction(aEdit, next),
                    [this, next, value = std::move(value), edit = aEdit, aMerged,
                     callback = std::move(aCallback)](connection::commit_result aResult) mutable {
                      if (aResult.outcome == connection::commit_outcome::kConflict) {
                        // Another edit was committed first: start again from its result.
                        Edit(std::move(edit), std::move(callback));
                        return;
                      }
                      Learn(value, aResult.version, common::endpoint());
                      edit_result result;
                      result.status = edit_status::kAccepted;
                      result.version = next;
                      result.merged = aMerged;
                      callback(result);
                    });
}

} // namespace bamboograde::process::control
