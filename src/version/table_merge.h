// Three-way merge of two operators' concurrent edits, and the list of cells that an edit changed.
#pragma once

#include "version/table.h"

#include <optional>

namespace bamboograde::version {

// A cell that differs between two versions of the table. If a row is in only one version, its cells
// count as empty in the other version.
struct cell_change
{
  common::row_id row;
  std::string column;
  std::string before;
  std::string after;
};

// A cell that two edits changed to different values.
struct cell_conflict
{
  common::row_id row;
  std::string column;
  std::string base;
  std::string mine;
  std::string theirs;
};

struct merge_result
{
  // Empty when there are conflicts.
  std::vector<table_row> rows;
  std::vector<cell_conflict> conflicts;
};

std::vector<cell_change> DiffRows(const std::vector<table_row>& aBefore,
                                  const std::vector<table_row>& aAfter);

// Applies to aTheirs the changes that lead from aBase to aMine. Conflicts are cells that both edits
// changed to different values, and rows that one edit removed and the other changed.
merge_result MergeRows(const std::vector<table_row>& aBase, const std::vector<table_row>& aMine,
                       const std::vector<table_row>& aTheirs);

} // namespace bamboograde::version
