// Runs the stand-in upstream. On SIGTERM it tells its daemon that it leaves and keeps running.

#include "upstream_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <glib-unix.h>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:8000", "IP:PORT to listen at.");
ABSL_FLAG(std::string, daemon, "",
          "IP:PORT of the daemon's upstream listener; empty: no announcements.");
ABSL_FLAG(unsigned, slots, 17, "Maximum number of requests that run at the same time.");
ABSL_FLAG(unsigned, cold_ms, 0, "Length of the cold start in milliseconds.");
ABSL_FLAG(unsigned, work_us, 0,
          "Run time of a request in microseconds, unless its parameter work_us gives another.");
ABSL_FLAG(bool, checks_fences, true,
          "Whether requests are checked against the grant and its session.");
ABSL_FLAG(std::string, log, "", "File to append the run log to; empty: no log.");

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  bamboograde::standins::upstream::upstream_options options;
  options.listen = bamboograde::common::endpoint(absl::GetFlag(FLAGS_listen));
  options.daemon = bamboograde::common::endpoint(absl::GetFlag(FLAGS_daemon));
  options.slots = absl::GetFlag(FLAGS_slots);
  options.cold = bamboograde::common::milliseconds(absl::GetFlag(FLAGS_cold_ms));
  options.work = bamboograde::common::microseconds(absl::GetFlag(FLAGS_work_us));
  options.checksFences = absl::GetFlag(FLAGS_checks_fences);
  options.logPath = absl::GetFlag(FLAGS_log);
  bamboograde::standins::upstream::upstream_server server(std::move(options));
  auto listening = server.Listen();
  if (!listening.has_value()) {
    std::cerr << listening.assume_error().message << "\n";
    return 1;
  }
  g_unix_signal_add(
    SIGTERM,
    [](gpointer aServer) -> gboolean {
      static_cast<bamboograde::standins::upstream::upstream_server*>(aServer)->Leave();
      return G_SOURCE_CONTINUE;
    },
    &server);
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_main_loop_run(loop);
  return 0;
}
