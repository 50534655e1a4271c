#include "ctl/commands.h"

#include "ctl/output.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace bamboograde::ctl {

using common::json;

namespace {

exit_code PrintJson(const operator_response& aResponse)
{
  std::cout << common::Dump(aResponse.body, 2) << "\n";
  return exit_code::kDone;
}

std::string ServiceQuery(const command_options& aOptions)
{
  return aOptions.service.empty() ? "" : "?service=" + EscapeQuery(aOptions.service);
}

std::string FormatServedAhead(const json& aTrace)
{
  std::string text;
  if (!aTrace.contains("served_ahead") || !aTrace["served_ahead"].is_object()) {
    return text;
  }
  for (const auto& [row, count] : aTrace["served_ahead"].items()) {
    text += (text.empty() ? "" : ", ") + common::Dump(count) + " of row " + row;
  }
  return text;
}

void PrintTrace(const json& aTrace)
{
  std::cout << FormatTime(int64_t(common::GetNumber(aTrace, "unix_ms"))) << "  "
            << Text(aTrace, "vm") << " as " << Text(aTrace, "role") << ": "
            << Text(aTrace, "outcome") << "\n";
  if (!Text(aTrace, "row").empty()) {
    std::cout << "    row " << Text(aTrace, "row") << " of table version "
              << Text(aTrace, "table_version") << "\n";
  }
  if (Text(aTrace, "role") == "owner") {
    std::cout << "    epoch " << Text(aTrace, "epoch") << " of session " << Text(aTrace, "session")
              << "\n    queued for " << Text(aTrace, "queued_us") << " us behind "
              << Text(aTrace, "queue_position") << " others, ran for " << Text(aTrace, "ran_us")
              << " us\n";
  } else {
    std::cout << "    attempts: " << Text(aTrace, "attempts") << "\n";
  }
  std::string ahead = FormatServedAhead(aTrace);
  if (!ahead.empty()) {
    std::cout << "    served meanwhile by weight: " << ahead << "\n";
  }
  if (!Text(aTrace, "detail").empty()) {
    std::cout << "    " << Text(aTrace, "detail") << "\n";
  }
}

// Summary of the daemons in one availability zone.
struct zone_state
{
  uint64_t oldestVersion = UINT64_MAX;
  int64_t sinceUnixMs = 0;
  size_t daemons = 0;
  size_t leases = 0;
  size_t slices = 0;
  size_t platformReachable = 0;
};

} // namespace

exit_code ShowOwner(operator_client& aClient, const command_options& aOptions,
                    const arguments& aArguments)
{
  std::string target =
    "/v1/owner?service=" + EscapeQuery(aOptions.service) + "&key=" + EscapeQuery(aArguments.at(0));
  operator_response response = aClient.Call("GET", target);
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    return PrintJson(response);
  }
  std::cout << "key " << aArguments[0] << " of " << aOptions.service << " is served in zone "
            << Text(response.body, "zone") << " at " << Text(response.body, "caller")
            << "\n  session " << Text(response.body, "session") << ", epoch "
            << Text(response.body, "epoch") << "\n";
  return exit_code::kDone;
}

exit_code ShowMap(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("GET", "/v1/map" + ServiceQuery(aOptions));
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    return PrintJson(response);
  }
  text_table out({ "SERVICE", "ZONE", "CALLER", "SLICES", "WITNESSES", "SESSION" });
  for (const json& row : common::GetArray(response.body, "sessions")) {
    out.Add({ Text(row, "service"), Text(row, "zone"), Text(row, "caller"),
              std::to_string(common::GetArray(row, "slices").size()),
              std::to_string(common::GetArray(row, "witnesses").size()), Text(row, "session") });
  }
  out.Print();
  return exit_code::kDone;
}

exit_code ShowUpstreams(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("GET", "/v1/status");
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    return PrintJson(response);
  }
  text_table out({ "VM", "ZONE", "SERVICE", "UPSTREAM", "TAKES WORK", "SLICES" });
  for (const json& item : common::GetArray(response.body, "daemons")) {
    out.Add({ Text(item, "vm"), Text(item, "zone"), Text(item, "service"), Text(item, "upstream"),
              common::GetBool(item, "upstream_open") ? "yes" : "no", Text(item, "slices") });
  }
  out.Print();
  return exit_code::kDone;
}

