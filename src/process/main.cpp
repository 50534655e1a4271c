// bamboograded: the daemon that runs on the VM of each upstream.

#include "process/daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>
#include <spdlog/spdlog.h>

ABSL_FLAG(std::string, settings, "/etc/bamboograde/daemon.yaml", "Settings file in YAML.");
ABSL_FLAG(std::string, log_level, "info", "One of debug, info, warn, err, off.");
ABSL_FLAG(bool, check, false, "Check the settings, report all findings and exit.");

namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 1;
constexpr char kJsonLogPattern[] =
  R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","thread":%t,"message":"%v"})";

void ConfigureLog(const bamboograde::process::settings& aSettings)
{
  spdlog::set_level(spdlog::level::from_str(absl::GetFlag(FLAGS_log_level)));
  if (aSettings.logFormat == "json") {
    spdlog::set_pattern(kJsonLogPattern);
  }
  spdlog::flush_on(spdlog::level::info);
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage("Routes requests to the servers that own their keys.\n"
                               "  bamboograded --settings=FILE [--check] [--log_level=LEVEL]");
  absl::ParseCommandLine(argc, argv);
  bamboograde::common::findings found;
  auto settings = bamboograde::process::LoadSettings(absl::GetFlag(FLAGS_settings), &found);
  if (!found.Empty()) {
    std::cerr << found.Format();
    return kExitInvalidSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  ConfigureLog(settings);
  std::signal(SIGPIPE, SIG_IGN);
  bamboograde::process::daemon daemon(std::move(settings));
  auto started = daemon.Start();
  if (!started.has_value()) {
    std::cerr << started.assume_error().message << "\n";
    std::_Exit(kExitStartFailed);
  }
  return daemon.Run();
}
