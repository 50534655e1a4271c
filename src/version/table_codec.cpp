#include "version/table_codec.h"

#include <charconv>
#include <csv.h>
#include <yaml-cpp/yaml.h>

namespace bamboograde::version {

using common::findings;
using common::json;

namespace {

std::string FormatNumber(double aValue)
{
  return common::Dump(aValue == double(int64_t(aValue)) ? json(int64_t(aValue)) : json(aValue));
}

bool ParseNumber(const std::string& aText, double* aValue)
{
  const char* end = aText.data() + aText.size();
  auto [stop, code] = std::from_chars(aText.data(), end, *aValue);
  return code == std::errc() && stop == end;
}

// Returns false when there is no such column, or when the column needs a number and aText is not a
// number. An empty limit keeps the default.
bool SetCell(table_row* aRow, const std::string& aColumn, const std::string& aText)
{
  if (aColumn == "row") {
    aRow->id = common::row_id(aText);
  } else if (aColumn == "service") {
    aRow->service = common::service_name(aText);
  } else if (aColumn == "class") {
    aRow->callerClass = common::caller_class(aText);
  } else if (aColumn == "key_from") {
    aRow->keyFrom = aText;
  } else if (aColumn == "key_to") {
    aRow->keyTo = aText;
  } else if (aColumn == "weight") {
    return ParseNumber(aText, &aRow->weight);
  } else if (aColumn == "limit") {
    return aText.empty() || ParseNumber(aText, &aRow->limitPerSecond);
  } else if (aColumn == "prefers") {
    aRow->prefers = aText;
  } else {
    return false;
  }
  return true;
}

bool IsColumn(const std::string& aName)
{
  const auto& columns = Columns();
  return std::find(columns.begin(), columns.end(), aName) != columns.end();
}

const char* InvalidCellMessage(const std::string& aColumn)
{
  if (aColumn == "weight" || aColumn == "limit") {
    return "A number is expected.";
  }
  return "There is no such column; known are row, service, class, key_from, key_to, weight, limit "
         "and prefers.";
}

// Builds rows from the fields and line ends that the CSV parser reports.
class csv_reader
{
public:
  csv_reader(const std::string& aSource, findings* aFindings)
    : mSource(aSource)
    , mFindings(aFindings)
  {
  }

  void AddField(std::string aText) { mFields.push_back(std::move(aText)); }

  void EndLine()
  {
    if (mHeader.empty()) {
      mHeader = std::move(mFields);
      CheckHeader();
    } else {
      AddRow();
    }
    mFields.clear();
  }

  std::vector<table_row> Rows() { return std::move(mRows); }

private:
  void CheckHeader()
  {
    for (const std::string& name : mHeader) {
      if (!IsColumn(name)) {
        mFindings->Add({ mSource, 0, name, InvalidCellMessage(name) });
      }
    }
  }

  void AddRow()
  {
    int line = int(mRows.size()) + 1;
    table_row row;
    if (mFields.size() != mHeader.size()) {
      mFindings->Add({ mSource, line, "",
                       "The row has " + std::to_string(mFields.size()) +
                         " cells where the header has " + std::to_string(mHeader.size()) + "." });
    }
    for (size_t i = 0; i < std::min(mFields.size(), mHeader.size()); ++i) {
      if (IsColumn(mHeader[i]) && !SetCell(&row, mHeader[i], mFields[i])) {
        mFindings->Add({ mSource, line, mHeader[i], InvalidCellMessage(mHeader[i]) });
      }
    }
    mRows.push_back(std::move(row));
  }

