// bamboogradectl: command-line tool for operators. Any daemon of the deployment can serve its
// calls.

#include "ctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, daemon, "127.0.0.1:7003", "IP:PORT of the operator listener of any daemon.");
ABSL_FLAG(std::string, key_file, "",
          "File with the operator key; default: the value of BAMBOOGRADE_OPERATOR_KEY.");
ABSL_FLAG(bool, json, false, "Print JSON.");
ABSL_FLAG(bool, wait, false, "table set, edit: wait until the change is in force on every daemon.");
ABSL_FLAG(std::string, format, "csv", "table get: csv or yaml.");
ABSL_FLAG(std::string, service, "", "owner, map: name of the service.");
ABSL_FLAG(std::string, who, "", "table set, edit: author in the audit trail; default: USER.");
ABSL_FLAG(std::string, kind, "", "audit: only entries of this kind.");
ABSL_FLAG(std::string, after, "",
          "audit, table history: only entries after this name or time in ms.");
ABSL_FLAG(uint64_t, base, 0, "table set: table version that the file is based on; 0: the newest.");

namespace {

using bamboograde::ctl::arguments;
using bamboograde::ctl::command_options;
using bamboograde::ctl::exit_code;
using bamboograde::ctl::operator_client;

struct command
{
  const char* name;
  const char* subcommand;
  size_t minArguments;
  const char* usage;
  exit_code (*run)(operator_client&, const command_options&, const arguments&);
};

constexpr std::array kCommands = {
  command{ "table", "get", 0, "table get [--format=csv|yaml]: print the table",
           &bamboograde::ctl::TableGet },
  command{ "table", "set", 1, "table set FILE [--base=N] [--wait]: replace the table",
           &bamboograde::ctl::TableSet },
  command{ "table", "edit", 2, "table edit ROW COLUMN=VALUE... [--wait]: change cells of a row",
           &bamboograde::ctl::TableEdit },
  command{ "table", "check", 1, "table check FILE: report everything that is wrong with a table",
           &bamboograde::ctl::TableCheck },
  command{ "table", "history", 0, "table history: list the versions",
           &bamboograde::ctl::TableHistory },
  command{ "owner", "", 1, "owner KEY --service=NAME: who serves a key",
           &bamboograde::ctl::ShowOwner },
  command{ "map", "", 0, "map [--service=NAME]: sessions and their slices",
           &bamboograde::ctl::ShowMap },
  command{ "upstreams", "", 0, "upstreams: the upstream beside each daemon",
           &bamboograde::ctl::ShowUpstreams },
  command{ "status", "", 0, "status: per availability zone, what is in force since when",
           &bamboograde::ctl::ShowStatus },
  command{ "counters", "", 0, "counters: this daemon's counters", &bamboograde::ctl::ShowCounters },
  command{ "explain", "", 1, "explain REQUEST_ID: what happened to a request and why",
           &bamboograde::ctl::Explain },
  command{ "audit", "", 0, "audit [--kind=KIND] [--after=MS]: who changed what, and every move",
           &bamboograde::ctl::ShowAudit },
  command{ "drain", "", 0, "drain: have the daemon hand its slices over",
           &bamboograde::ctl::Drain },
};

std::string Usage()
{
  std::string text = "Operates bamboograde through any daemon.\n";
  for (const command& item : kCommands) {
    text += std::string("  bamboogradectl ") + item.usage + "\n";
  }
  return text + "Exit codes: 0 done, 1 not reachable, 2 not valid, 3 conflict, 4 not found, "
                "5 accepted but not yet in force.";
}

std::string ReadKey()
{
  std::string path = absl::GetFlag(FLAGS_key_file);
  std::string key;
  if (!path.empty()) {
    std::ifstream(path) >> key;
  } else if (const char* fromEnvironment = std::getenv("BAMBOOGRADE_OPERATOR_KEY")) {
    key = fromEnvironment;
  }
  return key;
}

command_options ReadOptions()
{
  command_options options;
  options.json = absl::GetFlag(FLAGS_json);
  options.wait = absl::GetFlag(FLAGS_wait);
  options.format = absl::GetFlag(FLAGS_format);
  options.service = absl::GetFlag(FLAGS_service);
  options.kind = absl::GetFlag(FLAGS_kind);
  options.after = absl::GetFlag(FLAGS_after);
  options.base = absl::GetFlag(FLAGS_base);
  options.who = absl::GetFlag(FLAGS_who);
  if (options.who.empty()) {
    const char* user = std::getenv("USER");
    options.who = user == nullptr ? "unknown" : user;
  }
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(Usage());
  std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  arguments remaining(positional.begin() + 1, positional.end());
  for (const command& item : kCommands) {
    size_t nameCount = *item.subcommand == '\0' ? 1 : 2;
    bool matches = remaining.size() >= nameCount && remaining[0] == item.name &&
                   (nameCount == 1 || remaining[1] == item.subcommand);
    if (!matches) {
      continue;
    }
    remaining.erase(remaining.begin(), remaining.begin() + long(nameCount));
    if (remaining.size() < item.minArguments) {
      std::cerr << "Usage: bamboogradectl " << item.usage << "\n";
      return int(exit_code::kInvalid);
    }
    operator_client client(bamboograde::common::endpoint(absl::GetFlag(FLAGS_daemon)), ReadKey());
    return int(item.run(client, ReadOptions(), remaining));
  }
  std::cerr << Usage() << "\n";
  return int(exit_code::kInvalid);
}
