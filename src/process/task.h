// A thread with a GLib main context and main loop of its own. The sockets and the state of a task
// are used on its thread alone.
#pragma once

#include <functional>
#include <glib.h>
#include <string>
#include <thread>

namespace bamboograde::process {

class task
{
public:
  explicit task(std::string aName);
  ~task();
  task(const task&) = delete;
  task& operator=(const task&) = delete;

  // Starts the thread, which runs aSetUp, then the main loop until Stop(), then aTearDown. Returns
  // when aSetUp has returned.
  void Start(std::function<void()> aSetUp, std::function<void()> aTearDown);
  // Ends the loop and waits for the thread to end. Must not be called on the task's own thread;
  // further calls do nothing.
  void Stop();
  GMainContext* Context() const { return mContext; }

private:
  std::string mName;
  GMainContext* mContext;
  GMainLoop* mLoop;
  std::thread mThread;
};

} // namespace bamboograde::process
