#include "connection/http/client_connection.h"

#include <algorithm>
#include <charconv>

namespace bamboograde::connection::http {

namespace {

// Idle connections are closed after this time, which is shorter than the idle timeout of common
// servers (10 s and more). This avoids sending a request while the server closes the connection.
constexpr common::milliseconds kMaxIdleTime{ 8000 };
// How long before the idle timeout announced by the server a connection is no longer reused.
constexpr common::milliseconds kIdleTimeoutMargin{ 1000 };
constexpr uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// Maximum size of the informational and skipped responses before the response to a call.
constexpr size_t kMaxForeignBytes = size_t(1024) * 1024;
constexpr char kConnectTimedOut[] = "connect timed out";
constexpr int kContinueStatus = 100;
constexpr int kFirstFinalStatus = 200;

// How long the connection may stay idle, from "Keep-Alive: timeout=N" if the server sent it.
common::milliseconds IdleTimeout(const response_head& aHead)
{
  const std::string* text = aHead.headers.Find("Keep-Alive");
  size_t at = text == nullptr ? std::string::npos : text->find("timeout=");
  if (at == std::string::npos) {
    return kMaxIdleTime;
  }
  unsigned seconds = 0;
  const char* begin = text->data() + at + sizeof("timeout=") - 1;
  auto [stop, code] = std::from_chars(begin, text->data() + text->size(), seconds);
  if (code != std::errc()) {
    return kMaxIdleTime;
  }
  return std::clamp(common::milliseconds(common::seconds(seconds)) - kIdleTimeoutMargin,
                    common::milliseconds(0), kMaxIdleTime);
}

} // namespace

client_connection::client_connection(event_loop& aLoop, client_pool& aPool,
                                     const common::endpoint& aTarget)
  : mLoop(aLoop)
  , mPool(&aPool)
  , mTarget(aTarget)
  , mConnectTimer(aLoop, [this] {
    boost::intrusive_ptr<client_connection> self(this);
    Fail(kConnectTimedOut);
  })
{
  mStream = tcp_stream::Connect(aLoop, *this, aTarget);
}

void client_connection::StartCall(const client_call_ptr& aCall, const request_head& aHead,
                                  std::string_view aBody, bool aBodyComplete,
                                  common::boot_time aConnectDeadline)
{
  mCall = aCall;
  mCall->mConnection = this;
  mParser = std::make_unique<response_parser>(parse_limits{ kMaxResponseHeaderBytes, 0 },
                                              aCall->mIsHeadRequest);
  mSkipsResponse = false;
  mForeignBytes = 0;
  mRequestComplete = false;
  std::string message = SerializeRequest(aHead);
  if (!aBody.empty() && aCall->mFraming == body_framing::kChunked) {
    AppendChunk(&message, aBody);
  } else {
    message.append(aBody);
  }
  if (aBodyComplete) {
    mRequestComplete = true;
    if (aCall->mFraming == body_framing::kChunked) {
      message.append(kLastChunk);
    }
  }
  mSentBytesAtStart = mStream->SentBytes();
  if (!mStream->Connected()) {
    mConnectTimer.Arm(aConnectDeadline);
  }
  mStream->Write(message);
}

void client_connection::SendBy(common::boot_time aDeadline)
{
  if (mStream->Connected()) {
    return;
  }
  mSendBy = std::min(mSendBy, aDeadline);
  if (mSendBy < mConnectTimer.Deadline()) {
    mConnectTimer.Arm(mSendBy);
  }
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
  mRequestComplete = true;
  if (mCall->mFraming == body_framing::kChunked) {
    mStream->Write(kLastChunk);
  }
}

void client_connection::OnConnected()
{
  mConnectTimer.Cancel();
  // In an iteration of the loop the events come before the timers, so the timer may be due as well.
  if (mLoop.Now() >= mSendBy) {
    Fail(kConnectTimedOut);
    return;
  }
  ++mPool->mConnects;
  // The stream sends what StartCall() has buffered when the socket is writable.
}

void client_connection::OnInput()
{
  boost::intrusive_ptr<client_connection> self(this);
  if (mCall == nullptr) {
    // Input without a request in progress can not be matched to any call.
    CloseAndDetach();
    return;
  }
  std::string& input = mStream->Input();
  size_t used = 0;
  while (mCall != nullptr && mParser != nullptr && used < input.size()) {
    size_t taken = 0;
    parse_status status = mParser->Feed(std::string_view(input).substr(used), *this, &taken);
    used += taken;
    mForeignBytes += mSkipsResponse || mInformational ? taken : 0;
    if (mCall != nullptr && mForeignBytes > kMaxForeignBytes) {
      Fail("too many bytes before the response");
      return;
    }
    if (status == parse_status::kNeedMore) {
      break;
    }
    if (status != parse_status::kComplete) {
      if (mCall != nullptr) {
        Fail("response is not HTTP");
      }
      return;
    }
    if (mCall == nullptr) {
      break;
    }
    mNotReusable = mNotReusable || (!mSkipsResponse && !mInformational && used < input.size());
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
  mSkipsResponse = !mCall->mObserver->IsOwnResponse(head);
  mNotReusable = mNotReusable || mSkipsResponse;
  if (mSkipsResponse) {
    return;
  }
  mReusableUntil = mLoop.Now() + IdleTimeout(head);
  if (!head.keepAlive || head.body.framing == body_framing::kUntilClose) {
    mNotReusable = true;
  }
  mCall->mObserver->OnCallHead(head);
}

void client_connection::OnBody(std::string_view aBytes)
{
  if (mCall != nullptr && !mSkipsResponse && !mInformational) {
    mCall->mObserver->OnCallBody(aBytes);
  }
}

void client_connection::OnMessageEnd()
{
  if (mInformational || mSkipsResponse) {
    mParser = std::make_unique<response_parser>(parse_limits{ kMaxResponseHeaderBytes, 0 },
                                                mCall->mIsHeadRequest);
    mSkipsResponse = false;
    mInformational = false;
    return;
  }
  // If the response came before the request was sent completely, the rest of the request would
  // precede the next one, so the connection is not reused.
  bool reusable = !mNotReusable && mRequestComplete && mStream->PendingBytes() == 0;
  client_call_ptr call;
  call.swap(mCall);
  call->mConnection = nullptr;
  mParser.reset();
  ReturnToPoolOrClose(reusable);
  call->mObserver->OnCallEnd();
}

void client_connection::ReturnToPoolOrClose(bool aReusable)
{
  if (aReusable && mPool != nullptr) {
    mStream->ResumeReading();
    mPool->OnIdle(*this);
  } else {
    CloseAndDetach();
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
    client_pool* pool = mPool;
    CloseAndDetach();
    if (pool != nullptr && pool->mOnDisconnected) {
      pool->mOnDisconnected();
    }
    return;
  }
  if (!mStream->Connected()) {
    FailDisconnected("connect failed", true);
    return;
  }
  bool complete = aEnd == stream_end::kEof && mParser != nullptr && mParser->HeadComplete() &&
                  !mSkipsResponse && mParser->CompleteAtEof();
  if (complete) {
    mNotReusable = true;
    OnMessageEnd();
    return;
  }
  FailDisconnected(mParser != nullptr && mParser->HeadComplete() ? "response was cut off"
                                                                 : "closed before the response",
                   aEnd == stream_end::kError);
}

void client_connection::Fail(const char* aReason)
{
  call_error error;
  error.reason = aReason;
  End(error);
}

void client_connection::FailDisconnected(const char* aReason, bool aRefused)
{
  call_error error;
  error.reason = aReason;
  error.refused = aRefused;
  error.disconnected = true;
  End(error);
}

void client_connection::End(call_error aError)
{
  aError.failure = HasSentBytes() ? call_failure::kUnknown : call_failure::kNotSent;
  client_call_ptr call;
  call.swap(mCall);
  CloseAndDetach();
  if (call != nullptr) {
    call->mConnection = nullptr;
    call->mObserver->OnCallFailed(aError);
  }
}

void client_connection::Cancel()
{
  if (mCall != nullptr) {
    mCall->mConnection = nullptr;
    mCall.reset();
  }
  CloseAndDetach();
}

void client_connection::CloseIdle()
{
  mPool = nullptr;
  mConnectTimer.Cancel();
  mStream->Close();
}

void client_connection::CloseAndDetach()
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
