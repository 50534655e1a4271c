// Connections of a faulty upstream, which writes other bytes than one response to each request.
#pragma once

#include "connection/http/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboograde::tests {

// What an upstream writes in place of a response.
struct raw_reply
{
  std::string bytes;
  enum class ending
  {
    kKeepOpen,
    kClose,
    kReset,
  };
  ending end = ending::kKeepOpen;
};

// aId: id of the request; aNumber: counts the requests on its connection from 1.
using raw_responder = std::function<raw_reply(const std::string& aId, unsigned aNumber)>;

// Serves one accepted connection, which answers each request with the bytes of the responder.
void ServeRaw(connection::http::event_loop& aLoop, int aFd, raw_responder aResponder);

// Serves one accepted connection. It sends aStart, in which "$ID" stands for the id of the first
// request, and then aBlock without end, until the caller closes the connection.
void ServeEndlessly(connection::http::event_loop& aLoop, int aFd, std::string aStart,
                    std::string aBlock);

// Answers a request as soon as its head has arrived, and reads nothing of its body.
class early_responder
{
public:
  // aStart: as for ServeEndlessly(). Connections stay open until End().
  early_responder(connection::http::event_loop& aLoop, std::string aStart);
  ~early_responder();
  early_responder(const early_responder&) = delete;
  early_responder& operator=(const early_responder&) = delete;
  void Serve(int aFd);
  // Number of requests that were answered.
  size_t Responses() const { return mResponses; }
  // Shuts down the sending side of all connections, or resets them.
  void End(raw_reply::ending aEnding);

private:
  class early_sender;

  connection::http::event_loop& mLoop;
  std::string mStart;
  std::vector<std::unique_ptr<early_sender>> mSenders;
  size_t mResponses = 0;
};

} // namespace bamboograde::tests
