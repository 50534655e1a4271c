#include "process/sidecar/response_relay.h"

namespace bamboograde::process::sidecar {

response_relay::~response_relay()
{
  Cancel();
}

void response_relay::Pace(bulk_writer* aWriter, common::boot_time aDeadline)
{
  if (aWriter != nullptr && aWriter->Limited()) {
    mWriter = aWriter;
    mDeadline = aDeadline;
  }
}

void response_relay::OnHead(const connection::http::response_head& aHead)
{
  mHead = aHead;
  connection::http::RemoveHopByHopHeaders(&mHead.headers);
  mBuffered.clear();
}

void response_relay::Begin()
{
  mExchange->StartResponse(mHead);
  std::string body;
  body.swap(mBuffered);
  Write(body);
}

void response_relay::Write(std::string_view aBytes)
{
  if (mWriter == nullptr) {
    mExchange->SendBody(aBytes);
    return;
  }
  if (mPacedId == 0) {
    mPacedId = mWriter->Open(this, mDeadline);
  }
  mWaiting.append(aBytes);
  mWriter->Add(mPacedId, aBytes.size());
}

void response_relay::WriteWaiting(size_t aBytes)
{
  mExchange->SendBody(std::string_view(mWaiting).substr(mWrittenBytes, aBytes));
  mWrittenBytes += aBytes;
  // Moves the rest only when it is the smaller part.
  if (mWrittenBytes >= mWaiting.size() / 2) {
    mWaiting.erase(0, mWrittenBytes);
    mWrittenBytes = 0;
  }
  OnWritable();
  FinishIfWritten();
}

bool response_relay::Congested() const
{
  return mExchange->Congested() || (mWriter != nullptr && mWriter->Full(WaitingBytes()));
}

void response_relay::FinishIfWritten()
{
  if (mDone == nullptr || WaitingBytes() > 0) {
    return;
  }
  std::function<void()> done;
  done.swap(mDone);
  Cancel();
  mExchange->FinishResponse();
  done();
}

void response_relay::Cancel()
{
  mDone = nullptr;
  mPaused.reset();
  mWaiting.clear();
  mWrittenBytes = 0;
  if (mPacedId != 0) {
    mWriter->Close(mPacedId);
    mPacedId = 0;
  }
}

void response_relay::OnBody(std::string_view aBytes, const request::attempt_ptr& aAttempt)
{
  if (!Started()) {
    mBuffered.append(aBytes);
    if (mBuffered.size() > mMaxBufferedBytes) {
      Begin();
    }
  } else {
    Write(aBytes);
  }
  if (Congested()) {
    mPaused = aAttempt;
    aAttempt->PauseResponse();
  }
}

void response_relay::OnEnd(std::function<void()> aDone)
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
  mPaused.reset();
  mEnded = true;
  mDone = std::move(aDone);
  FinishIfWritten();
}

void response_relay::OnWritable()
{
  if (mPaused != nullptr && !Congested()) {
    request::attempt_ptr attempt;
    attempt.swap(mPaused);
    attempt->ResumeResponse();
  }
}

void response_relay::Discard()
{
  Cancel();
  mExchange->Withdraw();
  mHead = {};
  mBuffered.clear();
}

} // namespace bamboograde::process::sidecar