exit_code ShowStatus(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("GET", "/v1/status");
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    return PrintJson(response);
  }
  std::map<std::string, zone_state> zones;
  for (const json& item : common::GetArray(response.body, "daemons")) {
    zone_state& zone = zones[Text(item, "zone")];
    ++zone.daemons;
    zone.oldestVersion = std::min(zone.oldestVersion, common::GetNumber(item, "table_version"));
    zone.sinceUnixMs =
      std::max(zone.sinceUnixMs, int64_t(common::GetNumber(item, "table_since_unix_ms")));
    zone.leases += common::GetNumber(item, "lease_remaining_ms") > 0 ? 1 : 0;
    zone.slices += common::GetNumber(item, "slices");
    zone.platformReachable += common::GetBool(item, "platform_reachable") ? 1 : 0;
  }
  text_table out(
    { "ZONE", "TABLE VERSION", "IN FORCE SINCE", "DAEMONS", "LEASES", "SLICES", "REACH PLATFORM" });
  for (const auto& [name, zone] : zones) {
    out.Add({ name, std::to_string(zone.oldestVersion), FormatTime(zone.sinceUnixMs),
              std::to_string(zone.daemons), std::to_string(zone.leases),
              std::to_string(zone.slices), std::to_string(zone.platformReachable) });
  }
  out.Print();
  for (const json& item : common::GetArray(response.body, "missing")) {
    std::cout << "no answer from " << Text(item, "control") << " in zone " << Text(item, "zone")
              << "\n";
  }
  return exit_code::kDone;
}

exit_code ShowCounters(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("GET", "/v1/counters");
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    std::cout << common::Dump({ { "counters", response.text } }, 2) << "\n";
  } else {
    std::cout << response.text;
  }
  return exit_code::kDone;
}

exit_code Explain(operator_client& aClient, const command_options& aOptions,
                  const arguments& aArguments)
{
  operator_response response =
    aClient.Call("GET", "/v1/explain?request=" + EscapeQuery(aArguments.at(0)));
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  std::vector<json> traces;
  for (const json& item : common::GetArray(response.body, "daemons")) {
    for (const json& trace : common::GetArray(item, "stories")) {
      traces.push_back(trace);
    }
  }
  std::stable_sort(traces.begin(), traces.end(), [](const json& aLeft, const json& aRight) {
    return common::GetNumber(aLeft, "unix_ms") < common::GetNumber(aRight, "unix_ms");
  });
  if (aOptions.json) {
    std::cout << common::Dump({ { "request", aArguments[0] }, { "stories", traces } }, 2) << "\n";
  }
  if (traces.empty()) {
    std::cerr << "No daemon has a trace of this request; daemons keep only recent traces.\n";
    return exit_code::kNotFound;
  }
  for (const json& trace : traces) {
    if (!aOptions.json) {
      PrintTrace(trace);
    }
  }
  return exit_code::kDone;
}

exit_code ShowAudit(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  std::string after = aOptions.after.empty() ? "" : "audit/" + aOptions.after;
  json all = json::array();
  bool more = true;
  while (more) {
    operator_response response = aClient.Call("GET", "/v1/audit?after=" + EscapeQuery(after));
    if (!response.Ok()) {
      return ReportFailure(aClient, response);
    }
    for (const json& item : common::GetArray(response.body, "items")) {
      after = Text(item, "name");
      json value = item.value("value", json());
      if (aOptions.kind.empty() || Text(value, "kind") == aOptions.kind) {
        all.push_back(std::move(value));
      }
    }
    more = common::GetBool(response.body, "more");
  }
  if (aOptions.json) {
    std::cout << common::Dump({ { "entries", all } }, 2) << "\n";
    return exit_code::kDone;
  }
  for (json& entry : all) {
    std::string line = FormatTime(int64_t(common::GetNumber(entry, "unix_ms"))) + "  " +
                       Text(entry, "kind") + " by " + Text(entry, "vm");
    for (const char* shown : { "unix_ms", "kind", "vm" }) {
      entry.erase(shown);
    }
    for (const auto& [name, value] : entry.items()) {
      line += "  " + name + "=" + Text(entry, name.c_str());
    }
    std::cout << line << "\n";
  }
  return exit_code::kDone;
}

exit_code Drain(operator_client& aClient, const command_options& aOptions, const arguments&)
{
  operator_response response = aClient.Call("POST", "/v1/drain", json::object());
  if (!response.Ok()) {
    return ReportFailure(aClient, response);
  }
  if (aOptions.json) {
    return PrintJson(response);
  }
  std::cout << "The daemon hands its slices over; see 'bamboogradectl upstreams'.\n";
  return exit_code::kDone;
}

} // namespace bamboograde::ctl
