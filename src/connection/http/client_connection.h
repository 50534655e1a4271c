// A persistent connection of a client pool. Sends one request at a time.
#pragma once

#include "connection/http/client_pool.h"

namespace bamboograde::connection::http {

class client_connection
  : public boost::intrusive_ref_counter<client_connection, boost::thread_unsafe_counter>
  , private stream_owner
  , private message_sink
{
public:
  client_connection(event_loop& aLoop, client_pool& aPool, const common::endpoint& aTarget);
  ~client_connection() override = default;

  const common::endpoint& Target() const { return mTarget; }
  // Until when the connection may be reused for another call.
  common::boot_time ReusableUntil() const { return mReusableUntil; }
  void StartCall(const client_call_ptr& aCall, const request_head& aHead, std::string_view aBody,
                 bool aBodyComplete, common::boot_time aConnectDeadline);
  void SendBody(std::string_view aBytes);
  void FinishBody();
  // Ends the call if the connection is not established before aDeadline.
  void SendBy(common::boot_time aDeadline);
  bool Congested() const { return mStream->PendingBytes() > tcp_stream::kHighWaterMarkBytes; }
  bool HasSentBytes() const { return mStream->SentBytes() > mSentBytesAtStart; }
  void PauseReading() { mStream->PauseReading(); }
  void ResumeReading() { mStream->ResumeReading(); }
  void Cancel();
  // Closes an idle connection without notifying the pool.
  void CloseIdle();

private:
  // stream_owner
  void OnConnected() override;
  void OnInput() override;
  void OnWritable() override;
  void OnEnd(stream_end aEnd) override;
  // message_sink
  void OnHead() override;
  void OnBody(std::string_view aBytes) override;

  void OnMessageEnd();
  void Fail(const char* aReason);
  void FailDisconnected(const char* aReason, bool aRefused);
  void End(call_error aError);
  void CloseAndDetach();
  void ReturnToPoolOrClose(bool aReusable);

  event_loop& mLoop;
  // Null once the connection is no longer part of the pool.
  client_pool* mPool;
  common::endpoint mTarget;
  tcp_stream_ptr mStream;
  client_call_ptr mCall;
  std::unique_ptr<response_parser> mParser;
  // No request is sent on a connection that is established later.
  common::boot_time mSendBy = common::boot_time::max();
  loop_timer mConnectTimer;
  common::boot_time mReusableUntil;
  // The response that is being read is a late one to an earlier call and is skipped.
  bool mSkipsResponse = false;
  // The connection must be closed after this call: an unexpected response was received on it, or it
  // ends with the current response.
  bool mNotReusable = false;
  bool mRequestComplete = false;
  // Value of the stream's byte counter when the current call started.
  uint64_t mSentBytesAtStart = 0;
  bool mInformational = false;
  // Bytes of informational and skipped responses during the current call.
  size_t mForeignBytes = 0;
};

} // namespace bamboograde::connection::http
