// Holds the newest known table version, disseminates it by gossip, and commits operators' edits.
#pragma once

#include "process/control/committer.h"
#include "version/table_merge.h"

namespace bamboograde::process::control {

constexpr char kTableRowName[] = "table/current";
// Each version of the table is also stored in a row of its own. The row's name is this prefix,
// followed by the version in sixteen hexadecimal digits.
constexpr char kTableHistoryPrefix[] = "table/v/";

struct table_edit
{
  // Table version that the operator's edit is based on.
  common::table_version base;
  std::vector<version::table_row> rows;
  std::string who;
};

enum class edit_status
{
  kAccepted,
  // Another operator has changed the same cells since the base version.
  kConflict,
  kInvalid,
  // The platform could not be read; nothing was changed.
  kUnavailable,
};

struct edit_result
{
  edit_status status = edit_status::kUnavailable;
  common::table_version version;
  bool merged = false;
  common::findings found;
  std::vector<version::cell_conflict> conflicts;
};

class table_manager
{
public:
  table_manager(context& aContext, committer& aCommitter);

  // Called after a newer version has been adopted.
  void SetObserver(std::function<void()> aObserver) { mObserver = std::move(aObserver); }
  void SetNeighbours(std::vector<common::endpoint> aNeighbours);

  // Null if no table is known yet.
  version::table_ptr Table() const { return mTable; }
  common::table_version Version() const;
  // Version of the platform row that holds the table, for use in transaction conditions.
  common::row_version RowVersion() const { return mRowVersion; }
  int64_t SinceUnixMs() const { return mSinceUnixMs; }

  void LoadFromPlatform(std::function<void(bool)> aCallback);
  // Fetches the table of a peer that reported a newer version.
  void FetchFrom(const common::endpoint& aPeer);
  common::json HandlePush(const common::json& aBody);
  common::json HandleGet() const;

  void Edit(table_edit aEdit, std::function<void(edit_result)> aCallback);

private:
  bool Learn(const common::json& aTable, common::row_version aRowVersion,
             const common::endpoint& aFrom);
  void Push(const common::endpoint& aExcept);
  void MergeOntoCurrent(table_edit aEdit, std::function<void(edit_result)> aCallback);
  void CommitEdit(table_edit aEdit, bool aMerged, std::function<void(edit_result)> aCallback);
  connection::transaction MakeTransaction(const table_edit& aEdit,
                                          common::table_version aVersion) const;

  context& mContext;
  committer& mCommitter;
  version::table_ptr mTable;
  common::row_version mRowVersion;
  int64_t mSinceUnixMs = 0;
  std::vector<common::endpoint> mNeighbours;
  std::function<void()> mObserver;
};

// "table/v/000000000000002a".
std::string HistoryRowName(common::table_version aVersion);
common::json EncodeChanges(const std::vector<version::cell_change>& aChanges);

} // namespace bamboograde::process::control
