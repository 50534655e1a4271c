#include "standins/fleet/raw_sender.h"

#include "connection/http/tcp_stream.h"

namespace bamboograde::tests {

namespace {

constexpr char kHeadEnd[] = "\r\n\r\n";

// Value of a header in the text of a message; empty if there is none.
std::string HeaderIn(const std::string& aText, const std::string& aName)
{
  size_t at = aText.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return "";
  }
  at += aName.size() + 4;
  return aText.substr(at, aText.find("\r\n", at) - at);
}

// Answers each request with the bytes of a responder. Deletes itself.
class raw_sender : public connection::http::stream_owner
{
public:
  raw_sender(connection::http::event_loop& aLoop, int aFd, raw_responder aResponder)
    : mLoop(aLoop)
    , mResponder(std::move(aResponder))
  {
    mStream = connection::http::tcp_stream::Adopt(aLoop, *this, aFd);
    mStream->Start();
  }
  void OnInput() override
  {
    std::string& input = mStream->Input();
    for (size_t end = input.find(kHeadEnd); end != std::string::npos; end = input.find(kHeadEnd)) {
      std::string length = HeaderIn(input, "Content-Length");
      size_t size = end + sizeof(kHeadEnd) - 1 + (length.empty() ? 0 : std::stoul(length));
      if (input.size() < size) {
        return;
      }
      raw_reply reply = mResponder(HeaderIn(input, "X-Bamboograde-Request-Id"), ++mRequests);
      input.erase(0, size);
      mStream->Write(reply.bytes);
      if (reply.end == raw_reply::ending::kClose) {
        mStream->FinishWriting();
      } else if (reply.end == raw_reply::ending::kReset) {
        // After the bytes have been read.
        mLoop.Defer([this] { mStream->Reset(); });
        mLoop.Defer([this] { delete this; });
        return;
      }
    }
  }
  void OnEnd(connection::http::stream_end) override
  {
    mStream->Close();
    mLoop.Defer([this] { delete this; });
  }

private:
  connection::http::event_loop& mLoop;
  connection::http::tcp_stream_ptr mStream;
  raw_responder mResponder;
  unsigned mRequests = 0;
};

// Sends a start and then the same block again and again, until the caller closes the connection.
// Deletes itself.
class endless_sender : public connection::http::stream_owner
{
public:
  endless_sender(connection::http::event_loop& aLoop, int aFd, std::string aStart,
                 std::string aBlock)
    : mLoop(aLoop)
    , mStart(std::move(aStart))
    , mBlock(std::move(aBlock))
    , mTimer(aLoop, [this] { Send(); })
  {
    mStream = connection::http::tcp_stream::Adopt(aLoop, *this, aFd);
    mStream->Start();
  }
  void OnInput() override
  {
    if (!mStarted) {
      mStarted = true;
      if (size_t at = mStart.find(kIdMark); at != std::string::npos) {
        mStart.replace(at, sizeof(kIdMark) - 1,
                       HeaderIn(mStream->Input(), "X-Bamboograde-Request-Id"));
      }
      mStream->Write(mStart);
      Send();
    }
    mStream->Input().clear();
  }
  void OnEnd(connection::http::stream_end) override
  {
    mTimer.Cancel();
    mStream->Close();
    mLoop.Defer([this] { delete this; });
  }

private:
  void Send()
  {
    if (mStream->PendingBytes() == 0) {
      mStream->Write(mBlock);
    }
    mTimer.Arm(mLoop.Now() + kSendPeriod);
  }

  static constexpr common::microseconds kSendPeriod{ 200 };
  static constexpr char kIdMark[] = "$ID";

  connection::http::event_loop& mLoop;
  connection::http::tcp_stream_ptr mStream;
  std::string mStart;
  std::string mBlock;
  bool mStarted = false;
  connection::http::loop_timer mTimer;
};

} // namespace

void ServeRaw(connection::http::event_loop& aLoop, int aFd, raw_responder aResponder)
{
  new raw_sender(aLoop, aFd, std::move(aResponder));
}

void ServeEndlessly(connection::http::event_loop& aLoop, int aFd, std::string aStart,
                    std::string aBlock)
{
  new endless_sender(aLoop, aFd, std::move(aStart), std::move(aBlock));
}

} // namespace bamboograde::tests
