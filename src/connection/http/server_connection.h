// The serving side of a connection: requests in, responses out in the order of the requests.
#pragma once

#include "connection/http/message_parser.h"
#include "connection/http/tcp_stream.h"

#include <deque>

namespace bamboograde::connection::http {

class server_connection;
class server_exchange;
using server_exchange_ptr = boost::intrusive_ptr<server_exchange>;

// What an exchange tells the one who answers it.
class exchange_observer
{
public:
  virtual ~exchange_observer() = default;
  // More of the request's body has arrived, or its end.
  virtual void OnRequestBody() = 0;
  // The caller has closed its connection; the response is not wanted any more.
  virtual void OnCallerGone() = 0;
  // The caller has read enough for more of the response to be sent.
  virtual void OnResponseWritable() {}
};

// One request and its response. Responses may be made in any order.
class server_exchange
  : public boost::intrusive_ref_counter<server_exchange, boost::thread_unsafe_counter>
{
public:
  server_exchange(server_connection* aConnection, request_head aHead);

  request_head& Head() { return mHead; }
  // Bytes of the body that have arrived and were not taken yet.
  const std::string& Body() const { return mBody; }
  // Hands over what has arrived, and lets more arrive.
  std::string TakeBody();
  bool BodyComplete() const { return mBodyComplete; }
  void SetObserver(exchange_observer* aObserver) { mObserver = aObserver; }

  // Sends a whole response.
  void Respond(response_head aHead, std::string_view aBody);
  // Sends a response in pieces. A body that ends with its connection is sent in chunks.
  void StartResponse(response_head aHead);
  void SendBody(std::string_view aBytes);
  void FinishResponse();
  // Resets the connection, so that a partial response can not look complete.
  void Abort();
  // The caller reads more slowly than the response is made.
  bool Congested() const;
  bool Started() const { return mStarted; }
  bool Finished() const { return mFinished; }
  bool CallerGone() const { return mConnection == nullptr; }

private:
  friend class server_connection;

  void Emit(std::string_view aBytes);

  // Null when the connection has ended.
  server_connection* mConnection;
  exchange_observer* mObserver = nullptr;
  request_head mHead;
  std::string mBody;
  bool mBodyComplete = false;
  bool mStarted = false;
  bool mFinished = false;
  bool mClose = false;
  body_framing mFraming = body_framing::kNone;
  // Output that waits for earlier responses of the connection.
  std::string mWaiting;
};

// Limits on callers. Read anew for each use, since they change with the configuration.
struct caller_limits
{
  parse_limits parse;
  common::milliseconds headerTimeout{ 5000 };
  common::milliseconds idleTimeout{ 60000 };
  // Responses announce that the connection ends.
  bool closing = false;
};

// Answers the requests of a listener's connections.
class exchange_handler
{
public:
  virtual ~exchange_handler() = default;
  virtual caller_limits Limits() const = 0;
  // The head has arrived, not necessarily the body. The handler answers, now or later.
  virtual void OnRequest(const server_exchange_ptr& aExchange) = 0;
};

class server_connection
  : public boost::intrusive_ref_counter<server_connection, boost::thread_unsafe_counter>
  , private stream_owner
  , private message_sink
{
public:
  // Keeps itself alive until the connection ends.
  static void Serve(event_loop& aLoop, exchange_handler& aHandler, int aFd);
  ~server_connection() override = default;

private:
  friend class server_exchange;

  server_connection(event_loop& aLoop, exchange_handler& aHandler);

  // stream_owner
  void OnInput() override;
  void OnWritable() override;
  void OnEnd(stream_end aEnd) override;
  // message_sink
  void OnHead() override;
  void OnBody(std::string_view aBytes) override;

  void Parse();
  void OnMessageEnd();
  void RefuseInput(int aStatus);
  bool MayRead() const;
  void UpdateReading();
  void OnOutput(server_exchange& aExchange, std::string_view aBytes);
  void OnFinished();
  void OnAbort();
  void CloseAfterOutput();
  common::boot_time TimerDeadline() const;
  void OnTimer();
  void Detach();

  event_loop& mLoop;
  exchange_handler& mHandler;
  tcp_stream_ptr mStream;
  std::unique_ptr<request_parser> mParser;
  // Requests whose responses are not sent whole, in order.
  std::deque<server_exchange_ptr> mExchanges;
  // The request whose body is arriving.
  server_exchange_ptr mReceiving;
  loop_timer mTimer;
  // When the present wait began: for a head to be complete, or for the next request.
  common::boot_time mWaitingSince;
  bool mHeadPending = false;
  bool mParsing = false;
  // Parsing stopped because too much is outstanding.
  bool mHeldBack = false;
  // No further request is read.
  bool mInputDone = false;
  bool mLingering = false;
  boost::intrusive_ptr<server_connection> mSelf;
};

} // namespace bamboograde::connection::http
