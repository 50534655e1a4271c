#include "process/sidecar/remote_attempt.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// A daemon in the same region that does not accept a connection within this time counts as
// unreachable.
constexpr common::milliseconds kConnectTimeout{ 150 };

} // namespace

remote_attempt::remote_attempt(runtime& aRuntime, request::placement& aPlacement,
                               failure_detector& aFailureDetector, const version::member& aTarget,
                               connection::http::request_head aHead, request::request_facts aFacts,
                               request::attempt_observer* aObserver)
  : mRuntime(aRuntime)
  , mPlacement(aPlacement)
  , mFailureDetector(aFailureDetector)
  , mTarget(aTarget)
  , mHead(std::move(aHead))
  , mFacts(std::move(aFacts))
  , mObserver(aObserver)
{
}

remote_attempt::~remote_attempt()
{
  Cancel();
}

void remote_attempt::Start(std::string aBody, bool aBodyDone)
{
  common::boot_time now = mRuntime.Now();
  mHead.headers.Add(kFactsHeader, common::Dump(request::EncodeFacts(mFacts, now)));
  mTracked = true;
  mPlacement.OnSent(mTarget.vm);
  mFailureDetector.OnSent(mTarget, this);
  mCall = mRuntime.pool.Send(mTarget.forward, mHead, aBody, aBodyDone,
                             std::min(mFacts.deadline, now + kConnectTimeout), this);
}

void remote_attempt::OnCallHead(connection::http::response_head& aHead)
{
  mResponded = true;
  mFailureDetector.OnHeard(mTarget.vm);
  if (const std::string* load = aHead.headers.Find(kLoadHeader); load != nullptr) {
    auto report = common::ParseJson(*load);
    if (report.has_value()) {
      mPlacement.OnReport(mTarget.vm, request::DecodeLoad(report.assume_value()), mRuntime.Now());
    }
  }
  if (const std::string* refusal = aHead.headers.Find(kRefusalHeader); refusal != nullptr) {
    auto value = common::ParseJson(*refusal);
    mRefusal =
      value.has_value() ? request::DecodeRefusal(value.assume_value()) : request::attempt_refusal();
    return;
  }
  if (const std::string* failure = aHead.headers.Find(kFailureHeader); failure != nullptr) {
    mFailure = request::attempt_failure{ *failure };
    return;
  }
  aHead.headers.Remove(kLoadHeader);
  mPlacement.OnSuccess(mTarget.vm);
  if (mObserver != nullptr) {
    mObserver->OnAttemptHead(aHead);
  }
}

void remote_attempt::OnCallBody(std::string_view aBytes)
{
  if (mObserver != nullptr && !mRefusal.has_value() && !mFailure.has_value()) {
    mObserver->OnAttemptBody(aBytes);
  }
}

void remote_attempt::OnCallEnd()
{
  request::attempt_ptr self(this);
  StopTracking();
  mCall.reset();
  auto* observer = DetachObserver();
  if (observer == nullptr) {
    return;
  }
  if (mRefusal.has_value()) {
    observer->OnAttemptRefused(*mRefusal);
  } else if (mFailure.has_value()) {
    observer->OnAttemptFailed(*mFailure);
  } else {
    observer->OnAttemptEnd();
  }
}

void remote_attempt::OnCallFailed(const connection::http::call_error& aError)
{
  request::attempt_ptr self(this);
  StopTracking();
  mCall.reset();
  bool notSent = aError.failure == connection::http::call_failure::kNotSent;
  auto* observer = DetachObserver();
  if (notSent) {
    mFailureDetector.OnUnreachable(mTarget);
  } else {
    mPlacement.OnFailure(mTarget.vm, mRuntime.Now());
  }
  if (observer == nullptr) {
    return;
  }
  if (notSent) {
    observer->OnAttemptRefused({ request::attempt_refusal_reason::kUnreachable });
  } else {
    observer->OnAttemptFailed({ aError.reason });
  }
}

void remote_attempt::OnPeerSilent(unsigned aFailedChecks)
{
  request::attempt_ptr self(this);
  if (!mResponded && mObserver != nullptr) {
    mObserver->OnAttemptUnresponsive(aFailedChecks);
  }
}

void remote_attempt::Cancel()
{
  mObserver = nullptr;
  if (mCall == nullptr) {
    return;
  }
  if (!mResponded && mFacts.deadline <= mRuntime.Now()) {
    // No response by the deadline: the idle connections to this daemon may be dead.
    mRuntime.pool.CloseIdleConnections(mTarget.forward);
    mPlacement.OnFailure(mTarget.vm, mRuntime.Now());
  }
  mCall->Cancel();
  mCall.reset();
  StopTracking();
}

void remote_attempt::StopTracking()
{
  if (mTracked) {
    mTracked = false;
    mPlacement.OnEnded(mTarget.vm);
    mFailureDetector.OnEnded(mTarget.vm, this);
  }
}

void remote_attempt::PauseResponse()
{
  if (mCall != nullptr) {
    mCall->PauseResponse();
  }
}

void remote_attempt::ResumeResponse()
{
  if (mCall != nullptr) {
    mCall->ResumeResponse();
  }
}

void remote_attempt::OnCallWritable()
{
  if (mObserver != nullptr) {
    mObserver->OnAttemptWritable();
  }
}

request::attempt_observer* remote_attempt::DetachObserver()
{
  request::attempt_observer* observer = mObserver;
  mObserver = nullptr;
  return observer;
}

} // namespace bamboograde::process::sidecar
