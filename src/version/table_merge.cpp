#include "version/table_merge.h"

#include "version/table_codec.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

using rows = std::vector<table_row>;

const table_row* FindRow(const rows& aRows, const common::row_id& aId)
{
  auto found =
    std::find_if(aRows.begin(), aRows.end(), [&](const table_row& aRow) { return aRow.id == aId; });
  return found == aRows.end() ? nullptr : &*found;
}

bool SameRow(const table_row* aLeft, const table_row* aRight)
{
  if (aLeft == nullptr || aRight == nullptr) {
    return aLeft == aRight;
  }
  return *aLeft == *aRight;
}

std::string TextOf(const table_row* aRow, const std::string& aColumn)
{
  return aRow == nullptr ? "" : CellText(*aRow, aColumn);
}

void AddChanges(const table_row* aBefore, const table_row* aAfter, std::vector<cell_change>* aOut)
{
  const common::row_id& id = aBefore != nullptr ? aBefore->id : aAfter->id;
  for (const std::string& column : Columns()) {
    std::string before = TextOf(aBefore, column);
    std::string after = TextOf(aAfter, column);
    if (before != after) {
      aOut->push_back({ id, column, before, after });
    }
  }
}

void AddConflicts(const table_row* aBase, const table_row* aMine, const table_row* aTheirs,
                  const common::row_id& aId, std::vector<cell_conflict>* aOut)
{
  for (const std::string& column : Columns()) {
    cell_conflict conflict{ aId, column, TextOf(aBase, column), TextOf(aMine, column),
                            TextOf(aTheirs, column) };
    if (conflict.mine != conflict.theirs) {
      aOut->push_back(std::move(conflict));
    }
  }
}

// Merges, cell by cell, a row that aMine changed into the version of the row in aTheirs.
void MergeCells(const table_row* aBase, const table_row* aMine, table_row* aTheirs,
                std::vector<cell_conflict>* aConflicts)
{
  rows merged{ *aTheirs };
  common::findings ignored;
  common::json cells = EncodeRows(merged)[0];
  common::json mine = EncodeRows({ *aMine })[0];
  for (const std::string& column : Columns()) {
    std::string base = TextOf(aBase, column);
    std::string mineText = TextOf(aMine, column);
    std::string theirsText = TextOf(aTheirs, column);
    if (mineText == base || mineText == theirsText) {
      continue;
    }
    if (theirsText == base && aBase != nullptr) {
      cells[column] = mine[column];
    } else {
      aConflicts->push_back({ aMine->id, column, base, mineText, theirsText });
    }
  }
  *aTheirs = DecodeRows(common::json::array({ cells }), "merge", &ignored).front();
}

// Where to insert a row that aMine added: before the next row of aMine that aRows has too.
rows::iterator InsertPosition(rows* aRows, const rows& aMine, const common::row_id& aId)
{
  auto own =
    std::find_if(aMine.begin(), aMine.end(), [&](const table_row& aRow) { return aRow.id == aId; });
  for (auto next = own + 1; next != aMine.end(); ++next) {
    auto found = std::find_if(aRows->begin(), aRows->end(),
                              [&](const table_row& aRow) { return aRow.id == next->id; });
    if (found != aRows->end()) {
      return found;
    }
  }
  return aRows->end();
}

bool SameRowOrder(const rows& aLeft, const rows& aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
    [](const table_row& aOne, const table_row& aOther) { return aOne.id == aOther.id; });
}

} // namespace

std::vector<cell_change> DiffRows(const rows& aBefore, const rows& aAfter)
{
  std::vector<cell_change> changes;
  for (const table_row& row : aBefore) {
    AddChanges(&row, FindRow(aAfter, row.id), &changes);
  }
  for (const table_row& row : aAfter) {
    if (FindRow(aBefore, row.id) == nullptr) {
      AddChanges(nullptr, &row, &changes);
    }
  }
  return changes;
}

merge_result MergeRows(const rows& aBase, const rows& aMine, const rows& aTheirs)
{
  merge_result result;
  result.rows = aTheirs;
  for (const table_row& mine : aMine) {
    const table_row* base = FindRow(aBase, mine.id);
    const table_row* theirs = FindRow(aTheirs, mine.id);
    if (SameRow(base, &mine) || SameRow(theirs, &mine)) {
      continue;
    }
    if (theirs == nullptr && base != nullptr) {
      AddConflicts(base, &mine, nullptr, mine.id, &result.conflicts);
    } else if (theirs == nullptr) {
      result.rows.insert(InsertPosition(&result.rows, aMine, mine.id), mine);
    } else {
      auto* target = const_cast<table_row*>(FindRow(result.rows, mine.id));
      MergeCells(base, &mine, target, &result.conflicts);
    }
  }
  for (const table_row& base : aBase) {
    const table_row* theirs = FindRow(aTheirs, base.id);
    if (FindRow(aMine, base.id) != nullptr || theirs == nullptr) {
      continue;
    }
    if (!SameRow(&base, theirs)) {
      AddConflicts(&base, nullptr, theirs, base.id, &result.conflicts);
      continue;
    }
    std::erase_if(result.rows, [&](const table_row& aRow) { return aRow.id == base.id; });
  }
  // The order of rows in aMine is kept unless aTheirs changed the order or the set of rows.
  if (result.conflicts.empty() && SameRowOrder(aBase, aTheirs)) {
    rows ordered;
    for (const table_row& mine : aMine) {
      ordered.push_back(*FindRow(result.rows, mine.id));
    }
    result.rows = std::move(ordered);
  }
  if (!result.conflicts.empty()) {
    result.rows.clear();
  }
  return result;
}

} // namespace bamboograde::version
