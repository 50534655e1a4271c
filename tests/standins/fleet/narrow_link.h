// Stand-in for a narrow network link in front of a daemon: a relay of its connections, which share
// one rate in each direction in first-come order.
#pragma once

#include "connection/http/tcp_stream.h"

#include <deque>
#include <memory>
#include <vector>

namespace bamboograde::tests {

class narrow_link
{
public:
  // aRate: bytes per second of each direction.
  narrow_link(connection::http::event_loop& aLoop, size_t aRate);
  ~narrow_link();
  narrow_link(const narrow_link&) = delete;
  narrow_link& operator=(const narrow_link&) = delete;
  // Connections to aFrom lead to aTo from now on.
  common::result<void> Join(const common::endpoint& aFrom, const common::endpoint& aTo);

private:
  class connection_end;

  // Bytes on their way from one end of a connection to the other.
  struct piece
  {
    connection_end* sender;
    std::string bytes;
    common::boot_time arrivesAt;
  };

  class direction
  {
  public:
    direction(connection::http::event_loop& aLoop, size_t aRate);
    // No bytes: the sender has ended its connection.
    void Send(connection_end* aSender, std::string aBytes);

  private:
    void Deliver();

    connection::http::event_loop& mLoop;
    size_t mRate;
    common::boot_time mFreeAt;
    std::deque<piece> mPieces;
    connection::http::loop_timer mTimer;
  };

  void Accept(int aFd, const common::endpoint& aTo);

  connection::http::event_loop& mLoop;
  direction mInward;
  direction mOutward;
  // Kept after they have ended, since pieces may name them.
  std::vector<std::unique_ptr<connection_end>> mEnds;
  std::vector<std::unique_ptr<connection::http::tcp_listener>> mListeners;
};

} // namespace bamboograde::tests
