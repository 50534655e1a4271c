// The daemon: starts its tasks in the order of their dependencies, and stops them gracefully.
#pragma once

#include "process/control/control_task.h"
#include "process/gate_task.h"
#include "process/worker_task.h"

namespace bamboograde::process {

class daemon
{
public:
  explicit daemon(settings aSettings);

  // Starts all tasks; the error says what prevented the start.
  common::result<void> Start();
  // Runs until the daemon has stopped and returns the exit code. At the first SIGTERM or SIGINT,
  // the daemon hands its slices over and finishes the requests in flight; the second ends the
  // process at once.
  int Run();

private:
  static gboolean OnSignal(gpointer aSelf);

  settings mSettings;
  common::system_clock_source mClock;
  counters mCounters;
  mailboxes mMailboxes;
  gate_task mGate;
  std::vector<std::unique_ptr<worker_task>> mWorkers;
  control::control_task mControl;
  GMainLoop* mLoop;
  unsigned mSignalCount = 0;
};

} // namespace bamboograde::process
