#include "connection/http/server_connection.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace bamboograde::connection::http {

namespace {

// Requests of one connection that are answered at the same time; more wait in the kernel.
constexpr size_t kMaxPipelined = 32;
// How long input is discarded after the last response, so that the caller can read that response
// before the connection is reset.
constexpr common::milliseconds kLingerTime{ 1000 };
// A busy connection's idle timer is looked at this often at most.
constexpr common::milliseconds kTimerResolution{ 100 };
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

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
  // What is left of the body would be taken for the next request.
  mClose = mClose || !mBodyComplete || !mHead.keepAlive || mConnection->mHandler.Limits().closing;
  Emit(SerializeResponse(aHead, mClose));
}

void server_exchange::SendBody(std::string_view aBytes)
{
  if (mConnection == nullptr || aBytes.empty() || mHead.method == "HEAD") {
    return;
  }
  if (mFraming != body_framing::kChunked) {
    Emit(aBytes);
    return;
  }
  std::string chunk;
  AppendChunk(&chunk, aBytes);
  Emit(chunk);
}

void server_exchange::FinishResponse()
{
  if (mConnection == nullptr || mFinished) {
    mFinished = true;
    return;
  }
  if (mFraming == body_framing::kChunked && mHead.method != "HEAD") {
    Emit(kLastChunk);
  }
  mFinished = true;
  mObserver = nullptr;
  mConnection->OnFinished();
}

void server_exchange::Abort()
{
  mObserver = nullptr;
  if (mConnection != nullptr) {
    mConnection->OnAbort();
  }
}

bool server_exchange::Congested() const
{
  return mConnection != nullptr && (mConnection->mStream->Pending() > tcp_stream::kHighWater ||
                                    mWaiting.size() > tcp_stream::kHighWater);
}

void server_exchange::Emit(std::string_view aBytes)
{
  if (mConnection != nullptr) {
    mConnection->OnOutput(*this, aBytes);
  }
}

server_connection::server_connection(event_loop& aLoop, exchange_handler& aHandler)
  : mLoop(aLoop)
  , mHandler(aHandler)
  , mTimer(aLoop, [this] { OnTimer(); })
  , mWaitingSince(aLoop.Now())
{
}

