#include "common/files.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "version/table_codec.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace bamboograde::ctl {

using common::json;
using rows = std::vector<version::table_row>;

namespace {

constexpr common::milliseconds kInForceTimeout{ 10000 };
constexpr common::milliseconds kStatusPollInterval{ 100 };

bool EndsWith(const std::string& aText, const std::string& aEnd)
{
  return aText.size() >= aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

// Reads and validates a table file: YAML if its name ends in .yaml or .yml, else CSV.
rows ReadTableFile(const std::string& aPath, common::findings* aFindings)
{
  auto text = common::ReadTextFile(aPath);
  if (!text.has_value()) {
    aFindings->Add({ aPath, 0, "", text.assume_error().message });
    return {};
  }
  bool isYaml = EndsWith(aPath, ".yaml") || EndsWith(aPath, ".yml");
  rows read = isYaml ? version::ParseYaml(text.assume_value(), aPath, aFindings)
                     : version::ParseCsv(text.assume_value(), aPath, aFindings);
  common::findings content = version::CheckRows(aPath, read);
  for (const common::finding& item : content.Items()) {
    aFindings->Add(item);
  }
  return read;
}

// Names the daemons that do not respond or still use a table version before aVersion.
std::vector<std::string> FindOutdatedDaemons(operator_client& aClient, uint64_t aVersion)
{
  std::vector<std::string> outdated;
  operator_response status = aClient.Call("GET", "/v1/status");
  for (const json& item : common::GetArray(status.body, "daemons")) {
    if (common::GetNumber(item, "table_version") < aVersion) {
      outdated.push_back(Text(item, "vm") + " in zone " + Text(item, "zone"));
    }
  }
  for (const json& item : common::GetArray(status.body, "missing")) {
    outdated.push_back(Text(item, "control") + " in zone " + Text(item, "zone"));
  }
  if (!status.Ok()) {
    outdated.push_back(aClient.Daemon().Str());
  }
  return outdated;
}

exit_code WaitUntilInForce(operator_client& aClient, const command_options& aOptions,
                           uint64_t aVersion)
{
  auto start = std::chrono::steady_clock::now();
  std::vector<std::string> outdated;
  do {
    outdated = FindOutdatedDaemons(aClient, aVersion);
    if (outdated.empty()) {
      auto took =
        std::chrono::duration_cast<common::milliseconds>(std::chrono::steady_clock::now() - start);
      if (!aOptions.json) {
        std::cout << "in force in every availability zone within " << took.count() << " ms\n";
      }
      return exit_code::kDone;
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  } while (std::chrono::steady_clock::now() - start < kInForceTimeout);
  std::cerr << "version " << aVersion << " is accepted, but not yet in force on:\n";
  for (const std::string& name : outdated) {
    std::cerr << "  " << name << "\n";
  }
  return exit_code::kNotInForce;
}

exit_code Submit(operator_client& aClient, const command_options& aOptions, uint64_t aBase,
                 const rows& aRows)
{
  json body = { { "base", aBase },
                { "who", aOptions.who },
                { "rows", version::EncodeRows(aRows) } };
  operator_response response = aClient.Call("PUT", "/v1/table", body);
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  uint64_t accepted = common::GetNumber(response.body, "version");
  if (aOptions.json) {
    std::cout << common::Dump(response.body, 2) << "\n";
  } else {
    std::cout << "accepted as version " << accepted
              << (common::GetBool(response.body, "merged") ? ", merged with another edit\n" : "\n");
  }
  return aOptions.wait ? WaitUntilInForce(aClient, aOptions, accepted) : exit_code::kDone;
}

} // namespace

exit_code TableGet(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("GET", "/v1/table");
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    std::cout << common::Dump(response.body, 2) << "\n";
    return exit_code::kDone;
  }
  common::findings ignored;
  rows all = version::DecodeRows(common::GetArray(response.body, "rows"), "table", &ignored);
  std::cout << (aOptions.format == "yaml" ? version::FormatYaml(all) : version::FormatCsv(all));
  std::cerr << "version " << Text(response.body, "version") << "\n";
  return exit_code::kDone;
}

exit_code TableSet(operator_client& aClient, const command_options& aOptions,
                   const arguments& aArguments)
{
  common::findings found;
  rows all = ReadTableFile(aArguments.at(0), &found);
  if (!found.Empty()) {
    std::cerr << found.Format();
    return exit_code::kInvalid;
  }
  uint64_t base = aOptions.base;
  if (base == 0) {
    base = common::GetNumber(aClient.Call("GET", "/v1/table").body, "version");
  }
  return Submit(aClient, aOptions, base, all);
}

exit_code TableEdit(operator_client& aClient, const command_options& aOptions,
                    const arguments& aArguments)
{
  operator_response response = aClient.Call("GET", "/v1/table");
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  json all = common::GetArray(response.body, "rows");
  auto row = std::find_if(all.begin(), all.end(),
                          [&](const json& aRow) { return Text(aRow, "row") == aArguments.at(0); });
  if (row == all.end()) {
    std::cerr << "There is no row '" << aArguments[0] << "'; see 'bamboogradectl table get'.\n";
    return exit_code::kNotFound;
  }
  for (size_t i = 1; i < aArguments.size(); ++i) {
    size_t equals = aArguments[i].find('=');
    if (equals == std::string::npos) {
      std::cerr << "Expected a change as COLUMN=VALUE, got '" << aArguments[i] << "'.\n";
      return exit_code::kInvalid;
    }
    (*row)[aArguments[i].substr(0, equals)] = aArguments[i].substr(equals + 1);
  }
  common::findings found;
  rows edited = version::DecodeRows(all, "table", &found);
  if (!found.Empty()) {
    std::cerr << found.Format();
    return exit_code::kInvalid;
  }
  return Submit(aClient, aOptions, common::GetNumber(response.body, "version"), edited);
}

exit_code TableCheck(operator_client&, const command_options& aOptions, const arguments& aArguments)
{
  common::findings found;
  rows all = ReadTableFile(aArguments.at(0), &found);
  if (aOptions.json) {
    std::cout << common::Dump({ { "valid", found.Empty() }, { "findings", found.Format() } }, 2)
              << "\n";
  } else if (found.Empty()) {
    std::cout << "The table is valid: " << all.size() << " rows.\n";
  } else {
    std::cerr << found.Format();
  }
  return found.Empty() ? exit_code::kDone : exit_code::kInvalid;
}

exit_code TableHistory(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response =
    aClient.Call("GET", "/v1/table/history?after=" + EscapeQuery(aOptions.after));
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    std::cout << common::Dump(response.body, 2) << "\n";
    return exit_code::kDone;
  }
  text_table out({ "VERSION", "WHEN", "WHO", "ROWS" });
  for (const json& item : common::GetArray(response.body, "items")) {
    const json& value = item["value"];
    out.Add({ Text(value, "version"), FormatTime(int64_t(common::GetNumber(value, "unix_ms"))),
              Text(value, "who"), std::to_string(common::GetArray(value, "rows").size()) });
  }
  out.Print();
  return exit_code::kDone;
}

} // namespace bamboograde::ctl
