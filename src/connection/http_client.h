// HTTP/1.1 client with persistent connections, based on libsoup. Runs on the calling thread's
// default main context.
#pragma once

#include "common/clock.h"
#include "connection/http_message.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <libsoup/soup.h>

namespace bamboograde::connection {

// Why a request got no response.
enum class transport_failure
{
  kNone,
  // The connection could not be established; nothing was sent.
  kNotConnected,
  // The deadline passed; the server may have executed the request.
  kTimeout,
  // The request was cancelled through http_call::Cancel().
  kCancelled,
  // The connection was lost or the response is not HTTP; the server may have executed the request.
  kBroken,
};

struct http_result
{
  transport_failure failure = transport_failure::kNone;
  http_response response;
  bool Ok() const { return failure == transport_failure::kNone; }
};

using http_callback = std::function<void(http_result)>;

// A libsoup session. Libsoup scans all requests of a session whenever one of them makes progress,
// so a client distributes its requests over several sessions.
struct http_session
  : public boost::intrusive_ref_counter<http_session, boost::thread_unsafe_counter>
{
  explicit http_session(SoupSession* aSession)
    : session(aSession)
  {
  }
  ~http_session() { g_object_unref(session); }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  SoupSession* session;
  size_t openRequests = 0;
};

// A request in progress. Cancel() closes its connection, and the callback then reports kCancelled.
class http_call : public boost::intrusive_ref_counter<http_call, boost::thread_unsafe_counter>
{
public:
  http_call() = default;
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;
  void Cancel();

private:
  friend class http_client;
  static gboolean OnDeadline(gpointer aSelf);
  static void OnFinished(GObject* aSession, GAsyncResult* aResult, gpointer aSelf);
  static void OnNetworkEvent(SoupMessage* aMessage, GSocketClientEvent aEvent, GIOStream* aStream,
                             gpointer aSelf);
  static void OnRestarted(SoupMessage* aMessage, gpointer aSelf);
  transport_failure ToFailure(const GError* aError) const;
  void StopTimer();

  boost::intrusive_ptr<http_session> mSession;
  GCancellable* mCancellable = nullptr;
  SoupMessage* mMessage = nullptr;
  GSource* mTimer = nullptr;
  bool mTimedOut = false;
  bool mConnected = false;
  bool mRestarted = false;
  http_callback mCallback;
};

using http_call_ptr = boost::intrusive_ptr<http_call>;

struct http_client_limits
{
  // Per libsoup session. Requests beyond these limits wait in libsoup's queue, which becomes slower
  // with its length.
  unsigned maxConnectionsPerServer = 1024;
  unsigned maxConnections = 8192;
  // Connections that are idle this long are closed. Must be shorter than the servers' idle timeout.
  unsigned idleTimeoutSeconds = 30;
};

class http_client
{
public:
  explicit http_client(http_client_limits aLimits);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends a request. The callback runs exactly once, asynchronously, on this thread.
  http_call_ptr Send(const http_request& aRequest, common::boot_time aDeadline,
                     common::boot_time aNow, http_callback aCallback);

private:
  // Returns the first session below its request limit, so that persistent connections are reused.
  http_session& PickSession();

  http_client_limits mLimits;
  std::vector<boost::intrusive_ptr<http_session>> mSessions;
};

} // namespace bamboograde::connection
