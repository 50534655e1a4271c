// Runs scripts and programs of the project from tests.
#pragma once

#include <string>

namespace bamboograde::tests {

struct script_result
{
  int exitCode = -1;
  std::string output;
};

// Runs a bash command in the root of the project. The output includes standard error; the exit code
// is -1 if the command could not be started or was ended by a signal.
script_result RunScript(const std::string& aCommand);
// The number after "aName=" at the start of a line; -1 if there is no such line.
long ValueOf(const std::string& aOutput, const std::string& aName);

} // namespace bamboograde::tests
