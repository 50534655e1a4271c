// The commands of bamboogradectl. Each one calls the operator interface of a daemon, prints the
// result and returns the exit code of the program.
#pragma once

#include "ctl/operator_client.h"

namespace bamboograde::ctl {

// Values of the flags; positional arguments are passed separately.
struct command_options
{
  bool json = false;
  bool wait = false;
  std::string format = "csv";
  std::string service;
  // Author of a table change in the audit trail.
  std::string who;
  std::string kind;
  // Lists only entries after this entry name or time in Unix milliseconds.
  std::string after;
  // Table version that an edited file was made from; 0 means the newest.
  uint64_t base = 0;
};

// Positional arguments after the name of the command.
using arguments = std::vector<std::string>;

exit_code ShowOwner(operator_client& aClient, const command_options& aOptions,
                    const arguments& aArguments);
exit_code ShowMap(operator_client& aClient, const command_options& aOptions,
                  const arguments& aArguments);
exit_code ShowUpstreams(operator_client& aClient, const command_options& aOptions,
                        const arguments& aArguments);
exit_code ShowStatus(operator_client& aClient, const command_options& aOptions,
                     const arguments& aArguments);
exit_code ShowCounters(operator_client& aClient, const command_options& aOptions,
                       const arguments& aArguments);
exit_code Explain(operator_client& aClient, const command_options& aOptions,
                  const arguments& aArguments);
exit_code ShowAudit(operator_client& aClient, const command_options& aOptions,
                    const arguments& aArguments);
exit_code Drain(operator_client& aClient, const command_options& aOptions,
                const arguments& aArguments);

exit_code TableGet(operator_client& aClient, const command_options& aOptions,
                   const arguments& aArguments);
exit_code TableSet(operator_client& aClient, const command_options& aOptions,
                   const arguments& aArguments);
exit_code TableEdit(operator_client& aClient, const command_options& aOptions,
                    const arguments& aArguments);
exit_code TableCheck(operator_client& aClient, const command_options& aOptions,
                     const arguments& aArguments);
exit_code TableHistory(operator_client& aClient, const command_options& aOptions,
                       const arguments& aArguments);

} // namespace bamboograde::ctl
