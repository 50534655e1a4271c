#include "connection/timer.h"

#include <algorithm>

namespace bamboograde::connection {

void timer::StartOnce(common::milliseconds aDelay, std::function<void()> aCallback)
{
  Start(aDelay, false, std::move(aCallback));
}

void timer::StartRepeating(common::milliseconds aPeriod, std::function<void()> aCallback)
{
  Start(aPeriod, true, std::move(aCallback));
}

void timer::Start(common::milliseconds aDelay, bool aRepeats, std::function<void()> aCallback)
{
  Stop();
  mRepeats = aRepeats;
  mCallback = std::move(aCallback);
  mSource = g_timeout_source_new(guint(std::max<int64_t>(0, aDelay.count())));
  g_source_set_callback(mSource, &timer::Fire, this, nullptr);
  g_source_attach(mSource, g_main_context_get_thread_default());
}

void timer::Stop()
{
  if (mSource == nullptr) {
    return;
  }
  g_source_destroy(mSource);
  g_source_unref(mSource);
  mSource = nullptr;
}

gboolean timer::Fire(gpointer aSelf)
{
  auto* self = static_cast<timer*>(aSelf);
  if (self->mRepeats) {
    self->mCallback();
    return G_SOURCE_CONTINUE;
  }
  self->Stop();
  // Moved to a local variable because the callback may restart or destroy this timer.
  auto callback = std::move(self->mCallback);
  callback();
  return G_SOURCE_REMOVE;
}

} // namespace bamboograde::connection
