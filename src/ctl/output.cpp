#include "ctl/output.h"

#include <algorithm>
#include <ctime>
#include <iostream>

namespace bamboograde::ctl {

using common::json;

text_table::text_table(std::vector<std::string> aHeader)
{
  mRows.push_back(std::move(aHeader));
}

void text_table::Add(std::vector<std::string> aRow)
{
  mRows.push_back(std::move(aRow));
}

void text_table::Print() const
{
  std::vector<size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : mRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << "\n";
  }
}

std::string Text(const json& aValue, const char* aMember)
{
  if (!aValue.is_object() || !aValue.contains(aMember)) {
    return "";
  }
  const json& member = aValue[aMember];
  return member.is_string() ? member.get<std::string>() : common::Dump(member);
}

std::string FormatTime(int64_t aUnixMs)
{
  if (aUnixMs == 0) {
    return "";
  }
  time_t seconds = aUnixMs / 1000;
  tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

exit_code ReportFailure(const operator_client& aClient, const operator_response& aResponse)
{
  if (aResponse.status == 0) {
    std::cerr << "The daemon at " << aClient.Daemon().Str()
              << " did not respond. Pass the operator address of a running daemon with --daemon.\n";
    return exit_code::kUnreachable;
  }
  std::string error = common::GetString(aResponse.body, "error", aResponse.text);
  std::cerr << error << "\n";
  for (const json& item : common::GetArray(aResponse.body, "findings")) {
    std::cerr << "  " << Text(item, "source") << " row " << Text(item, "line") << ", "
              << Text(item, "column") << ": " << Text(item, "message") << "\n";
  }
  for (const json& item : common::GetArray(aResponse.body, "conflicts")) {
    std::cerr << "  row " << Text(item, "row") << ", " << Text(item, "column") << ": was '"
              << Text(item, "base") << "', you want '" << Text(item, "mine") << "', now it is '"
              << Text(item, "theirs") << "'\n";
  }
  switch (aResponse.status) {
    case 409:
      return exit_code::kConflict;
    case 404:
      return exit_code::kNotFound;
    case 503:
      return exit_code::kUnreachable;
    default:
      return exit_code::kInvalid;
  }
}

} // namespace bamboograde::ctl
