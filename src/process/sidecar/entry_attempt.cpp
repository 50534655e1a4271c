#include "process/sidecar/entry_attempt.h"

namespace bamboograde::process::sidecar {

void entry_attempt::Start(request::attempt_ptr aAttempt, std::string aBody, bool aBodyDone)
{
  entry_attempt_ptr self(this);
  mRunning = aAttempt;
  aAttempt->Start(std::move(aBody), aBodyDone);
}

void entry_attempt::Cancel()
{
  request::attempt_ptr running;
  running.swap(mRunning);
  if (running != nullptr) {
    running->Cancel();
  }
}

void entry_attempt::OnAttemptHead(connection::http::response_head& aHead)
{
  entry_attempt_ptr self(this);
  mObserver->OnHead(*this, aHead);
}

void entry_attempt::OnAttemptBody(std::string_view aBytes)
{
  entry_attempt_ptr self(this);
  mObserver->OnBody(*this, aBytes);
}

void entry_attempt::OnAttemptEnd()
{
  entry_attempt_ptr self(this);
  mObserver->OnEnd(*this);
}

void entry_attempt::OnAttemptRefused(const request::attempt_refusal& aRefusal)
{
  entry_attempt_ptr self(this);
  mRunning.reset();
  mObserver->OnRefused(*this, aRefusal);
}

void entry_attempt::OnAttemptFailed(const request::attempt_failure& aFailure)
{
  entry_attempt_ptr self(this);
  mRunning.reset();
  mObserver->OnFailed(*this, aFailure);
}

void entry_attempt::OnAttemptUnresponsive(unsigned aFailedChecks)
{
  entry_attempt_ptr self(this);
  mObserver->OnUnresponsive(*this, aFailedChecks);
}

} // namespace bamboograde::process::sidecar
