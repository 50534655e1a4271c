#include "process/daemon.h"

#include <csignal>
#include <glib-unix.h>
#include <spdlog/spdlog.h>

namespace bamboograde::process {

namespace {

constexpr int kExitForced = 1;

} // namespace

daemon::daemon(settings aSettings)
  : mSettings(std::move(aSettings))
  , mMailboxes(mSettings.workers)
  , mGate(mSettings, mClock, mMailboxes, mCounters)
  , mControl(mSettings, mClock, mMailboxes, mCounters)
  , mLoop(g_main_loop_new(nullptr, FALSE))
{
}

common::result<void> daemon::Start()
{
  // 1. The gate, to which workers submit requests.
  mGate.Start();
  // 2. The workers, which listen for callers and other daemons.
  for (size_t i = 0; i < mSettings.workers; ++i) {
    mWorkers.push_back(std::make_unique<worker_task>(i, mSettings, mClock, mMailboxes, mCounters));
    common::result<void> started = mWorkers.back()->Start();
    if (!started.has_value()) {
      return started;
    }
  }
  // 3. The control task, which makes the daemon an owner once the upstream has announced itself.
  return mControl.Start([this] { g_main_loop_quit(mLoop); });
}

gboolean daemon::OnSignal(gpointer aSelf)
{
  auto* self = static_cast<daemon*>(aSelf);
  if (++self->mSignalCount > 1) {
    spdlog::warn("received a second stop signal: exiting at once without handing over");
    std::_Exit(kExitForced);
  }
  self->mMailboxes.control.Send(stop_requested{});
  return G_SOURCE_CONTINUE;
}

int daemon::Run()
{
  g_unix_signal_add(SIGTERM, &daemon::OnSignal, this);
  g_unix_signal_add(SIGINT, &daemon::OnSignal, this);
  spdlog::info("daemon on VM {} started: zone {}, service {}", mSettings.vm, mSettings.zone.Str(),
               mSettings.service.Str());
  g_main_loop_run(mLoop);
  mControl.Stop();
  for (auto& worker : mWorkers) {
    worker->Stop();
  }
  mGate.Stop();
  g_main_loop_unref(mLoop);
  spdlog::info("daemon on VM {} stopped", mSettings.vm);
  return 0;
}

} // namespace bamboograde::process
