#include "connection/http/event_loop.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace bamboograde::connection::http {

namespace {

// Token of GLib's wake-up descriptor. Watch() never returns it.
constexpr uint64_t kWakeUpToken = UINT64_MAX;
// Minimum time between two log lines about exceptions.
constexpr common::milliseconds kExceptionLogInterval{ 1000 };

// GLib's poll function takes no user data, so the loop of each thread is found here.
thread_local event_loop* tCurrent = nullptr;

struct loop_source
{
  GSource base;
  event_loop* loop;
};

event_loop& LoopOf(GSource* aSource)
{
  return *reinterpret_cast<loop_source*>(aSource)->loop;
}

} // namespace

loop_timer::loop_timer(event_loop& aLoop, std::function<void()> aCallback)
  : mLoop(aLoop)
  , mCallback(std::move(aCallback))
{
}

loop_timer::~loop_timer()
{
  Cancel();
}

void loop_timer::Arm(common::boot_time aDeadline)
{
  Cancel();
  mDeadline = aDeadline;
  mLoop.mTimers.insert(*this);
}

void loop_timer::Cancel()
{
  if (is_linked()) {
    mLoop.mTimers.erase(mLoop.mTimers.iterator_to(*this));
  }
}

event_loop::event_loop()
  : mContext(g_main_context_new())
  , mMainLoop(g_main_loop_new(mContext, FALSE))
  , mEpoll(epoll_create1(EPOLL_CLOEXEC))
{
  static GSourceFuncs functions = {
    &event_loop::OnPrepare, &event_loop::OnCheck, &event_loop::OnDispatch, nullptr, nullptr, nullptr
  };
  tCurrent = this;
  g_main_context_set_poll_func(mContext, &event_loop::Poll);
  mSource = g_source_new(&functions, sizeof(loop_source));
  reinterpret_cast<loop_source*>(mSource)->loop = this;
  g_source_add_unix_fd(mSource, mEpoll, G_IO_IN);
  // Without this flag, GLib removes the descriptor from the context and adds it again around each
  // dispatch, and each change wakes the loop.
  g_source_set_can_recurse(mSource, TRUE);
  g_source_attach(mSource, mContext);
}

event_loop::~event_loop()
{
  g_source_destroy(mSource);
  g_source_unref(mSource);
  g_main_loop_unref(mMainLoop);
  g_main_context_unref(mContext);
  close(mEpoll);
  tCurrent = nullptr;
}

uint64_t event_loop::Watch(int aFd, uint32_t aEvents, io_handler* aHandler)
{
  uint32_t slot = 0;
  if (mFreeSlots.empty()) {
    slot = uint32_t(mSlots.size());
    mSlots.emplace_back();
  } else {
    slot = mFreeSlots.back();
    mFreeSlots.pop_back();
  }
  mSlots[slot].handler = aHandler;
  uint64_t token = (uint64_t(mSlots[slot].generation) << 32) | slot;
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = token;
  epoll_ctl(mEpoll, EPOLL_CTL_ADD, aFd, &event);
  return token;
}

void event_loop::ModifyWatch(int aFd, uint32_t aEvents, uint64_t aToken)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aToken;
  epoll_ctl(mEpoll, EPOLL_CTL_MOD, aFd, &event);
}

void event_loop::Unwatch(int aFd, uint64_t aToken)
{
  auto slot = uint32_t(aToken);
  epoll_ctl(mEpoll, EPOLL_CTL_DEL, aFd, nullptr);
  mSlots[slot].handler = nullptr;
  ++mSlots[slot].generation;
  mFreeSlots.push_back(slot);
}

void event_loop::Defer(std::function<void()> aCallback)
{
  mDeferred.push_back(std::move(aCallback));
}

void event_loop::Run()
{
  g_main_loop_run(mMainLoop);
}

void event_loop::Quit()
{
  g_main_loop_quit(mMainLoop);
}

gint event_loop::TimeoutMs() const
{
  if (!mDeferred.empty()) {
    return 0;
  }
  if (mTimers.empty()) {
    return -1;
  }
  auto remaining =
    std::chrono::ceil<common::milliseconds>(mTimers.begin()->mDeadline - Now()).count();
  return gint(std::clamp<int64_t>(remaining, 0, INT32_MAX));
}

