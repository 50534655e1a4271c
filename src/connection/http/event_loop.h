// One thread's sockets and timers, run by a GLib main loop.
//
// All sockets share one epoll descriptor, which is a single source of the main loop, so that a turn
// costs one wait however many sockets are open.
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

// Told about the readiness of one descriptor. aEvents: EPOLLIN, EPOLLOUT, EPOLLHUP, ...
class io_handler
{
public:
  virtual ~io_handler() = default;
  virtual void OnReady(uint32_t aEvents) = 0;
};

// Calls back once after a deadline. Destroying it cancels it.
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

  // Watches for aEvents (EPOLLIN, EPOLLOUT), level-triggered. Returns the token for the calls
  // below.
  uint64_t Watch(int aFd, uint32_t aEvents, io_handler* aHandler);
  void Rewatch(int aFd, uint32_t aEvents, uint64_t aToken);
  // Call before closing the descriptor. No event is delivered afterwards, also in the current turn.
  void Unwatch(int aFd, uint64_t aToken);

  // Runs the callback at the end of this turn.
  void Defer(std::function<void()> aCallback);

  common::boot_time Now() const { return common::boot_clock::now(); }
  void Run();
  void Quit();

private:
  friend class loop_timer;

  static constexpr size_t kMaxEvents = 128;

  struct watched
  {
    io_handler* handler = nullptr;
    uint32_t generation = 0;
  };

  static gboolean OnPrepare(GSource* aSource, gint* aTimeout);
  static gboolean OnCheck(GSource* aSource);
  static gboolean OnDispatch(GSource* aSource, GSourceFunc aCallback, gpointer aData);
  // Replaces poll(): waits on the epoll descriptor alone, which also holds GLib's wake-up
  // descriptor.
  static gint Poll(GPollFD* aFds, guint aCount, gint aTimeout);

  gint Wait(GPollFD* aFds, guint aCount, gint aTimeout);
  void Dispatch();
  void RunTimers();
  void RunDeferred();
  gint TimeoutMs() const;

  GMainContext* mContext;
  GMainLoop* mMainLoop;
  GSource* mSource;
  int mEpoll;
  int mWakeUpFd = -1;
  int mEventCount = 0;
  std::array<epoll_event, kMaxEvents> mEvents{};
  std::vector<watched> mWatched;
  std::vector<uint32_t> mFreeSlots;
  boost::intrusive::multiset<loop_timer> mTimers;
  std::vector<std::function<void()>> mDeferred;
};

} // namespace bamboograde::connection::http
