#include "connection/http/server_connection.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace bamboograde::connection::http {

namespace {

// Maximum number of requests in progress on one connection. At this number, input is neither parsed
// nor read, so that TCP flow control slows the caller down.
constexpr size_t kMaxPipelinedRequests = 32;
// How long input is discarded after the last response was delivered. Closing a socket with unread
// input resets the connection, which could keep the caller from reading that response.
constexpr common::milliseconds kLingerTime{ 1000 };
// Minimum interval at which the timer checks a connection, so that busy connections cost little.
constexpr common::milliseconds kMinTimerDelay{ 100 };
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

size_t exchange_handler::UndeliveredConnections()
{
  size_t count = 0;
  for (open_connection& connection : mConnections) {
    count += connection.HasUndeliveredOutput() ? 1 : 0;
  }
  return count;
}

server_exchange::server_exchange(server_connection* aConnection, request_head aHead)
  : mConnection(aConnection)
  , mHead(std::move(aHead))
{
}

std::string server_exchange::TakeBody()
{
  std::string bytes;
  bytes.swap(mBody);
  if (mConnection != nullptr && !mBodyComplete) {
    mConnection->UpdateReading();
  }
  return bytes;
}

void server_exchange::Respond(response_head aHead, std::string_view aBody)
{
  aHead.body = { body_framing::kLength, aBody.size() };
  server_exchange_ptr self(this);
  StartResponse(std::move(aHead));
  SendBody(aBody);
  FinishResponse();
}

void server_exchange::StartResponse(response_head aHead)
{
  mStarted = true;
  if (mConnection == nullptr) {
    return;
  }
  if (aHead.body.framing == body_framing::kUntilClose) {
    aHead.body.framing = body_framing::kChunked;
  }
  mFraming = aHead.body.framing;
  // The connection also closes if the request's body is incomplete, because its rest would be
  // parsed as the next request.
  bool ends =
    !mBodyComplete || mConnection->mLastRequestReceived || mConnection->mHandler.Limits().closing;
  mClosesConnection = mClosesConnection || (ends && mConnection->IsLast(*this));
  mConnection->mLastRequestReceived = mConnection->mLastRequestReceived || mClosesConnection;
  QueueOutput(SerializeResponse(aHead, mClosesConnection));
}

void server_exchange::SendBody(std::string_view aBytes)
{
  if (mConnection == nullptr || aBytes.empty() || mHead.method == "HEAD") {
    return;
  }
  if (mFraming != body_framing::kChunked) {
    QueueOutput(aBytes);
    return;
  }
  std::string chunk;
  AppendChunk(&chunk, aBytes);
  QueueOutput(chunk);
}

void server_exchange::FinishResponse()
{
  if (mConnection == nullptr || mFinished) {
    mFinished = true;
    return;
  }
  if (mFraming == body_framing::kChunked && mHead.method != "HEAD") {
    QueueOutput(kLastChunk);
  }
  mFinished = true;
  mObserver = nullptr;
  mConnection->OnFinished();
}

void server_exchange::Withdraw()
{
  mStarted = false;
  mClosesConnection = false;
  mPendingOutput.clear();
}

void server_exchange::Abort()
{
  mObserver = nullptr;
  if (mConnection == nullptr) {
    return;
  }
  if (mConnection->IsFront(*this)) {
    mConnection->OnAbort();
    return;
  }
  // The connection ends in place of this response.
  Withdraw();
  mStarted = true;
  mFinished = true;
  mClosesConnection = true;
}

bool server_exchange::Congested() const
{
  return mConnection != nullptr &&
         (mConnection->mStream->PendingBytes() > tcp_stream::kHighWaterMarkBytes || OutputIsFull());
}

bool server_exchange::OutputIsFull() const
{
  return mPendingOutput.size() > tcp_stream::kHighWaterMarkBytes;
}

void server_exchange::QueueOutput(std::string_view aBytes)
{
  if (mConnection != nullptr) {
    mConnection->OnOutput(*this, aBytes);
  }
}

server_connection::server_connection(event_loop& aLoop, exchange_handler& aHandler)
  : mLoop(aLoop)
  , mHandler(aHandler)
  , mTimer(aLoop, [this] { OnTimer(); })
  , mTimeoutStart(aLoop.Now())
{
}

void server_connection::Serve(event_loop& aLoop, exchange_handler& aHandler, int aFd)
{
  boost::intrusive_ptr<server_connection> self(new server_connection(aLoop, aHandler));
  self->mSelf = self;
  self->mStream = tcp_stream::Adopt(aLoop, *self, aFd);
  aHandler.Add(*self);
  self->mTimer.Arm(self->TimerDeadline());
  self->mStream->Start();
}

void server_connection::OnInput()
{
  boost::intrusive_ptr<server_connection> self(this);
  if (mLingering) {
    mStream->Input().clear();
    return;
  }
  Parse();
}

void server_connection::Parse()
{
  if (mParsing) {
    return;
  }
  mParsing = true;
  std::string& input = mStream->Input();
  size_t used = 0;
  while (!mInputEnded && !mStream->Closed() && used < input.size() && CanParse()) {
    if (mLastRequestReceived && mReceiving == nullptr) {
      mParser.reset();
      mHeadPending = false;
      used = input.size();
      break;
    }
    if (mParser == nullptr) {
      // Empty lines before a request line are ignored (RFC 9112).
      if (input[used] == '\r' || input[used] == '\n') {
        ++used;
        continue;
      }
      mParser = std::make_unique<request_parser>(mHandler.Limits().parse);
      mHeadPending = true;
      mTimeoutStart = mLoop.Now();
    }
    size_t taken = 0;
    std::string_view rest = std::string_view(input).substr(used);
    parse_status status = mParser->Feed(rest, *this, &taken);
    used += taken;
    if (status == parse_status::kNeedMore) {
      if (mHeadPending) {
        mTimer.Arm(mTimeoutStart + mHandler.Limits().headerTimeout);
      }
      break;
    }
    if (status == parse_status::kComplete) {
      OnMessageEnd();
      continue;
    }
    int errorStatus = status == parse_status::kHeaderTooLarge ? 431
                      : status == parse_status::kBodyTooLarge ? 413
                                                              : 400;
    RejectInput(errorStatus);
  }
  mParsing = false;
  if (mInputEnded) {
    input.clear();
  } else {
    input.erase(0, used);
  }
  if (!mStream->Closed()) {
    UpdateReading();
  }
}

void server_connection::OnHead()
{
  mHeadPending = false;
  mReceiving = new server_exchange(this, std::move(mParser->Head()));
  mReceiving->mBodyComplete = mReceiving->Head().body.framing == body_framing::kNone ||
                              (mReceiving->Head().body.framing == body_framing::kLength &&
                               mReceiving->Head().body.length == 0);
  mExchanges.push_back(mReceiving);
  mLastRequestReceived = !mReceiving->Head().keepAlive;
  server_exchange_ptr exchange = mReceiving;
  mHandler.OnRequest(exchange);
  bool sendsContinue = exchange->mHead.expectsContinue && !exchange->mStarted &&
                       !exchange->mBodyComplete && !mExchanges.empty() &&
                       mExchanges.front() == exchange;
  if (sendsContinue) {
    mStream->Write(kContinueResponse);
  }
}

void server_connection::OnBody(std::string_view aBytes)
{
  // The rest of a body is discarded when the response is complete.
  if (mReceiving == nullptr || mReceiving->mFinished) {
    return;
  }
  mReceiving->mBody.append(aBytes);
  if (mReceiving->mObserver != nullptr) {
    mReceiving->mObserver->OnRequestBody();
  }
}

void server_connection::OnMessageEnd()
{
  mParser.reset();
  mTimeoutStart = mLoop.Now();
  server_exchange_ptr received;
  received.swap(mReceiving);
  if (received == nullptr || received->mBodyComplete) {
    return;
  }
  received->mBodyComplete = true;
  if (received->mObserver != nullptr) {
    received->mObserver->OnRequestBody();
  }
}

void server_connection::RejectInput(int aStatus)
{
  mInputEnded = true;
  mParser.reset();
  response_head head;
  head.status = aStatus;
  if (mReceiving != nullptr) {
    // The body is invalid. The error is the response to this request, unless part of one was sent.
    server_exchange_ptr failedExchange;
    failedExchange.swap(mReceiving);
    if (failedExchange->mObserver != nullptr) {
      failedExchange->mObserver->OnCallerDisconnected();
    }
    if (failedExchange->mSent && !failedExchange->mFinished) {
      failedExchange->Abort();
    } else if (!failedExchange->mFinished) {
      failedExchange->mObserver = nullptr;
      failedExchange->Withdraw();
      failedExchange->Respond(head, "");
    }
    return;
  }
  server_exchange_ptr errorExchange(new server_exchange(this, request_head()));
  errorExchange->mClosesConnection = true;
  mExchanges.push_back(errorExchange);
  errorExchange->Respond(head, "");
}

bool server_connection::CanParse() const
{
  bool bodyBufferFull =
    mReceiving != nullptr && mReceiving->mBody.size() > tcp_stream::kHighWaterMarkBytes;
  bool pipelineFull = mReceiving == nullptr && mExchanges.size() >= kMaxPipelinedRequests;
  return !bodyBufferFull && !pipelineFull;
}

void server_connection::UpdateReading()
{
  if (!CanParse()) {
    mParsingPaused = true;
    mStream->PauseReading();
    return;
  }
  mStream->ResumeReading();
  // Parses the input that was received before reading was paused.
  if (mParsingPaused && !mParsing && !mInputEnded) {
    mParsingPaused = false;
    boost::intrusive_ptr<server_connection> self(this);
    mLoop.Defer([self] {
      if (!self->mStream->Closed()) {
        self->Parse();
      }
    });
  }
}

bool server_connection::IsFront(const server_exchange& aExchange) const
{
  return !mExchanges.empty() && mExchanges.front().get() == &aExchange;
}

bool server_connection::IsLast(const server_exchange& aExchange) const
{
  return !mExchanges.empty() && mExchanges.back().get() == &aExchange;
}

void server_connection::OnOutput(server_exchange& aExchange, std::string_view aBytes)
{
  bool nothingQueued = aExchange.mPendingOutput.empty();
  aExchange.mPendingOutput.append(aBytes);
  if (!IsFront(aExchange) || !nothingQueued) {
    return;
  }
  // Written at the end of the loop iteration, so that head and body are sent by one system call.
  server_exchange_ptr exchange(&aExchange);
  boost::intrusive_ptr<server_connection> self(this);
  mLoop.Defer([self, exchange] {
    if (self->IsFront(*exchange) && !self->mStream->Closed()) {
      bool wasFull = exchange->OutputIsFull();
      exchange->mSent = exchange->mSent || !exchange->mPendingOutput.empty();
      self->mStream->Write(exchange->mPendingOutput);
      exchange->mPendingOutput.clear();
      self->NotifyWritable(wasFull);
    }
  });
}

void server_connection::OnFinished()
{
  if (mExchanges.empty() || !mExchanges.front()->mFinished) {
    return;
  }
  boost::intrusive_ptr<server_connection> self(this);
  std::string output;
  bool closesConnection = false;
  while (!mExchanges.empty() && mExchanges.front()->mFinished && !closesConnection) {
    server_exchange_ptr done = mExchanges.front();
    mExchanges.pop_front();
    output.append(done->mPendingOutput);
    done->mPendingOutput.clear();
    done->mConnection = nullptr;
    closesConnection = done->mClosesConnection;
    if (done == mReceiving) {
      mReceiving.reset();
    }
  }
  mFinishedOutputEnd = mStream->SentBytes() + mStream->PendingBytes() + output.size();
  bool frontWasFull = false;
  if (!closesConnection && !mExchanges.empty()) {
    server_exchange& front = *mExchanges.front();
    frontWasFull = front.OutputIsFull();
    front.mSent = !front.mPendingOutput.empty();
    output.append(front.mPendingOutput);
    front.mPendingOutput.clear();
  }
  mStream->Write(output);
  if (closesConnection) {
    CloseAfterOutput();
    return;
  }
  NotifyWritable(frontWasFull);
  mTimeoutStart = mLoop.Now();
  UpdateReading();
}

// Continues the response at the front after its waiting output has been written. The stream itself
// reports only that its own buffer is no longer full.
void server_connection::NotifyWritable(bool aWasFull)
{
  if (!aWasFull || mExchanges.empty() || mExchanges.front()->Congested()) {
    return;
  }
  boost::intrusive_ptr<server_connection> self(this);
  mLoop.Defer([self] {
    if (!self->mStream->Closed()) {
      self->OnWritable();
    }
  });
}

void server_connection::CloseAfterOutput()
{
  mInputEnded = true;
  mHeadPending = false;
  mLingering = true;
  // Requests after the last response are dropped, as if they had not been received.
  for (const server_exchange_ptr& exchange : mExchanges) {
    exchange->mConnection = nullptr;
    if (exchange->mObserver != nullptr) {
      exchange->mObserver->OnCallerDisconnected();
    }
  }
  mExchanges.clear();
  mReceiving.reset();
  mStream->FinishWriting();
  mStream->ResumeReading();
  mTimeoutStart = mLoop.Now();
  mTimer.Arm(mTimeoutStart + kLingerTime);
}

void server_connection::OnAbort()
{
  if (mStream->DeliveredBytes() < mFinishedOutputEnd) {
    // A reset would drop the rest of the earlier responses.
    CloseAfterOutput();
    return;
  }
  mStream->Reset();
  Detach();
}

void server_connection::OnWritable()
{
  if (!mExchanges.empty() && mExchanges.front()->mObserver != nullptr) {
    mExchanges.front()->mObserver->OnResponseWritable();
  }
}

void server_connection::OnEnd(stream_end)
{
  boost::intrusive_ptr<server_connection> self(this);
  mStream->Close();
  Detach();
}

// Called when the connection has ended. Notifies the observers of all open exchanges.
void server_connection::Detach()
{
  boost::intrusive_ptr<server_connection> self(this);
  mTimer.Cancel();
  unlink();
  mInputEnded = true;
  std::deque<server_exchange_ptr> remaining;
  remaining.swap(mExchanges);
  mReceiving.reset();
  for (const server_exchange_ptr& exchange : remaining) {
    exchange->mConnection = nullptr;
    exchange_observer* observer = exchange->mObserver;
    exchange->mObserver = nullptr;
    if (observer != nullptr) {
      observer->OnCallerDisconnected();
    }
  }
  // Released at the end of the loop iteration, since functions of this object may still be on the
  // call stack.
  if (mSelf != nullptr) {
    boost::intrusive_ptr<server_connection> selfReference;
    selfReference.swap(mSelf);
    mLoop.Defer([selfReference] {});
  }
}

// A caller that reads a response slowly is not idle.
void server_connection::NoteDelivery()
{
  uint64_t delivered = mStream->DeliveredBytes();
  bool undelivered = HasUndeliveredOutput();
  bool progress = (undelivered || mUndelivered) && delivered != mDeliveredBytes;
  mDeliveredBytes = delivered;
  mUndelivered = undelivered;
  if (progress && !mHeadPending) {
    mTimeoutStart = mLoop.Now();
  }
}

common::boot_time server_connection::TimerDeadline()
{
  caller_limits limits = mHandler.Limits();
  bool lingers = mLingering && !mUndelivered;
  common::milliseconds wait = lingers        ? kLingerTime
                              : mHeadPending ? limits.headerTimeout
                                             : limits.idleTimeout;
  return mTimeoutStart + wait;
}

void server_connection::OnTimer()
{
  boost::intrusive_ptr<server_connection> self(this);
  common::boot_time now = mLoop.Now();
  NoteDelivery();
  if (now >= TimerDeadline()) {
    if (mLingering) {
      mStream->Close();
      Detach();
    } else if (mHeadPending) {
      mHeadPending = false;
      RejectInput(408);
    } else if (mExchanges.empty()) {
      CloseAfterOutput();
    }
  }
  if (!mStream->Closed()) {
    common::boot_time next = now + kMinTimerDelay;
    mTimer.Arm(mLingering ? next : std::max(next, TimerDeadline()));
  }
}

} // namespace bamboograde::connection::http