  const std::string& mSource;
  findings* mFindings;
  std::vector<std::string> mHeader;
  std::vector<std::string> mFields;
  std::vector<table_row> mRows;
};

void OnCsvField(void* aText, size_t aSize, void* aReader)
{
  static_cast<csv_reader*>(aReader)->AddField(std::string(static_cast<const char*>(aText), aSize));
}

void OnCsvLine(int, void* aReader)
{
  static_cast<csv_reader*>(aReader)->EndLine();
}

std::string QuoteCsv(const std::string& aText)
{
  std::string quoted(2 * aText.size() + 2, '\0');
  quoted.resize(csv_write(quoted.data(), quoted.size(), aText.data(), aText.size()));
  return aText.find_first_of(",\"\r\n") == std::string::npos ? aText : quoted;
}

// The text of a cell that is a string or a number.
std::string JsonCellText(const json& aCell)
{
  if (aCell.is_string()) {
    return aCell.get<std::string>();
  }
  return aCell.is_number() ? common::Dump(aCell) : "";
}

} // namespace

const std::vector<std::string>& Columns()
{
  static const std::vector<std::string> kColumns = { "row",    "service", "class", "key_from",
                                                     "key_to", "weight",  "limit", "prefers" };
  return kColumns;
}

std::string CellText(const table_row& aRow, const std::string& aColumn)
{
  if (aColumn == "row") {
    return aRow.id.Str();
  }
  if (aColumn == "service") {
    return aRow.service.Str();
  }
  if (aColumn == "class") {
    return aRow.callerClass.Str();
  }
  if (aColumn == "key_from") {
    return aRow.keyFrom;
  }
  if (aColumn == "key_to") {
    return aRow.keyTo;
  }
  if (aColumn == "weight") {
    return FormatNumber(aRow.weight);
  }
  if (aColumn == "limit") {
    return FormatNumber(aRow.limitPerSecond);
  }
  return aRow.prefers;
}

json EncodeRows(const std::vector<table_row>& aRows)
{
  json rows = json::array();
  for (const table_row& row : aRows) {
    rows.push_back({ { "row", row.id.Str() },
                     { "service", row.service.Str() },
                     { "class", row.callerClass.Str() },
                     { "key_from", row.keyFrom },
                     { "key_to", row.keyTo },
                     { "weight", row.weight },
                     { "limit", row.limitPerSecond },
                     { "prefers", row.prefers } });
  }
  return rows;
}

json EncodeTable(const table& aTable)
{
  return { { "version", aTable.Version().Value() }, { "rows", EncodeRows(aTable.Rows()) } };
}

std::vector<table_row> DecodeRows(const json& aRows, const std::string& aSource,
                                  findings* aFindings)
{
  std::vector<table_row> rows;
  if (!aRows.is_array()) {
    aFindings->Add({ aSource, 0, "rows", "A list of rows is expected." });
    return rows;
  }
  for (const json& item : aRows) {
    table_row row;
    int line = int(rows.size()) + 1;
    if (!item.is_object()) {
      aFindings->Add({ aSource, line, "", "A mapping of columns to cells is expected." });
      rows.push_back(row);
      continue;
    }
    for (const auto& [column, cell] : item.items()) {
      bool isText = cell.is_string() || cell.is_number();
      if (!isText || !SetCell(&row, column, JsonCellText(cell))) {
        aFindings->Add({ aSource, line, column, InvalidCellMessage(column) });
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

table_ptr DecodeTable(const json& aValue)
{
  findings found;
  auto rows = DecodeRows(common::GetArray(aValue, "rows"), "table", &found);
  uint64_t version = common::GetNumber(aValue, "version");
  if (!found.Empty() || version == 0) {
    return nullptr;
  }
  return { new table(common::table_version(version), std::move(rows)) };
}

std::vector<table_row> ParseCsv(const std::string& aText, const std::string& aSource,
                                findings* aFindings)
{
  csv_reader reader(aSource, aFindings);
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
  size_t read = csv_parse(&parser, aText.data(), aText.size(), &OnCsvField, &OnCsvLine, &reader);
  bool ok = read == aText.size() && csv_fini(&parser, &OnCsvField, &OnCsvLine, &reader) == 0;
  if (!ok) {
    aFindings->Add(
      { aSource, 0, "",
        std::string("The text is not CSV: ") + csv_strerror(csv_error(&parser)) + "." });
  }
  csv_free(&parser);
  return reader.Rows();
}

std::string FormatCsv(const std::vector<table_row>& aRows)
{
  std::string text;
  for (const std::string& column : Columns()) {
    text += (text.empty() ? "" : ",") + column;
  }
  text += "\n";
  for (const table_row& row : aRows) {
    std::string line;
    for (const std::string& column : Columns()) {
      line += (column == Columns().front() ? "" : ",") + QuoteCsv(CellText(row, column));
    }
    text += line + "\n";
  }
  return text;
}

std::vector<table_row> ParseYaml(const std::string& aText, const std::string& aSource,
                                 findings* aFindings)
{
  std::vector<table_row> rows;
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& problem) {
    aFindings->Add({ aSource, problem.mark.line + 1, "", "The text is not YAML: " + problem.msg });
    return rows;
  }
  if (!root.IsSequence()) {
    aFindings->Add({ aSource, 0, "", "A list of rows is expected." });
    return rows;
  }
  for (const YAML::Node& item : root) {
    table_row row;
    int line = int(rows.size()) + 1;
    if (!item.IsMap()) {
      aFindings->Add({ aSource, line, "", "A mapping of columns to cells is expected." });
      rows.push_back(row);
      continue;
    }
    for (const auto& cell : item) {
      std::string column = cell.first.Scalar();
      if (!cell.second.IsScalar() || !SetCell(&row, column, cell.second.Scalar())) {
        aFindings->Add({ aSource, line, column, InvalidCellMessage(column) });
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string FormatYaml(const std::vector<table_row>& aRows)
{
  YAML::Emitter out;
  out << YAML::BeginSeq;
  for (const table_row& row : aRows) {
    out << YAML::BeginMap;
    for (const std::string& column : Columns()) {
      out << YAML::Key << column << YAML::Value << CellText(row, column);
    }
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
  return std::string(out.c_str()) + "\n";
}

} // namespace bamboograde::version
