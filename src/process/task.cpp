#include "process/task.h"

#include <future>
#include <pthread.h>

namespace bamboograde::process {

task::task(std::string aName)
  : mName(std::move(aName))
  , mContext(g_main_context_new())
  , mLoop(g_main_loop_new(mContext, FALSE))
{
}

task::~task()
{
  Stop();
  g_main_loop_unref(mLoop);
  g_main_context_unref(mContext);
}

void task::Start(std::function<void()> aSetUp, std::function<void()> aTearDown)
{
  std::promise<void> setUpDone;
  std::future<void> waitForSetUp = setUpDone.get_future();
  mThread = std::thread(
    [this, setUp = std::move(aSetUp), tearDown = std::move(aTearDown), &setUpDone]() mutable {
      pthread_setname_np(pthread_self(), mName.substr(0, 15).c_str());
      g_main_context_push_thread_default(mContext);
      setUp();
      setUpDone.set_value();
      g_main_loop_run(mLoop);
      tearDown();
      g_main_context_pop_thread_default(mContext);
    });
  waitForSetUp.wait();
}

void task::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  // Called directly, g_main_loop_quit() would have no effect if the thread has not entered the
  // loop.
  g_main_context_invoke(
    mContext,
    [](gpointer aLoop) -> gboolean {
      g_main_loop_quit(static_cast<GMainLoop*>(aLoop));
      return G_SOURCE_REMOVE;
    },
    mLoop);
  mThread.join();
}

} // namespace bamboograde::process
