// HTTP client with a pool of persistent connections, one request at a time on each connection.
//
// The pool never retries a request. Whether a request may be sent again is decided by the code that
// calls the pool.
#pragma once

#include "connection/http/message_parser.h"
#include "connection/http/tcp_stream.h"

#include <functional>
#include <unordered_map>

namespace bamboograde::connection::http {

class client_pool;
class client_connection;

// Whether a request that got no complete response can have been executed.
enum class call_failure
{
  // No byte of the request was sent, so the server can not have executed it.
  kNotSent,
  // The server may have executed the request.
  kUnknown,
};

struct call_error
{
  call_failure failure = call_failure::kUnknown;
  // For logs: "connect failed", "closed before the response", ...
  const char* reason = "";
  // The connection could not be established, or ended by stream_end::kError. False when the connect
  // deadline passed.
  bool refused = false;
  // The server has refused or ended the connection.
  bool disconnected = false;
};

// Receives the response to one call. The last notification is either OnCallEnd() or OnCallFailed();
// after client_call::Cancel() there is none.
class call_observer
{
public:
  virtual ~call_observer() = default;
  // Whether the response is to this call rather than a late response to an earlier call on the same
  // connection.
  virtual bool IsOwnResponse(const response_head& /*aHead*/) { return true; }
  virtual void OnCallHead(response_head& aHead) = 0;
  virtual void OnCallBody(std::string_view aBytes) = 0;
  virtual void OnCallEnd() = 0;
  virtual void OnCallFailed(const call_error& aError) = 0;
  // Buffered output was sent, so more of the request's body may be written.
  virtual void OnCallWritable() {}
};

// A request in progress.
class client_call : public boost::intrusive_ref_counter<client_call, boost::thread_unsafe_counter>
{
public:
  void SendBody(std::string_view aBytes);
  void FinishBody();
  // The unsent request body exceeds tcp_stream::kHighWaterMarkBytes. Wait for OnCallWritable()
  // before sending more.
  bool Congested() const;
  // Ends the call as not sent if no byte of the request was sent before aDeadline. The earliest of
  // several deadlines applies.
  void SendBy(common::boot_time aDeadline);
  void PauseResponse();
  void ResumeResponse();
  // Closes the connection, so that the server can stop processing. The observer is not notified.
  void Cancel();
  // Whether any byte of the request was sent. Also true once the call has ended.
  bool MayHaveBeenSent() const;

private:
  friend class client_connection;
  friend class client_pool;

  client_connection* mConnection = nullptr;
  call_observer* mObserver = nullptr;
  bool mIsHeadRequest = false;
  body_framing mFraming = body_framing::kNone;
};

using client_call_ptr = boost::intrusive_ptr<client_call>;

class client_pool
{
public:
  explicit client_pool(event_loop& aLoop);
  ~client_pool();

  // Sends the head and the part of the body that is available. aBodyComplete: aBody is the whole
  // body. aConnectDeadline: applies if a new connection has to be established.
  client_call_ptr Send(const common::endpoint& aTarget, const request_head& aHead,
                       std::string_view aBody, bool aBodyComplete,
                       common::boot_time aConnectDeadline, call_observer* aObserver);
  // Closes the idle connections to the target. For use after a request to it timed out, since the
  // network path of the idle connections may be broken as well.
  void CloseIdleConnections(const common::endpoint& aTarget);
  // aObserver is called when a server ends an idle connection.
  void SetDisconnectObserver(std::function<void()> aObserver)
  {
    mOnDisconnected = std::move(aObserver);
  }
  // Number of connections established since the pool was created.
  uint64_t Connects() const { return mConnects; }

private:
  friend class client_connection;

  struct target_state
  {
    std::vector<boost::intrusive_ptr<client_connection>> idle;
    size_t openCount = 0;
  };

  void OnIdle(client_connection& aConnection);
  void OnClosed(client_connection& aConnection);
  void CloseExpired();

  event_loop& mLoop;
  std::unordered_map<common::endpoint, target_state, common::id_hash> mTargets;
  loop_timer mIdleCheckTimer;
  uint64_t mConnects = 0;
  std::function<void()> mOnDisconnected;
};

} // namespace bamboograde::connection::http
