#include "version/table_merge.h"
#include "version/table_rows.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::MakeRow;
using rows = std::vector<version::table_row>;

namespace {

rows Base()
{
  return { MakeRow("a", "driver", 1), MakeRow("b", "office", 1), MakeRow("c") };
}

} // namespace

Test(table_merge, edits_of_different_rows_merge)
{
  rows mine = Base();
  mine[0].weight = 5;
  rows theirs = Base();
  theirs[1].limitPerSecond = 7;
  auto merged = version::MergeRows(Base(), mine, theirs);
  cr_assert(merged.conflicts.empty());
  cr_assert_eq(merged.rows[0].weight, 5);
  cr_assert_eq(merged.rows[1].limitPerSecond, 7);
}

Test(table_merge, edits_of_different_cells_of_a_row_merge)
{
  rows mine = Base();
  mine[0].weight = 5;
  rows theirs = Base();
  theirs[0].limitPerSecond = 7;
  auto merged = version::MergeRows(Base(), mine, theirs);
  cr_assert(merged.conflicts.empty());
  cr_assert_eq(merged.rows[0].weight, 5);
  cr_assert_eq(merged.rows[0].limitPerSecond, 7);
}

Test(table_merge, edits_of_the_same_cell_conflict_and_report_both_values)
{
  rows mine = Base();
  mine[0].weight = 5;
  rows theirs = Base();
  theirs[0].weight = 6;
  auto merged = version::MergeRows(Base(), mine, theirs);
  cr_assert_eq(merged.conflicts.size(), 1U);
  cr_assert_eq(merged.conflicts[0].column, "weight");
  cr_assert_eq(merged.conflicts[0].base, "1");
  cr_assert_eq(merged.conflicts[0].mine, "5");
  cr_assert_eq(merged.conflicts[0].theirs, "6");
  cr_assert(merged.rows.empty());
}

Test(table_merge, added_rows_keep_their_position_and_removed_rows_stay_removed)
{
  rows mine = Base();
  mine.insert(mine.begin() + 1, MakeRow("new", "packer"));
  rows theirs = Base();
  theirs.erase(theirs.begin());
  auto merged = version::MergeRows(Base(), mine, theirs);
  cr_assert(merged.conflicts.empty());
  cr_assert_eq(merged.rows.size(), 3U);
  cr_assert_eq(merged.rows[0].id.Str(), "new");
}

// Guards against the loss of one operator's change without a conflict.
Test(table_merge, removing_a_row_that_the_other_edit_changed_is_a_conflict)
{
  rows mine = Base();
  mine.erase(mine.begin());
  rows theirs = Base();
  theirs[0].weight = 9;
  cr_assert_not(version::MergeRows(Base(), mine, theirs).conflicts.empty());
  cr_assert_not(version::MergeRows(Base(), theirs, mine).conflicts.empty());
}

Test(table_merge, diff_lists_every_changed_cell)
{
  rows after = Base();
  after[0].weight = 3;
  after.pop_back();
  auto changes = version::DiffRows(Base(), after);
  cr_assert_eq(changes.front().column, "weight");
  cr_assert_eq(changes.front().before, "1");
  cr_assert_eq(changes.front().after, "3");
  cr_assert_eq(changes.back().row.Str(), "c");
  cr_assert(changes.back().after.empty());
}
