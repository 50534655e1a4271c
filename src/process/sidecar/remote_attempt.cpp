#include "process/sidecar/remote_attempt.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// A daemon in the same region that does not accept a connection in this time is taken as down.
constexpr common::milliseconds kConnectTimeout{ 150 };

} // namespace

remote_attempt::remote_attempt(runtime& aRuntime, request::placement& aPlacement,
                               const version::member& aTarget,
                               connection::http::request_head aHead,
                               request::request_facts aFacts, request::attempt_observer* aObserver)
  : mRuntime(aRuntime)
  , mPlacement(aPlacement)
  , mVm(aTarget.vm)
  , mTarget(aTarget.forward)
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
  mOpen = true;
  mPlacement.OnSent(mVm);
  mCall = mRuntime.pool.Send(mTarget, mHead, aBody, aBodyDone,
                             std::min(mFacts.deadline, now + kConnectTimeout), this);
}

void remote_attempt::OnCallHead(connection::http::response_head& aHead)
{
  mAnswered = true;
  if (const std::string* load = aHead.headers.Find(kLoadHeader); load != nullptr) {
    auto report = common::ParseJson(*load);
    if (report.has_value()) {
      mPlacement.OnReport(mVm, request::DecodeLoad(report.assume_value()), mRuntime.Now());
    }
  }
  if (const std::string* refusal = aHead.headers.Find(kRefusalHeader); refusal != nullptr) {
    auto value = common::ParseJson(*refusal);
    mRefusal = value.has_value() ? request::DecodeRefusal(value.assume_value())
                                 : request::attempt_refusal();
    return;
  }
  if (const std::string* failure = aHead.headers.Find(kFailureHeader); failure != nullptr) {
    mFailure = request::attempt_failure{ *failure };
    return;
  }
  aHead.headers.Remove(kLoadHeader);
  mPlacement.OnSuccess(mVm);
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
  End();
  mCall.reset();
  auto* observer = TakeObserver();
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
  End();
  mCall.reset();
  mPlacement.OnFailure(mVm, mRuntime.Now());
  auto* observer = TakeObserver();
  if (observer == nullptr) {
    return;
  }
  if (aError.failure == connection::http::call_failure::kNotSent) {
    observer->OnAttemptRefused({ request::refusal_reason::kUnreachable });
  } else {
    observer->OnAttemptFailed({ aError.reason });
  }
}

void remote_attempt::Cancel()
{
  mObserver = nullptr;
  if (mCall == nullptr) {
    return;
  }
  if (!mAnswered && mFacts.deadline <= mRuntime.Now()) {
    // Silent to the end: the connections kept to this daemon may be dead.
    mRuntime.pool.DropIdle(mTarget);
    mPlacement.OnFailure(mVm, mRuntime.Now());
  }
  mCall->Cancel();
  mCall.reset();
  End();
}

void remote_attempt::End()
{
  if (mOpen) {
    mOpen = false;
    mPlacement.OnEnded(mVm);
  }
}

void remote_attempt::OnCallWritable()
{
  if (mObserver != nullptr) {
    mObserver->OnAttemptWritable();
  }
}

request::attempt_observer* remote_attempt::TakeObserver()
{
  request::attempt_observer* observer = mObserver;
  mObserver = nullptr;
  return observer;
}

} // namespace bamboograde::process::sidecar
