// The requesting side: kept connections to other processes, one request at a time on each.
//
// Nothing is ever repeated here; what may be sent again is the caller's decision.
#pragma once

#include "connection/http/message_parser.h"
#include "connection/http/tcp_stream.h"

#include <unordered_map>

namespace bamboograde::connection::http {

class client_pool;
class client_connection;

// How much is known about a request whose response will not come.
enum class call_failure
{
  // No byte of it has left this process.
  kNotSent,
  // The other side may have acted on it.
  kUnknown,
};

struct call_error
{
  call_failure failure = call_failure::kUnknown;
  // For logs: "connect failed", "closed before the response", ...
  const char* reason = "";
  // The other side refused the connection or reset it.
  bool refused = false;
};

// Receives the response to one call. Exactly one of OnCallEnd and OnCallFailed is called, last.
class call_observer
{
public:
  virtual ~call_observer() = default;
  // Whether the response is to this call and not a late one to an earlier call.
  virtual bool IsOwnResponse(const response_head& /*aHead*/) { return true; }
  virtual void OnCallHead(response_head& aHead) = 0;
  virtual void OnCallBody(std::string_view aBytes) = 0;
  virtual void OnCallEnd() = 0;
  virtual void OnCallFailed(const call_error& aError) = 0;
  // More of the request's body may be sent.
  virtual void OnCallWritable() {}
};

// One request under way.
class client_call : public boost::intrusive_ref_counter<client_call, boost::thread_unsafe_counter>
{
public:
  void SendBody(std::string_view aBytes);
  void FinishBody();
  // The other side reads more slowly than the body arrives.
  bool Congested() const;
  void PauseResponse();
  void ResumeResponse();
  // Closes the connection, which tells the other side to stop. No call to the observer follows.
  void Cancel();
  // Whether any byte of the request has left this process.
  bool MayBeSent() const;

private:
  friend class client_connection;
  friend class client_pool;

  client_connection* mConnection = nullptr;
  call_observer* mObserver = nullptr;
  bool mToHead = false;
  body_framing mFraming = body_framing::kNone;
};

using client_call_ptr = boost::intrusive_ptr<client_call>;

class client_pool
{
public:
  explicit client_pool(event_loop& aLoop);
  ~client_pool();

  // Sends the head and what has arrived of the body. aBodyDone: nothing follows.
  // aConnectBy: when a new connection must be established.
  client_call_ptr Send(const common::endpoint& aTarget, const request_head& aHead,
                       std::string_view aBody, bool aBodyDone, common::boot_time aConnectBy,
                       call_observer* aObserver);
  // Closes the idle connections to the target, because one of them has gone silent.
  void DropIdle(const common::endpoint& aTarget);
  // Connections that were established since the start.
  uint64_t Connects() const { return mConnects; }

private:
  friend class client_connection;

  struct target_state
  {
    std::vector<boost::intrusive_ptr<client_connection>> idle;
    size_t open = 0;
  };

  void OnIdle(client_connection& aConnection);
  void OnClosed(client_connection& aConnection);
  void CloseExpired();

  event_loop& mLoop;
  std::unordered_map<common::endpoint, target_state, common::id_hash> mTargets;
  loop_timer mReaper;
  uint64_t mConnects = 0;
};

} // namespace bamboograde::connection::http
