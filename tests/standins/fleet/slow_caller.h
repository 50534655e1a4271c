// A caller with small buffers that sends one request and reads its response slowly.
#pragma once

#include "connection/http/tcp_stream.h"

#include <criterion/criterion.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboograde::tests {

class slow_caller
{
public:
  // Reads aRate bytes every 20 ms.
  slow_caller(connection::http::event_loop& aLoop, const common::endpoint& aDaemon,
              const std::string& aRequest, size_t aRate)
    : mLoop(aLoop)
    , mPiece(aRate, '\0')
    , mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , mTimer(aLoop, [this] { Read(); })
  {
    int bufferBytes = 16384;
    int segmentBytes = 1448;
    setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    setsockopt(mFd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    auto address = connection::http::ParseEndpoint(aDaemon);
    cr_assert_eq(connect(mFd, reinterpret_cast<sockaddr*>(&*address), sizeof(*address)), 0);
    cr_assert_eq(send(mFd, aRequest.data(), aRequest.size(), MSG_NOSIGNAL),
                 ssize_t(aRequest.size()));
    mTimer.Arm(aLoop.Now() + kPeriod);
  }
  ~slow_caller() { close(mFd); }
  slow_caller(const slow_caller&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;

  const std::string& Received() const { return mReceived; }
  bool Ended() const { return mEnded; }

private:
  void Read()
  {
    ssize_t count = recv(mFd, mPiece.data(), mPiece.size(), MSG_DONTWAIT);
    mReceived.append(mPiece, 0, size_t(std::max<ssize_t>(count, 0)));
    mEnded = count == 0 || (count < 0 && errno != EAGAIN);
    if (!mEnded) {
      mTimer.Arm(mLoop.Now() + kPeriod);
    }
  }

  static constexpr common::milliseconds kPeriod{ 20 };

  connection::http::event_loop& mLoop;
  std::string mReceived;
  std::string mPiece;
  int mFd;
  bool mEnded = false;
  connection::http::loop_timer mTimer;
};

} // namespace bamboograde::tests
