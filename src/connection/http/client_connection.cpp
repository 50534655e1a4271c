#include "connection/http/client_connection.h"

#include <algorithm>
#include <charconv>

namespace bamboograde::connection::http {

namespace {

// Kept connections are dropped after this long without use, before common servers do (10 s and
// more).
constexpr common::milliseconds kMaxIdle{ 8000 };
// How long before a time-out that the server announces its connection is given up.
constexpr common::milliseconds kIdleMargin{ 1000 };
constexpr uint32_t kMaxResponseHeader = 64 * 1024;
constexpr int kContinueStatus = 100;
constexpr int kFirstFinalStatus = 200;

// The idle time that "Keep-Alive: timeout=N" allows.
common::milliseconds AllowedIdle(const response_head& aHead)
{
  const std::string* text = aHead.headers.Find("Keep-Alive");
  size_t at = text == nullptr ? std::string::npos : text->find("timeout=");
  if (at == std::string::npos) {
    return kMaxIdle;
  }
  unsigned seconds = 0;
  const char* begin = text->data() + at + sizeof("timeout=") - 1;
  auto [stop, code] = std::from_chars(begin, text->data() + text->size(), seconds);
  if (code != std::errc()) {
    return kMaxIdle;
  }
  return std::clamp(common::milliseconds(common::seconds(seconds)) - kIdleMargin,
                    common::milliseconds(0), kMaxIdle);
}

} // namespace

client_connection::client_connection(event_loop& aLoop, client_pool& aPool,
                                     const common::endpoint& aTarget)
  : mLoop(aLoop)
  , mPool(&aPool)
  , mTarget(aTarget)
  , mConnectTimer(aLoop, [this] {
    boost::intrusive_ptr<client_connection> self(this);
    Fail("connect timed out", false);
  })
{
  mStream = tcp_stream::Connect(aLoop, *this, aTarget);
}

void client_connection::Begin(const client_call_ptr& aCall, const request_head& aHead,
                              std::string_view aBody, bool aBodyDone, common::boot_time aConnectBy)
{
  mCall = aCall;
  mCall->mConnection = this;
  mParser =
    std::make_unique<response_parser>(parse_limits{ kMaxResponseHeader, 0 }, aCall->mToHead);
  mForeign = false;
  mRequestDone = false;
  std::string message = SerializeRequest(aHead);
  if (!aBody.empty() && aCall->mFraming == body_framing::kChunked) {
    AppendChunk(&message, aBody);
  } else {
    message.append(aBody);
  }
  if (aBodyDone) {
    mRequestDone = true;
    if (aCall->mFraming == body_framing::kChunked) {
      message.append(kLastChunk);
    }
  }
  mSentBefore = mStream->SentBytes();
  if (!mStream->Connected()) {
    mConnectTimer.Arm(aConnectBy);
  }
  mStream->Write(message);
}

void client_connection::SendBody(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (mCall->mFraming != body_framing::kChunked) {
    mStream->Write(aBytes);
    return;
  }
  std::string chunk;
  AppendChunk(&chunk, aBytes);
  mStream->Write(chunk);
}

void client_connection::FinishBody()
{
  mRequestDone = true;
  if (mCall->mFraming == body_framing::kChunked) {
    mStream->Write(kLastChunk);
  }
}

void client_connection::OnConnected()
{
  mConnectTimer.Cancel();
  ++mPool->mConnects;
  // What Begin() has queued is written when the stream reports that it is writable.
}

void client_connection::OnInput()
{
  boost::intrusive_ptr<client_connection> self(this);
  if (mCall == nullptr) {
    // Bytes without a request: they belong to nobody.
    Shut();
    return;
  }
  std::string& input = mStream->Input();
  size_t used = 0;
  while (mCall != nullptr && mParser != nullptr && used < input.size()) {
    size_t taken = 0;
    parse_status status = mParser->Feed(std::string_view(input).substr(used), *this, &taken);
    used += taken;
    if (status == parse_status::kNeedMore) {
      break;
    }
    if (status != parse_status::kComplete) {
      if (mCall != nullptr) {
        Fail("response is not HTTP", false);
      }
      return;
    }
    if (mCall == nullptr) {
      break;
    }
    mTainted = mTainted || (!mForeign && !mInformational && used < input.size());
    input.erase(0, used);
    used = 0;
    OnMessageEnd();
  }
  if (!mStream->Closed()) {
    input.erase(0, std::min(used, input.size()));
  }
}

void client_connection::OnHead()
{
  response_head& head = mParser->Head();
  mInformational = head.status >= kContinueStatus && head.status < kFirstFinalStatus;
  if (mInformational || mCall == nullptr) {
    return;
  }
  mForeign = !mCall->mObserver->IsOwnResponse(head);
  mTainted = mTainted || mForeign;
  if (mForeign) {
    return;
  }
  mIdleUntil = mLoop.Now() + AllowedIdle(head);
  if (!head.keepAlive || head.body.framing == body_framing::kUntilClose) {
    mTainted = true;
  }
  mCall->mObserver->OnCallHead(head);
}

void client_connection::OnBody(std::string_view aBytes)
{
  if (mCall != nullptr && !mForeign && !mInformational) {
    mCall->mObserver->OnCallBody(aBytes);
  }
}

void client_connection::OnMessageEnd()
{
  if (mInformational || mForeign) {
    mParser =
      std::make_unique<response_parser>(parse_limits{ kMaxResponseHeader, 0 }, mCall->mToHead);
    mForeign = false;
    mInformational = false;
    return;
  }
  // A response before the end of the request leaves the connection out of step.
  bool keep = !mTainted && mRequestDone && mStream->Pending() == 0;
  client_call_ptr call;
  call.swap(mCall);
  call->mConnection = nullptr;
  mParser.reset();
  KeepOrClose(keep);
  call->mObserver->OnCallEnd();
}

void client_connection::KeepOrClose(bool aKeep)
{
  if (aKeep && mPool != nullptr) {
    mStream->ResumeReading();
    mPool->OnIdle(*this);
  } else {
    Shut();
  }
}

void client_connection::OnWritable()
{
  if (mCall != nullptr) {
    mCall->mObserver->OnCallWritable();
  }
}

void client_connection::OnEnd(stream_end aEnd)
{
  boost::intrusive_ptr<client_connection> self(this);
  if (mCall == nullptr) {
    Shut();
    return;
  }
  if (!mStream->Connected()) {
    Fail("connect failed", true);
    return;
  }
  bool complete = aEnd == stream_end::kEof && mParser != nullptr && mParser->HeadDone() &&
                  !mForeign && mParser->CompleteAtEof();
  if (complete) {
    mTainted = true;
    OnMessageEnd();
    return;
  }
  Fail(mParser != nullptr && mParser->HeadDone() ? "response was cut off"
                                                 : "closed before the response",
       aEnd == stream_end::kError);
}

void client_connection::Fail(const char* aReason, bool aRefused)
{
  call_error error;
  error.failure = HasSent() ? call_failure::kUnknown : call_failure::kNotSent;
  error.reason = aReason;
  error.refused = aRefused;
  client_call_ptr call;
  call.swap(mCall);
  Shut();
  if (call != nullptr) {
    call->mConnection = nullptr;
    call->mObserver->OnCallFailed(error);
  }
}

void client_connection::Cancel()
{
  if (mCall != nullptr) {
    mCall->mConnection = nullptr;
    mCall.reset();
  }
  Shut();
}

void client_connection::CloseIdle()
{
  mPool = nullptr;
  mConnectTimer.Cancel();
  mStream->Close();
}

void client_connection::Shut()
{
  mConnectTimer.Cancel();
  mStream->Close();
  if (mPool != nullptr) {
    client_pool* pool = mPool;
    mPool = nullptr;
    pool->OnClosed(*this);
  }
}

} // namespace bamboograde::connection::http
