// Formats responses of a daemon as text and reports failed calls.
#pragma once

#include "ctl/operator_client.h"

namespace bamboograde::ctl {

// A table of text with aligned columns.
class text_table
{
public:
  explicit text_table(std::vector<std::string> aHeader);
  void Add(std::vector<std::string> aRow);
  void Print() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

// A member of a JSON object as text, strings without quotes; empty when it is absent.
std::string Text(const common::json& aValue, const char* aMember);
// UTC time such as "2026-01-31T12:00:00Z"; empty for 0.
std::string FormatTime(int64_t aUnixMs);
// Prints the error, findings and conflicts of a failed call to standard error and returns the exit
// code for it.
exit_code ReportFailure(const operator_client& aClient, const operator_response& aResponse);

} // namespace bamboograde::ctl
