// Relays the response of an attempt to the caller.
//
// Small responses are buffered until complete, so that a truncated one can still be replaced by
// that of another attempt. Larger ones are streamed, with backpressure from the caller. The body of
// a bulk response is written at the pace of the link.
#pragma once

#include "connection/http/server_connection.h"
#include "process/sidecar/bulk_writer.h"
#include "request/attempt.h"

#include <functional>

namespace bamboograde::process::sidecar {

class response_relay : private bulk_source
{
public:
  // aMaxBufferedBytes: responses up to this size are buffered until complete.
  response_relay(connection::http::server_exchange_ptr aExchange, size_t aMaxBufferedBytes)
    : mExchange(std::move(aExchange))
    , mMaxBufferedBytes(aMaxBufferedBytes)
  {
  }
  ~response_relay() override;
  response_relay(const response_relay&) = delete;
  response_relay& operator=(const response_relay&) = delete;

  // The response is a bulk response, to be written by aDeadline. aWriter may be null.
  void Pace(bulk_writer* aWriter, common::boot_time aDeadline);
  void OnHead(const connection::http::response_head& aHead);
  // aAttempt is paused while the caller's connection is congested.
  void OnBody(std::string_view aBytes, const request::attempt_ptr& aAttempt);
  // aDone is called when the whole response has been written, possibly immediately.
  void OnEnd(std::function<void()> aDone);
  // The caller's connection is writable again.
  void OnWritable();
  // Drops bytes that wait. Nothing more is written and aDone is not called.
  void Cancel();
  // Drops a response of which nothing was sent, so that another can replace it.
  void Discard();
  // Whether the response is no longer buffered until complete.
  bool Started() const { return mExchange->Started(); }
  // Whether part of the response has been sent to the caller. Responses that wait for earlier ones
  // of the same connection are started, but not sent.
  bool Sent() const { return mExchange->Sent(); }
  // Whether the attempt has ended, and at most bytes that wait are left to be written.
  bool Ended() const { return mEnded; }
  int Status() const { return mHead.status; }

private:
  // bulk_source
  void WriteWaiting(size_t aBytes) override;
  void Begin();
  void Write(std::string_view aBytes);
  bool Congested() const;
  size_t WaitingBytes() const { return mWaiting.size() - mWrittenBytes; }
  void FinishIfWritten();

  connection::http::server_exchange_ptr mExchange;
  size_t mMaxBufferedBytes;
  connection::http::response_head mHead;
  std::string mBuffered;
  // Null unless the response is paced.
  bulk_writer* mWriter = nullptr;
  common::boot_time mDeadline;
  // Id of the response at mWriter while it is open; 0 otherwise.
  uint64_t mPacedId = 0;
  // Bytes that the writer has not released yet, after the first mWrittenBytes.
  std::string mWaiting;
  size_t mWrittenBytes = 0;
  // Paused for lack of room. Never an attempt that has ended.
  request::attempt_ptr mPaused;
  bool mEnded = false;
  // Set from OnEnd() until the whole response has been written.
  std::function<void()> mDone;
};

} // namespace bamboograde::process::sidecar
