// Event loop for the sockets and timers of one thread, built on a GLib main loop.
//
// All sockets share one epoll descriptor, which is a single GSource of the main loop. An iteration
// therefore makes one system call to wait, regardless of the number of open sockets.
//
// An exception that leaves a callback is logged and counted, and ends only what the callback
// serves.
#pragma once

#include "common/clock.h"

#include <array>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <functional>
#include <glib.h>
#include <sys/epoll.h>
#include <vector>

namespace bamboograde::connection::http {

class event_loop;

// Receives the readiness events of one file descriptor. aEvents: EPOLLIN, EPOLLOUT, EPOLLHUP, ...
class io_handler
{
public:
  virtual ~io_handler() = default;
  virtual void OnReady(uint32_t aEvents) = 0;
  // An exception has left OnReady(). The handler must end what it serves.
  virtual void OnException() {}
};

// One-shot timer. The destructor cancels it.
class loop_timer : public boost::intrusive::set_base_hook<>
{
public:
  loop_timer(event_loop& aLoop, std::function<void()> aCallback);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  void Arm(common::boot_time aDeadline);
  void Cancel();
  bool Armed() const { return is_linked(); }
  common::boot_time Deadline() const { return mDeadline; }

private:
  friend class event_loop;
  friend bool operator<(const loop_timer& aLeft, const loop_timer& aRight)
  {
    return aLeft.mDeadline < aRight.mDeadline;
  }

  event_loop& mLoop;
  std::function<void()> mCallback;
  common::boot_time mDeadline;
};

class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Reports aEvents (EPOLLIN, EPOLLOUT) of aFd to aHandler, level-triggered. Returns the token that
  // ModifyWatch() and Unwatch() take.
  uint64_t Watch(int aFd, uint32_t aEvents, io_handler* aHandler);
  void ModifyWatch(int aFd, uint32_t aEvents, uint64_t aToken);
  // Must be called before the descriptor is closed. Events of the current iteration that were not
  // dispatched yet are dropped as well.
  void Unwatch(int aFd, uint64_t aToken);

  // Runs the callback at the end of the current iteration, after events and timers.
  void Defer(std::function<void()> aCallback);

  common::boot_time Now() const { return common::boot_clock::now(); }
  // Number of callbacks that were left by an exception.
  uint64_t Exceptions() const { return mExceptions; }
  void Run();
  void Quit();

private:
  friend class loop_timer;

  static constexpr size_t kMaxEvents = 128;

  struct watch_slot
  {
    io_handler* handler = nullptr;
    uint32_t generation = 0;
  };

  static gboolean OnPrepare(GSource* aSource, gint* aTimeout);
  static gboolean OnCheck(GSource* aSource);
  static gboolean OnDispatch(GSource* aSource, GSourceFunc aCallback, gpointer aData);
  // Poll function of the main context. Waits on the epoll descriptor alone, in which GLib's wake-up
  // descriptor is registered too.
  static gint Poll(GPollFD* aFds, guint aCount, gint aTimeout);

  gint Wait(GPollFD* aFds, guint aCount, gint aTimeout);
  void Dispatch();
  void RunTimers();
  void RunDeferred();
  // Returns false if an exception has left the callback.
  template<typename callback>
  bool RunGuarded(const callback& aCallback);
  void OnException(const char* aReason);
  gint TimeoutMs() const;

  GMainContext* mContext;
  GMainLoop* mMainLoop;
  GSource* mSource;
  int mEpoll;
  int mWakeUpFd = -1;
  int mEventCount = 0;
  std::array<epoll_event, kMaxEvents> mEvents{};
  std::vector<watch_slot> mSlots;
  std::vector<uint32_t> mFreeSlots;
  boost::intrusive::multiset<loop_timer> mTimers;
  std::vector<std::function<void()>> mDeferred;
  uint64_t mExceptions = 0;
  common::boot_time mExceptionLoggedAt;
};

} // namespace bamboograde::connection::http
