#include "process/sidecar/signal_watch.h"

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace bamboograde::process::sidecar {

namespace {

constexpr int kSignals[] = { SIGTERM, SIGINT, SIGHUP };

// Write end of the pipe; the signal handler may only call async-signal-safe functions.
int gSignalPipe = -1;

void OnSignal(int aSignal)
{
  char byte = char(aSignal);
  [[maybe_unused]] ssize_t written = write(gSignalPipe, &byte, 1);
}

void ChangeMask(int aHow)
{
  sigset_t set;
  sigemptyset(&set);
  for (int number : kSignals) {
    sigaddset(&set, number);
  }
  pthread_sigmask(aHow, &set, nullptr);
}

} // namespace

void signal_watch::Hold()
{
  ChangeMask(SIG_BLOCK);
}

signal_watch::signal_watch(connection::http::event_loop& aLoop)
  : mLoop(aLoop)
{
  if (pipe2(mPipe, O_NONBLOCK | O_CLOEXEC) != 0) {
    ChangeMask(SIG_UNBLOCK);
    return;
  }
  gSignalPipe = mPipe[1];
  mToken = mLoop.Watch(mPipe[0], EPOLLIN, this);
  for (int number : kSignals) {
    struct sigaction action = {};
    action.sa_handler = &OnSignal;
    action.sa_flags = SA_RESTART;
    sigaction(number, &action, nullptr);
  }
  ChangeMask(SIG_UNBLOCK);
}

signal_watch::~signal_watch()
{
  if (mPipe[0] >= 0) {
    mLoop.Unwatch(mPipe[0], mToken);
    gSignalPipe = -1;
    close(mPipe[0]);
    close(mPipe[1]);
  }
}

void signal_watch::OnReady(uint32_t)
{
  char number = 0;
  while (read(mPipe[0], &number, 1) == 1) {
    auto& callback = number == SIGHUP ? mOnReload : mOnTerminate;
    if (callback) {
      callback();
    }
  }
}

} // namespace bamboograde::process::sidecar