void server_connection::Serve(event_loop& aLoop, exchange_handler& aHandler, int aFd)
{
  boost::intrusive_ptr<server_connection> self(new server_connection(aLoop, aHandler));
  self->mSelf = self;
  self->mStream = tcp_stream::Adopt(aLoop, *self, aFd);
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
  while (!mInputDone && !mStream->Closed() && used < input.size() && MayRead()) {
    if (mParser == nullptr) {
      // Line ends between requests are allowed.
      if (input[used] == '\r' || input[used] == '\n') {
        ++used;
        continue;
      }
      mParser = std::make_unique<request_parser>(mHandler.Limits().parse);
      mHeadPending = true;
      mWaitingSince = mLoop.Now();
    }
    size_t taken = 0;
    std::string_view rest = std::string_view(input).substr(used);
    parse_status status = mParser->Feed(rest, *this, &taken);
    used += taken;
    if (status == parse_status::kNeedMore) {
      if (mHeadPending) {
        mTimer.Arm(mWaitingSince + mHandler.Limits().headerTimeout);
      }
      break;
    }
    if (status == parse_status::kComplete) {
      OnMessageEnd();
      continue;
    }
    int refusal = status == parse_status::kHeaderTooLarge ? 431
                  : status == parse_status::kBodyTooLarge ? 413
                                                          : 400;
    RefuseInput(refusal);
  }
  mParsing = false;
  if (mInputDone) {
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
  server_exchange_ptr exchange = mReceiving;
  mHandler.OnRequest(exchange);
  bool wantsContinue = exchange->mHead.expectsContinue && !exchange->mStarted &&
                       !exchange->mBodyComplete && !mExchanges.empty() &&
                       mExchanges.front() == exchange;
  if (wantsContinue) {
    mStream->Write(kContinue);
  }
}

void server_connection::OnBody(std::string_view aBytes)
{
  // The body of a request that has been answered is discarded.
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
  mWaitingSince = mLoop.Now();
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

void server_connection::RefuseInput(int aStatus)
{
  mInputDone = true;
  mParser.reset();
  response_head head;
  head.status = aStatus;
  if (mReceiving != nullptr) {
    // The request's own exchange is answered, unless it has been already.
    server_exchange_ptr broken;
    broken.swap(mReceiving);
    if (broken->mObserver != nullptr) {
      broken->mObserver->OnCallerGone();
    }
    if (broken->mStarted && !broken->mFinished) {
      broken->Abort();
    } else if (!broken->mStarted) {
      broken->mObserver = nullptr;
      broken->Respond(head, "");
    }
    return;
  }
  server_exchange_ptr refusal(new server_exchange(this, request_head()));
  refusal->mClose = true;
  mExchanges.push_back(refusal);
  refusal->Respond(head, "");
}

bool server_connection::MayRead() const
{
  bool bodyBacklog = mReceiving != nullptr && mReceiving->mBody.size() > tcp_stream::kHighWater;
  bool full = mReceiving == nullptr && mExchanges.size() >= kMaxPipelined;
  return !bodyBacklog && !full;
}

void server_connection::UpdateReading()
{
  if (!MayRead()) {
    mHeldBack = true;
    mStream->PauseReading();
    return;
  }
  mStream->ResumeReading();
  // What arrived before reading was paused has not been parsed yet.
  if (mHeldBack && !mParsing && !mInputDone) {
    mHeldBack = false;
    boost::intrusive_ptr<server_connection> self(this);
    mLoop.Defer([self] {
      if (!self->mStream->Closed()) {
        self->Parse();
      }
    });
  }
}

void server_connection::OnOutput(server_exchange& aExchange, std::string_view aBytes)
{
  bool front = !mExchanges.empty() && mExchanges.front().get() == &aExchange;
  bool unscheduled = aExchange.mWaiting.empty();
  aExchange.mWaiting.append(aBytes);
  if (!front || !unscheduled) {
    return;
  }
  // Written at the end of the turn, so that head and body leave in one write.
  server_exchange_ptr exchange(&aExchange);
  boost::intrusive_ptr<server_connection> self(this);
  mLoop.Defer([self, exchange] {
    bool stillFront = !self->mExchanges.empty() && self->mExchanges.front() == exchange;
    if (stillFront && !self->mStream->Closed()) {
      self->mStream->Write(exchange->mWaiting);
      exchange->mWaiting.clear();
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
  bool last = false;
  while (!mExchanges.empty() && mExchanges.front()->mFinished && !last) {
    server_exchange_ptr done = mExchanges.front();
    mExchanges.pop_front();
    output.append(done->mWaiting);
    done->mWaiting.clear();
    done->mConnection = nullptr;
    last = done->mClose;
    if (done == mReceiving) {
      mReceiving.reset();
    }
  }
  if (!last && !mExchanges.empty()) {
    output.append(mExchanges.front()->mWaiting);
    mExchanges.front()->mWaiting.clear();
  }
  mStream->Write(output);
  if (last) {
    CloseAfterOutput();
    return;
  }
  mWaitingSince = mLoop.Now();
  UpdateReading();
}

void server_connection::CloseAfterOutput()
{
  mInputDone = true;
  mLingering = true;
  // Requests behind the last response count as not read.
  for (const server_exchange_ptr& exchange : mExchanges) {
    exchange->mConnection = nullptr;
    if (exchange->mObserver != nullptr) {
      exchange->mObserver->OnCallerGone();
    }
  }
  mExchanges.clear();
  mReceiving.reset();
  mStream->FinishWriting();
  mStream->ResumeReading();
  mWaitingSince = mLoop.Now();
  mTimer.Arm(TimerDeadline());
}

void server_connection::OnAbort()
{
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

// The connection has ended: everyone who works for it is told.
void server_connection::Detach()
{
  boost::intrusive_ptr<server_connection> self(this);
  mTimer.Cancel();
  mInputDone = true;
  std::deque<server_exchange_ptr> left;
  left.swap(mExchanges);
  mReceiving.reset();
  for (const server_exchange_ptr& exchange : left) {
    exchange->mConnection = nullptr;
    exchange_observer* observer = exchange->mObserver;
    exchange->mObserver = nullptr;
    if (observer != nullptr) {
      observer->OnCallerGone();
    }
  }
  // Released at the end of the turn, since callers may still be inside this object.
  if (mSelf != nullptr) {
    boost::intrusive_ptr<server_connection> last;
    last.swap(mSelf);
    mLoop.Defer([last] {});
  }
}

common::boot_time server_connection::TimerDeadline() const
{
  caller_limits limits = mHandler.Limits();
  common::milliseconds wait = mLingering     ? kLingerTime
                              : mHeadPending ? limits.headerTimeout
                                             : limits.idleTimeout;
  return mWaitingSince + wait;
}

void server_connection::OnTimer()
{
  boost::intrusive_ptr<server_connection> self(this);
  common::boot_time now = mLoop.Now();
  if (now >= TimerDeadline()) {
    if (mLingering) {
      mStream->Close();
      Detach();
    } else if (mHeadPending) {
      mHeadPending = false;
      RefuseInput(408);
    } else if (mExchanges.empty()) {
      CloseAfterOutput();
    }
  }
  if (!mStream->Closed()) {
    mTimer.Arm(std::max(now + kTimerResolution, TimerDeadline()));
  }
}

} // namespace bamboograde::connection::http
