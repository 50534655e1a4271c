// Delivers POSIX signals in the event loop.
#pragma once

#include "connection/http/event_loop.h"

namespace bamboograde::process::sidecar {

class signal_watch : private connection::http::io_handler
{
public:
  // Keeps the signals that end the process pending until there is a signal_watch. Must be called
  // before any thread is started.
  static void Hold();
  // Takes the signals from now on, with those that are pending.
  explicit signal_watch(connection::http::event_loop& aLoop);
  ~signal_watch() override;
  // SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> aCallback) { mOnTerminate = std::move(aCallback); }
  // SIGHUP.
  void OnReload(std::function<void()> aCallback) { mOnReload = std::move(aCallback); }

private:
  void OnReady(uint32_t aEvents) override;

  connection::http::event_loop& mLoop;
  int mPipe[2] = { -1, -1 };
  uint64_t mToken = 0;
  std::function<void()> mOnTerminate;
  std::function<void()> mOnReload;
};

} // namespace bamboograde::process::sidecar
