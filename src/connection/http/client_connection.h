// One kept connection of a client pool.
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
  // Until when the connection may be used again.
  common::boot_time IdleUntil() const { return mIdleUntil; }
  void Begin(const client_call_ptr& aCall, const request_head& aHead, std::string_view aBody,
             bool aBodyDone, common::boot_time aConnectBy);
  void SendBody(std::string_view aBytes);
  void FinishBody();
  bool Congested() const { return mStream->Pending() > tcp_stream::kHighWater; }
  bool HasSent() const { return mStream->SentBytes() > mSentBefore; }
  void PauseReading() { mStream->PauseReading(); }
  void ResumeReading() { mStream->ResumeReading(); }
  void Cancel();
  // Ends an idle connection.
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
  void Fail(const char* aReason, bool aRefused);
  void Shut();
  void KeepOrClose(bool aKeep);

  event_loop& mLoop;
  // Null once the pool has let go of the connection.
  client_pool* mPool;
  common::endpoint mTarget;
  tcp_stream_ptr mStream;
  client_call_ptr mCall;
  std::unique_ptr<response_parser> mParser;
  loop_timer mConnectTimer;
  common::boot_time mIdleUntil;
  // The response being read belongs to an earlier call.
  bool mForeign = false;
  // A response that belongs to nobody was seen; the connection is not used again.
  bool mTainted = false;
  bool mRequestDone = false;
  // Bytes that earlier calls have sent.
  uint64_t mSentBefore = 0;
  bool mInformational = false;
};

} // namespace bamboograde::connection::http
