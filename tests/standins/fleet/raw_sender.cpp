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

// Replaces the mark in aStart by the id of the request in aText.
std::string WithId(std::string aStart, const std::string& aText)
{
  constexpr char kIdMark[] = "$ID";
  if (size_t at = aStart.find(kIdMark); at != std::string::npos) {
    aStart.replace(at, sizeof(kIdMark) - 1, HeaderIn(aText, "X-Bamboograde-Request-Id"));
  }
  return aStart;
}

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
      mStream->Write(WithId(mStart, mStream->Input()));
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

  connection::http::event_loop& mLoop;
  connection::http::tcp_stream_ptr mStream;
  std::string mStart;
  std::string mBlock;
  bool mStarted = false;
  connection::http::loop_timer mTimer;
};

} // namespace

class early_responder::early_sender : public connection::http::stream_owner
{
public:
  early_sender(early_responder& aResponder, int aFd)
    : mResponder(aResponder)
  {
    mStream = connection::http::tcp_stream::Adopt(aResponder.mLoop, *this, aFd);
    mStream->Start();
  }
  void OnInput() override
  {
    if (mStream->Input().find(kHeadEnd) == std::string::npos) {
      return;
    }
    ++mResponder.mResponses;
    mStream->PauseReading();
    mStream->Write(WithId(mResponder.mStart, mStream->Input()));
  }
  void OnEnd(connection::http::stream_end) override { mStream->Close(); }
  void End(raw_reply::ending aEnding)
  {
    if (aEnding == raw_reply::ending::kReset) {
      mStream->Reset();
    } else {
      mStream->FinishWriting();
    }
  }

private:
  early_responder& mResponder;
  connection::http::tcp_stream_ptr mStream;
};

early_responder::early_responder(connection::http::event_loop& aLoop, std::string aStart)
  : mLoop(aLoop)
  , mStart(std::move(aStart))
{
}

early_responder::~early_responder()
{
  End(raw_reply::ending::kReset);
}

void early_responder::Serve(int aFd)
{
  mSenders.push_back(std::make_unique<early_sender>(*this, aFd));
}

void early_responder::End(raw_reply::ending aEnding)
{
  for (const auto& sender : mSenders) {
    sender->End(aEnding);
  }
}

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
