// Event loop with raw sockets as peers, for tests that check the bytes sent and received.
#pragma once

#include "connection/http/client_pool.h"
#include "connection/http/server_connection.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboograde::tests {

class http_fixture
{
public:
  connection::http::event_loop& Loop() { return mLoop; }

  void RunFor(common::milliseconds aTime)
  {
    connection::http::loop_timer end(mLoop, [this] { mLoop.Quit(); });
    end.Arm(mLoop.Now() + aTime);
    mLoop.Run();
  }

  // Serves one end of a socket pair and returns the other end.
  int Serve(connection::http::exchange_handler& aHandler)
  {
    int ends[2];
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    connection::http::server_connection::Serve(mLoop, aHandler, ends[0]);
    return ends[1];
  }

  static void Send(int aFd, std::string_view aBytes)
  {
    cr_assert_eq(write(aFd, aBytes.data(), aBytes.size()), ssize_t(aBytes.size()));
  }

  // Reads all bytes that are available. aEnded: whether the server has closed the connection.
  static std::string Receive(int aFd, bool* aEnded = nullptr)
  {
    std::string text;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = read(aFd, buffer, sizeof(buffer))) > 0) {
      text.append(buffer, size_t(count));
    }
    if (aEnded != nullptr) {
      *aEnded = count == 0;
    }
    return text;
  }

private:
  connection::http::event_loop mLoop;
};

} // namespace bamboograde::tests
