// Main loop on the test's thread, for tests of the libsoup client and server.
#pragma once

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/timer.h"

#include <criterion/criterion.h>

namespace bamboograde::tests {

constexpr common::milliseconds kTestTimeout{ 5000 };

class loop_fixture
{
public:
  loop_fixture()
    : mLoop(g_main_loop_new(nullptr, FALSE))
  {
  }
  ~loop_fixture() { g_main_loop_unref(mLoop); }
  loop_fixture(const loop_fixture&) = delete;
  loop_fixture& operator=(const loop_fixture&) = delete;

  // Sends a request and runs the loop until its callback has run.
  connection::http_result Send(connection::http_client& aClient,
                               const connection::http_request& aRequest,
                               common::milliseconds aTimeout = kTestTimeout)
  {
    connection::http_result result;
    aClient.Send(aRequest, mClock.Now() + aTimeout, mClock.Now(),
                 [&](connection::http_result aResult) {
                   result = std::move(aResult);
                   g_main_loop_quit(mLoop);
                 });
    g_main_loop_run(mLoop);
    return result;
  }

  GMainLoop* Loop() const { return mLoop; }
  const common::clock_source& Clock() const { return mClock; }

private:
  GMainLoop* mLoop;
  common::system_clock_source mClock;
};

} // namespace bamboograde::tests