gboolean event_loop::OnPrepare(GSource* aSource, gint* aTimeout)
{
  *aTimeout = LoopOf(aSource).TimeoutMs();
  return FALSE;
}

gboolean event_loop::OnCheck(GSource* aSource)
{
  event_loop& loop = LoopOf(aSource);
  return gboolean(loop.mEventCount > 0 || loop.TimeoutMs() == 0);
}

gboolean event_loop::OnDispatch(GSource* aSource, GSourceFunc, gpointer)
{
  LoopOf(aSource).Dispatch();
  return G_SOURCE_CONTINUE;
}

gint event_loop::Poll(GPollFD* aFds, guint aCount, gint aTimeout)
{
  return tCurrent->Wait(aFds, aCount, aTimeout);
}

gint event_loop::Wait(GPollFD* aFds, guint aCount, gint aTimeout)
{
  for (guint i = 0; i < aCount; ++i) {
    aFds[i].revents = 0;
    if (aFds[i].fd != mEpoll && mWakeUpFd < 0) {
      mWakeUpFd = aFds[i].fd;
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.u64 = kWakeUpToken;
      epoll_ctl(mEpoll, EPOLL_CTL_ADD, mWakeUpFd, &event);
    }
  }
  int count = epoll_wait(mEpoll, mEvents.data(), int(mEvents.size()), aTimeout);
  mEventCount = std::max(count, 0);
  int readyCount = 0;
  for (guint i = 0; i < aCount; ++i) {
    bool isReady = aFds[i].fd == mEpoll && mEventCount > 0;
    for (int e = 0; e < mEventCount && aFds[i].fd == mWakeUpFd; ++e) {
      isReady = isReady || mEvents[size_t(e)].data.u64 == kWakeUpToken;
    }
    aFds[i].revents = isReady ? G_IO_IN : 0;
    readyCount += isReady ? 1 : 0;
  }
  return readyCount;
}

void event_loop::Dispatch()
{
  for (int i = 0; i < mEventCount; ++i) {
    const epoll_event& event = mEvents[size_t(i)];
    if (event.data.u64 == kWakeUpToken) {
      continue;
    }
    auto slot = uint32_t(event.data.u64);
    auto generation = uint32_t(event.data.u64 >> 32);
    io_handler* handler = mSlots[slot].handler;
    if (mSlots[slot].generation != generation || handler == nullptr) {
      continue;
    }
    bool succeeded = RunGuarded([&] { handler->OnReady(event.events); });
    // The handler may have ended before the exception.
    if (!succeeded && mSlots[slot].generation == generation) {
      RunGuarded([&] { handler->OnException(); });
    }
  }
  mEventCount = 0;
  RunTimers();
  RunDeferred();
}

template<typename callback>
bool event_loop::RunGuarded(const callback& aCallback)
{
  try {
    aCallback();
    return true;
  } catch (const std::exception& exception) {
    OnException(exception.what());
  } catch (...) {
    OnException("unknown exception");
  }
  return false;
}

void event_loop::OnException(const char* aReason)
{
  ++mExceptions;
  if (Now() >= mExceptionLoggedAt + kExceptionLogInterval) {
    mExceptionLoggedAt = Now();
    spdlog::error("an exception has ended a callback ({} so far): {}", mExceptions, aReason);
  }
}

void event_loop::RunTimers()
{
  common::boot_time now = Now();
  while (!mTimers.empty() && mTimers.begin()->mDeadline <= now) {
    loop_timer& timer = *mTimers.begin();
    timer.Cancel();
    // Copied because the callback may destroy the timer that owns it.
    auto callback = timer.mCallback;
    RunGuarded(callback);
  }
}

void event_loop::RunDeferred()
{
  while (!mDeferred.empty()) {
    std::vector<std::function<void()>> batch;
    batch.swap(mDeferred);
    for (auto& callback : batch) {
      RunGuarded(callback);
    }
  }
}

} // namespace bamboograde::connection::http
