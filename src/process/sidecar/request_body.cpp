#include "process/sidecar/request_body.h"

namespace bamboograde::process::sidecar {

bool request_body::ReadyToPlace() const
{
  return mTaken || mExchange->BodyComplete() || mExchange->Body().size() > kMaxBufferedBytes;
}

std::string request_body::Take()
{
  if (mTaken) {
    return mBuffered;
  }
  mTaken = true;
  mWhole = mExchange->BodyComplete();
  mFinished = mWhole;
  mBuffered = mExchange->TakeBody();
  return mBuffered;
}

void request_body::Pump(request::attempt& aAttempt)
{
  if (!mTaken || mFinished || aAttempt.Congested()) {
    return;
  }
  bool complete = mExchange->BodyComplete();
  aAttempt.SendBody(mExchange->TakeBody());
  if (complete) {
    mFinished = true;
    aAttempt.FinishBody();
  }
}

} // namespace bamboograde::process::sidecar
