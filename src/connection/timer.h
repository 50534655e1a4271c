// Timers on the calling thread's default main context.
#pragma once

#include "common/clock.h"

#include <functional>
#include <glib.h>

namespace bamboograde::connection {

// Calls a function once or periodically. The destructor stops the timer.
class timer
{
public:
  timer() = default;
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  ~timer() { Stop(); }

  void StartOnce(common::milliseconds aDelay, std::function<void()> aCallback);
  void StartRepeating(common::milliseconds aPeriod, std::function<void()> aCallback);
  void Stop();
  bool Running() const { return mSource != nullptr; }

private:
  static gboolean Fire(gpointer aSelf);
  void Start(common::milliseconds aDelay, bool aRepeats, std::function<void()> aCallback);

  GSource* mSource = nullptr;
  bool mRepeats = false;
  std::function<void()> mCallback;
};

} // namespace bamboograde::connection
