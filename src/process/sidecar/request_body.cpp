#include "process/sidecar/request_body.h"

namespace bamboograde::process::sidecar {

bool request_body::Placeable() const
{
  return mTaken || mExchange->BodyComplete() || mExchange->Body().size() > kKeepBytes;
}

std::string request_body::Take()
{
  if (mTaken) {
    return mKept;
  }
  mTaken = true;
  mWhole = mExchange->BodyComplete();
  mFinished = mWhole;
  mKept = mExchange->TakeBody();
  return mKept;
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
