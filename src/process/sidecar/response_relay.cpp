#include "process/sidecar/response_relay.h"

namespace bamboograde::process::sidecar {

void response_relay::OnHead(const connection::http::response_head& aHead)
{
  mHead = aHead;
  connection::http::RemoveHopHeaders(&mHead.headers);
  mHeld.clear();
}

void response_relay::Begin()
{
  mExchange->StartResponse(mHead);
  mExchange->SendBody(mHeld);
  mHeld.clear();
}

void response_relay::OnBody(std::string_view aBytes, request::attempt& aAttempt)
{
  if (!Started()) {
    mHeld.append(aBytes);
    if (mHeld.size() > mHoldBytes) {
      Begin();
    }
  } else {
    mExchange->SendBody(aBytes);
  }
  if (mExchange->Congested()) {
    aAttempt.PauseResponse();
  }
}

void response_relay::OnEnd()
{
  if (!Started()) {
    // The whole is known, so its length is told instead of chunks.
    if (mHead.body.framing != connection::http::body_framing::kNone) {
      bool known = mHead.body.framing == connection::http::body_framing::kLength;
      mHead.body = { connection::http::body_framing::kLength,
                     known ? mHead.body.length : mHeld.size() };
    }
    Begin();
  }
  mExchange->FinishResponse();
}

void response_relay::OnWritable(request::attempt& aAttempt)
{
  if (!mExchange->Congested()) {
    aAttempt.ResumeResponse();
  }
}

void response_relay::Discard()
{
  mHead = {};
  mHeld.clear();
}

} // namespace bamboograde::process::sidecar
