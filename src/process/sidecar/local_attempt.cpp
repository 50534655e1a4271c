#include "process/sidecar/local_attempt.h"

#include "process/sidecar/daemon_headers.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// The upstream stops by itself at the deadline it was given. Without a response this long after the
// deadline, the request is considered lost.
constexpr common::milliseconds kOverdueMargin{ 150 };
constexpr int kFirstServerError = 500;
// Larger bodies of a response that says that the request did not run are cut off.
constexpr size_t kMaxNotRunBodyBytes = size_t(64) * 1024;

} // namespace

local_attempt::local_attempt(runtime& aRuntime, upstream_gate& aGate,
                             connection::http::request_head aHead, request::request_facts aFacts,
                             request::attempt_observer* aObserver)
  : mRuntime(aRuntime)
  , mGate(aGate)
  , mHead(std::move(aHead))
  , mFacts(std::move(aFacts))
  , mObserver(aObserver)
  , mOverdueTimer(aRuntime.loop, [this] { OnOverdue(); })
{
}

local_attempt::~local_attempt()
{
  Cancel();
}

void local_attempt::Start(std::string aBody, bool aBodyDone)
{
  mBody = std::move(aBody);
  mBodyDone = aBodyDone;
  mGate.Submit(mFacts, this);
}

void local_attempt::OnAdmitted()
{
  common::boot_time now = mRuntime.Now();
  request::upstream_facts facts;
  facts.timeLeft = std::max(std::chrono::ceil<common::milliseconds>(mFacts.deadline - now),
                            common::milliseconds(1));
  facts.upstream = mGate.Upstream();
  facts.origin = mFacts.origin;
  mRuntime.headers.WriteUpstream(facts, &mHead.headers);
  mOverdueTimer.Arm(mFacts.deadline + kOverdueMargin);
  mCall = mRuntime.pool.Send(mGate.Address(), mHead, mBody, mBodyDone, mFacts.deadline, this);
  mCall->SendBy(mGate.ClosesAt());
  mBody.clear();
  mBody.shrink_to_fit();
}

void local_attempt::OnClosing(common::boot_time aTime)
{
  if (mCall != nullptr) {
    mCall->SendBy(aTime);
  }
}

void local_attempt::OnAdmissionRefused(const request::attempt_refusal& aRefusal)
{
  request::attempt_ptr self(this);
  if (auto* observer = DetachObserver(); observer != nullptr) {
    observer->OnAttemptRefused(aRefusal);
  }
}

void local_attempt::SendBody(std::string_view aBytes)
{
  if (mCall != nullptr) {
    mCall->SendBody(aBytes);
  } else {
    mBody.append(aBytes);
  }
}

void local_attempt::FinishBody()
{
  mBodyDone = true;
  if (mCall != nullptr) {
    mCall->FinishBody();
  }
}

bool local_attempt::Congested() const
{
  return mCall != nullptr ? mCall->Congested()
                          : mBody.size() > connection::http::tcp_stream::kHighWaterMarkBytes;
}

void local_attempt::PauseResponse()
{
  if (mCall != nullptr) {
    mCall->PauseResponse();
  }
}

void local_attempt::ResumeResponse()
{
  if (mCall != nullptr) {
    mCall->ResumeResponse();
  }
}

void local_attempt::Cancel()
{
  mObserver = nullptr;
  mOverdueTimer.Cancel();
  if (mCall == nullptr) {
    mGate.Withdraw(this);
    return;
  }
  mCall->Cancel();
  mCall.reset();
  mGate.Finish(this, upstream_outcome::kCancelled);
}

bool local_attempt::MayHaveRun() const
{
  return mCall != nullptr && !mNotRun && mCall->MayHaveBeenSent();
}

bool local_attempt::IsOwnResponse(const connection::http::response_head& aHead)
{
  // An upstream names the request in every response to it. One without an id may be a copy of a
  // response to another request.
  return mRuntime.headers.AnsweredRequest(aHead.headers) == mFacts.id;
}

void local_attempt::OnCallHead(connection::http::response_head& aHead)
{
  request::attempt_ptr self(this);
  RemoveDaemonHeaders(&aHead.headers);
  request::upstream_answer answer = mRuntime.headers.ReadAnswer(aHead);
  if (answer == request::upstream_answer::kRan) {
    if (auto notice = mRuntime.headers.ReadNotice(aHead.headers); notice.has_value()) {
      mGate.OnNotice(this, *notice);
    }
  }
  switch (answer) {
    case request::upstream_answer::kNotRun:
      mNotRun = true;
      mOutcome = upstream_outcome::kNotRun;
      return;
    case request::upstream_answer::kInvalid:
      mCall->Cancel();
      Fail("the upstream's answer is not genuine");
      return;
    case request::upstream_answer::kRan:
      break;
  }
  mOutcome =
    aHead.status >= kFirstServerError ? upstream_outcome::kFailed : upstream_outcome::kServed;
  if (mObserver != nullptr) {
    mObserver->OnAttemptHead(aHead);
  }
}

void local_attempt::OnCallBody(std::string_view aBytes)
{
  if (mNotRun) {
    mNotRunBodyBytes += aBytes.size();
    if (mNotRunBodyBytes > kMaxNotRunBodyBytes && mCall != nullptr) {
      mCall->Cancel();
      OnCallEnd();
    }
  } else if (mObserver != nullptr) {
    mObserver->OnAttemptBody(aBytes);
  }
}

void local_attempt::OnCallEnd()
{
  request::attempt_ptr self(this);
  mCall.reset();
  mOverdueTimer.Cancel();
  auto* observer = DetachObserver();
  mGate.Finish(this, mOutcome);
  if (observer == nullptr) {
    return;
  }
  if (mNotRun) {
    observer->OnAttemptRefused({ request::attempt_refusal_reason::kUpstreamRefused });
  } else {
    observer->OnAttemptEnd();
  }
}

void local_attempt::OnCallFailed(const connection::http::call_error& aError)
{
  request::attempt_ptr self(this);
  if (aError.failure == connection::http::call_failure::kNotSent) {
    mCall.reset();
    mOverdueTimer.Cancel();
    auto* observer = DetachObserver();
    mGate.Finish(this, aError.refused ? upstream_outcome::kRefused : upstream_outcome::kCancelled);
    if (observer != nullptr) {
      observer->OnAttemptRefused({ request::attempt_refusal_reason::kUnreachable });
    }
    return;
  }
  mOutcome = upstream_outcome::kBroken;
  Fail(aError.reason);
}

void local_attempt::OnOverdue()
{
  request::attempt_ptr self(this);
  // The idle connections to the upstream may be dead as well.
  mRuntime.pool.CloseIdleConnections(mGate.Address());
  mCall->Cancel();
  mOutcome = upstream_outcome::kCancelled;
  Fail("no answer by the deadline");
}

void local_attempt::Fail(const std::string& aReason)
{
  mCall.reset();
  mOverdueTimer.Cancel();
  auto* observer = DetachObserver();
  mGate.Finish(this, mOutcome);
  if (observer != nullptr) {
    observer->OnAttemptFailed({ aReason });
  }
}

void local_attempt::OnCallWritable()
{
  if (mObserver != nullptr) {
    mObserver->OnAttemptWritable();
  }
}

request::attempt_observer* local_attempt::DetachObserver()
{
  request::attempt_observer* observer = mObserver;
  mObserver = nullptr;
  return observer;
}

} // namespace bamboograde::process::sidecar
