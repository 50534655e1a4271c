// HTTP server side of one connection, with pipelining: requests may be answered in any order, and
// the responses are sent in the order of the requests.
#pragma once

#include "connection/http/message_parser.h"
#include "connection/http/tcp_stream.h"

#include <boost/intrusive/list.hpp>
#include <deque>

namespace bamboograde::connection::http {

class server_connection;
class server_exchange;
using server_exchange_ptr = boost::intrusive_ptr<server_exchange>;

// Receives the events of an exchange. Implemented by the code that produces the response.
class exchange_observer
{
public:
  virtual ~exchange_observer() = default;
  // Received more of the request's body, or its end.
  virtual void OnRequestBody() = 0;
  // The caller has disconnected. A response can not be delivered any more.
  virtual void OnCallerDisconnected() = 0;
  // Buffered output was sent, so more of the response may be written.
  virtual void OnResponseWritable() {}
};

// One request and its response. Exchanges of one connection may be answered in any order.
class server_exchange
  : public boost::intrusive_ref_counter<server_exchange, boost::thread_unsafe_counter>
{
public:
  server_exchange(server_connection* aConnection, request_head aHead);

  request_head& Head() { return mHead; }
  // Received bytes of the request's body that TakeBody() has not returned yet.
  const std::string& Body() const { return mBody; }
  // Returns and removes the received bytes, and resumes reading if it was paused for lack of buffer
  // space.
  std::string TakeBody();
  bool BodyComplete() const { return mBodyComplete; }
  void SetObserver(exchange_observer* aObserver) { mObserver = aObserver; }

  // Sends a complete response.
  void Respond(response_head aHead, std::string_view aBody);
  // Starts a streamed response; SendBody() and FinishResponse() follow. Framing kUntilClose is sent
  // as kChunked, so that the connection can persist.
  void StartResponse(response_head aHead);
  void SendBody(std::string_view aBytes);
  void FinishResponse();
  // Drops a response that is not finished and of which nothing was sent, so that another can
  // replace it.
  void Withdraw();
  // Ends the connection behind the earlier responses, so that the caller can not take a partial
  // response for a complete one.
  void Abort();
  // The unsent output exceeds tcp_stream::kHighWaterMarkBytes. Wait for OnResponseWritable() before
  // sending more.
  bool Congested() const;
  bool Started() const { return mStarted; }
  // Whether part of the response was handed to the stream.
  bool Sent() const { return mSent; }
  bool Finished() const { return mFinished; }
  bool CallerDisconnected() const { return mConnection == nullptr; }

private:
  friend class server_connection;

  void QueueOutput(std::string_view aBytes);
  // Whether so much output waits for earlier responses that the sender should pause.
  bool OutputIsFull() const;

  // Null when the connection has ended, or when the response was handed to it completely.
  server_connection* mConnection;
  exchange_observer* mObserver = nullptr;
  request_head mHead;
  std::string mBody;
  bool mBodyComplete = false;
  bool mStarted = false;
  bool mSent = false;
  bool mFinished = false;
  bool mClosesConnection = false;
  body_framing mFraming = body_framing::kNone;
  // Output that is not written yet, because earlier responses come first or until the end of the
  // loop iteration.
  std::string mPendingOutput;
};

// Limits on callers. Queried for each use, since they change with the configuration.
struct caller_limits
{
  parse_limits parse;
  common::milliseconds headerTimeout{ 5000 };
  common::milliseconds idleTimeout{ 60000 };
  // Every response is sent with "Connection: close" and ends its connection.
  bool closing = false;
};

// An open connection, in the list of its handler.
class open_connection
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  virtual ~open_connection() = default;
  // Whether there is output that the caller's host has not received.
  virtual bool HasUndeliveredOutput() = 0;
};

// Handles the requests of a listener's connections.
class exchange_handler
{
public:
  virtual ~exchange_handler() = default;
  virtual caller_limits Limits() const = 0;
  // Called when the head of a request was received; the body may follow. The handler responds now
  // or later.
  virtual void OnRequest(const server_exchange_ptr& aExchange) = 0;

  void Add(open_connection& aConnection) { mConnections.push_back(aConnection); }
  // Number of connections with output that the callers' hosts have not received.
  size_t UndeliveredConnections();

private:
  boost::intrusive::list<open_connection, boost::intrusive::constant_time_size<false>> mConnections;
};

class server_connection
  : public boost::intrusive_ref_counter<server_connection, boost::thread_unsafe_counter>
  , private open_connection
  , private stream_owner
  , private message_sink
{
public:
  // Serves an accepted descriptor. The connection object owns itself until the connection ends.
  static void Serve(event_loop& aLoop, exchange_handler& aHandler, int aFd);
  ~server_connection() override = default;

private:
  friend class server_exchange;

  server_connection(event_loop& aLoop, exchange_handler& aHandler);

  // open_connection
  bool HasUndeliveredOutput() override { return mStream->HasUndeliveredOutput(); }
  // stream_owner
  void OnInput() override;
  void OnWritable() override;
  void OnEnd(stream_end aEnd) override;
  // message_sink
  void OnHead() override;
  void OnBody(std::string_view aBytes) override;

  void Parse();
  void OnMessageEnd();
  void RejectInput(int aStatus);
  bool CanParse() const;
  void UpdateReading();
  bool IsFront(const server_exchange& aExchange) const;
  bool IsLast(const server_exchange& aExchange) const;
  void OnOutput(server_exchange& aExchange, std::string_view aBytes);
  void NotifyWritable(bool aWasFull);
  void OnFinished();
  void OnAbort();
  void CloseAfterOutput();
  // Restarts the timeout in force while the caller receives output.
  void NoteDelivery();
  common::boot_time TimerDeadline();
  void OnTimer();
  void Detach();

  event_loop& mLoop;
  exchange_handler& mHandler;
  tcp_stream_ptr mStream;
  std::unique_ptr<request_parser> mParser;
  // Requests whose responses are not complete yet, in the order received.
  std::deque<server_exchange_ptr> mExchanges;
  // The request whose body is being received.
  server_exchange_ptr mReceiving;
  loop_timer mTimer;
  // Start of the timeout in force: for a complete head, for the next request, or for lingering.
  common::boot_time mTimeoutStart;
  bool mHeadPending = false;
  bool mParsing = false;
  // Parsing is paused because the body buffer is full or too many requests are in progress.
  bool mParsingPaused = false;
  // The response to the last request that was received ends the connection. Later ones are not
  // parsed, so that the caller can tell that they were not handled.
  bool mLastRequestReceived = false;
  // No further requests are parsed.
  bool mInputEnded = false;
  bool mLingering = false;
  // Where the output of the finished responses ends, in bytes since the connection was established.
  uint64_t mFinishedOutputEnd = 0;
  // As of the last NoteDelivery().
  uint64_t mDeliveredBytes = 0;
  bool mUndelivered = false;
  boost::intrusive_ptr<server_connection> mSelf;
};

} // namespace bamboograde::connection::http
