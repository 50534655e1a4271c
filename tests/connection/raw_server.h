// TCP server on a thread of its own. The test provides the function that handles each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bamboograde::tests {

class raw_server
{
public:
  // aServe handles one accepted connection; the connection is closed afterwards.
  explicit raw_server(std::function<void(int aFd)> aServe)
    : mServe(std::move(aServe))
    , mListener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)bind(mListener, reinterpret_cast<sockaddr*>(&address), size);
    listen(mListener, 16);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Run(); });
  }
  ~raw_server()
  {
    shutdown(mListener, SHUT_RDWR);
    close(mListener);
    mThread.join();
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  std::string Authority() const { return "127.0.0.1:" + std::to_string(mPort); }
  int Accepted() const { return mAccepted; }

  // Reads one request without a body. Returns false if the connection ends first.
  static bool ReadRequest(int aFd)
  {
    std::string text;
    char byte = 0;
    while (text.find("\r\n\r\n") == std::string::npos) {
      if (recv(aFd, &byte, 1, 0) <= 0) {
        return false;
      }
      text.push_back(byte);
    }
    return true;
  }
  static void Write(int aFd, const std::string& aText)
  {
    send(aFd, aText.data(), aText.size(), MSG_NOSIGNAL);
  }

private:
  void Run()
  {
    for (;;) {
      int fd = accept(mListener, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      ++mAccepted;
      mServe(fd);
      close(fd);
    }
  }

  std::function<void(int)> mServe;
  int mListener;
  int mPort = 0;
  std::atomic<int> mAccepted{ 0 };
  std::thread mThread;
};

} // namespace bamboograde::tests
