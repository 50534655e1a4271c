// One attempt of a caller's request, with what the entry daemon keeps of it. A request has several
// attempts in flight while it is hedged.
#pragma once

#include "request/attempt.h"

#include <utility>

namespace bamboograde::process::sidecar {

class entry_attempt;
using entry_attempt_ptr = boost::intrusive_ptr<entry_attempt>;

// Receives the events of several attempts; see request::attempt_observer.
class entry_attempt_observer
{
public:
  virtual ~entry_attempt_observer() = default;
  virtual void OnHead(entry_attempt& aAttempt, connection::http::response_head& aHead) = 0;
  virtual void OnBody(entry_attempt& aAttempt, std::string_view aBytes) = 0;
  virtual void OnEnd(entry_attempt& aAttempt) = 0;
  virtual void OnRefused(entry_attempt& aAttempt, const request::attempt_refusal& aRefusal) = 0;
  virtual void OnFailed(entry_attempt& aAttempt, const request::attempt_failure& aFailure) = 0;
  virtual void OnWritable(entry_attempt& aAttempt) = 0;
  virtual void OnUnresponsive(entry_attempt& aAttempt, unsigned aFailedChecks) = 0;
};

class entry_attempt
  : public boost::intrusive_ref_counter<entry_attempt, boost::thread_unsafe_counter>
  , private request::attempt_observer
{
public:
  // aTarget: the member as it is now. aHedge: other attempts are in flight.
  entry_attempt(entry_attempt_observer* aObserver, const version::member& aTarget, bool aOnlyIfFree,
                bool aHedge, common::boot_time aNow)
    : mObserver(aObserver)
    , mTarget(aTarget)
    , mOnlyIfFree(aOnlyIfFree)
    , mHedge(aHedge)
    , mStartedAt(aNow)
  {
  }

  // To be given to the attempt that is started then.
  request::attempt_observer* Observer() { return this; }
  void Start(request::attempt_ptr aAttempt, std::string aBody, bool aBodyDone);
  // The observer is not called afterwards.
  void Cancel();
  // Null before Start(), and once the attempt was cancelled, was refused or has failed.
  const request::attempt_ptr& Running() const { return mRunning; }
  bool MayHaveRun() const { return mRunning != nullptr && mRunning->MayHaveRun(); }

  const version::member& Target() const { return mTarget; }
  bool OnlyIfFree() const { return mOnlyIfFree; }
  bool Hedge() const { return mHedge; }
  common::boot_time StartedAt() const { return mStartedAt; }
  // Counts the attempt among those of its request that may have reached an upstream. Returns false
  // if it was counted before.
  bool Count() { return !std::exchange(mCounted, true); }

private:
  // attempt_observer
  void OnAttemptHead(connection::http::response_head& aHead) override;
  void OnAttemptBody(std::string_view aBytes) override;
  void OnAttemptEnd() override;
  void OnAttemptRefused(const request::attempt_refusal& aRefusal) override;
  void OnAttemptFailed(const request::attempt_failure& aFailure) override;
  void OnAttemptWritable() override { mObserver->OnWritable(*this); }
  void OnAttemptUnresponsive(unsigned aFailedChecks) override;

  entry_attempt_observer* mObserver;
  version::member mTarget;
  bool mOnlyIfFree;
  bool mHedge;
  common::boot_time mStartedAt;
  request::attempt_ptr mRunning;
  bool mCounted = false;
};

} // namespace bamboograde::process::sidecar
