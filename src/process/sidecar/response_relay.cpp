#include "process/sidecar/response_relay.h"

namespace bamboograde::process::sidecar {

void response_relay::OnHead(const connection::http::response_head& aHead)
{
  mHead = aHead;
  connection::http::RemoveHopByHopHeaders(&mHead.headers);
  mBuffered.clear();
}

void response_relay::Begin()
{
  mExchange->StartResponse(mHead);
  mExchange->SendBody(mBuffered);
  mBuffered.clear();
}

void response_relay::OnBody(std::string_view aBytes, request::attempt& aAttempt)
{
  if (!Started()) {
    mBuffered.append(aBytes);
    if (mBuffered.size() > mMaxBufferedBytes) {
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
    // The response is complete, so it is sent with its length instead of in chunks.
    if (mHead.body.framing != connection::http::body_framing::kNone) {
      bool known = mHead.body.framing == connection::http::body_framing::kLength;
      mHead.body = { connection::http::body_framing::kLength,
                     known ? mHead.body.length : mBuffered.size() };
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
  mBuffered.clear();
}

} // namespace bamboograde::process::sidecar
