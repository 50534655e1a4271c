// Converts the table to and from JSON, which daemons exchange and the platform stores, and CSV and
// YAML, which operators edit.
#pragma once

#include "common/json.h"
#include "version/table.h"

namespace bamboograde::version {

// {"version": 3, "rows": [{"row": ..., "service": ..., "class": ..., ...}]}
common::json EncodeTable(const table& aTable);
common::json EncodeRows(const std::vector<table_row>& aRows);
// Unknown columns and cells of the wrong type are reported as findings.
std::vector<table_row> DecodeRows(const common::json& aRows, const std::string& aSource,
                                  common::findings* aFindings);
// Null when the value is not a table.
table_ptr DecodeTable(const common::json& aValue);

// The first line names the columns (see Columns()) in any order. Columns that are missing keep the
// defaults of table_row.
std::vector<table_row> ParseCsv(const std::string& aText, const std::string& aSource,
                                common::findings* aFindings);
std::string FormatCsv(const std::vector<table_row>& aRows);
// A sequence of mappings from the names of the CSV columns to their cells.
std::vector<table_row> ParseYaml(const std::string& aText, const std::string& aSource,
                                 common::findings* aFindings);
std::string FormatYaml(const std::vector<table_row>& aRows);

// The text of the cell in aColumn, which is one of Columns().
std::string CellText(const table_row& aRow, const std::string& aColumn);
// The names of the columns in their usual order.
const std::vector<std::string>& Columns();

} // namespace bamboograde::version
