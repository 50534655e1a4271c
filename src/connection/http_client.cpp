#include "connection/http_client.h"

#include "connection/http/message.h"

#include <algorithm>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace bamboograde::connection {

namespace {

// The kernel closes a connection whose output stays unacknowledged this long.
constexpr int kUserTimeoutMs = 2000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr size_t kMaxRequestsPerSession = 32;

void SetConnectionOptions(GSocketConnection* aConnection)
{
  GSocket* socket = g_socket_connection_get_socket(aConnection);
  g_socket_set_keepalive(socket, TRUE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes, nullptr);
}

bool IsConnectFailure(const GError* aError)
{
  return g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

void CopyResponse(SoupMessage* aMessage, GBytes* aBody, http_response* aResponse)
{
  aResponse->status = int(soup_message_get_status(aMessage));
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, soup_message_get_response_headers(aMessage));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    aResponse->headers.push_back({ name, value });
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(aBody, &size));
  if (data != nullptr) {
    aResponse->body.assign(data, size);
  }
}

// Whether the text is a token (RFC 9110, section 5.6.2).
bool IsToken(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return g_ascii_isalnum(aChar) ||
           (aChar != 0 && std::strchr("!#$%&'*+-.^_`|~", aChar) != nullptr);
  });
}

// Libsoup accepts some heads that HTTP does not allow.
bool HasValidHead(const http_response& aResponse)
{
  return http::IsDefinedStatus(aResponse.status) &&
         std::all_of(aResponse.headers.begin(), aResponse.headers.end(),
                     [](const http_header& aHeader) { return IsToken(aHeader.name); });
}

} // namespace

http_call::~http_call()
{
  StopTimer();
  g_clear_object(&mCancellable);
  g_clear_object(&mMessage);
}

void http_call::Cancel()
{
  if (mCancellable != nullptr) {
    g_cancellable_cancel(mCancellable);
  }
}

void http_call::StopTimer()
{
  if (mTimer == nullptr) {
    return;
  }
  g_source_destroy(mTimer);
  g_source_unref(mTimer);
  mTimer = nullptr;
}

gboolean http_call::OnDeadline(gpointer aSelf)
{
  auto* self = static_cast<http_call*>(aSelf);
  http_call_ptr reference(self);
  self->StopTimer();
  self->mTimedOut = true;
  self->Cancel();
  return G_SOURCE_REMOVE;
}

void http_call::OnNetworkEvent(SoupMessage*, GSocketClientEvent aEvent, GIOStream* aStream,
                               gpointer aSelf)
{
  if (aEvent == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(aStream)) {
    SetConnectionOptions(G_SOCKET_CONNECTION(aStream));
    static_cast<http_call*>(aSelf)->mConnected = true;
  }
}

void http_call::OnRestarted(SoupMessage*, gpointer aSelf)
{
  // Prevents libsoup's automatic retry. The server may have executed the request before the
  // connection was lost, so only the code that called Send() can decide whether to send it again.
  auto* self = static_cast<http_call*>(aSelf);
  self->mRestarted = true;
  self->Cancel();
}

transport_failure http_call::ToFailure(const GError* aError) const
{
  if (IsConnectFailure(aError) && !mConnected) {
    return transport_failure::kNotConnected;
  }
  if (mTimedOut && !mRestarted) {
    return transport_failure::kTimeout;
  }
  bool cancelled = g_error_matches(aError, G_IO_ERROR, G_IO_ERROR_CANCELLED) != FALSE;
  return cancelled && !mRestarted ? transport_failure::kCancelled : transport_failure::kBroken;
}

void http_call::OnFinished(GObject* aSession, GAsyncResult* aResult, gpointer aSelf)
{
  // Takes over the reference that Send() passed to libsoup.
  http_call_ptr self(static_cast<http_call*>(aSelf), false);
  self->StopTimer();
  --self->mSession->openRequests;
  GError* error = nullptr;
  GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(aSession), aResult, &error);
  http_result result;
  if (body != nullptr) {
    CopyResponse(self->mMessage, body, &result.response);
    g_bytes_unref(body);
    if (!HasValidHead(result.response)) {
      result = { transport_failure::kBroken, {} };
    }
  } else {
    result.failure = self->ToFailure(error);
    g_error_free(error);
  }
  g_signal_handlers_disconnect_by_data(self->mMessage, self.get());
  auto callback = std::move(self->mCallback);
  callback(std::move(result));
}

http_client::http_client(http_client_limits aLimits)
  : mLimits(aLimits)
{
}

http_client::~http_client()
{
  for (const auto& session : mSessions) {
    soup_session_abort(session->session);
  }
}

http_session& http_client::PickSession()
{
  for (const auto& session : mSessions) {
    if (session->openRequests < kMaxRequestsPerSession) {
      return *session;
    }
  }
  SoupSession* soupSession = soup_session_new_with_options(
    "max-conns", int(mLimits.maxConnections), "max-conns-per-host",
    int(mLimits.maxConnectionsPerServer), "idle-timeout", mLimits.idleTimeoutSeconds, nullptr);
  // Bodies are passed on without decoding Content-Encoding.
  soup_session_remove_feature_by_type(soupSession, SOUP_TYPE_CONTENT_DECODER);
  mSessions.emplace_back(new http_session(soupSession));
  return *mSessions.back();
}

http_call_ptr http_client::Send(const http_request& aRequest, common::boot_time aDeadline,
                                common::boot_time aNow, http_callback aCallback)
{
  http_call_ptr call(new http_call());
  std::string url = "http://" + aRequest.authority + aRequest.target;
  call->mCallback = std::move(aCallback);
  call->mCancellable = g_cancellable_new();
  call->mMessage = soup_message_new(aRequest.method.c_str(), url.c_str());
  if (call->mMessage == nullptr) {
    // The URL is not valid. The placeholder message is cancelled, so that the callback still runs.
    call->mMessage = soup_message_new("GET", "http://127.0.0.1:0/");
    call->Cancel();
  }
  // Libsoup reuses connections only for messages that are marked as idempotent. It also retries
  // such messages by itself when a persistent connection is lost, which OnRestarted() prevents.
  unsigned flags = SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT;
  if (aRequest.newConnection) {
    flags |= SOUP_MESSAGE_NEW_CONNECTION;
  }
  soup_message_add_flags(call->mMessage, SoupMessageFlags(flags));
  auto* headers = soup_message_get_request_headers(call->mMessage);
  for (const http_header& header : aRequest.headers) {
    soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
  }
  if (!aRequest.body.empty() || aRequest.method == "POST" || aRequest.method == "PUT") {
    GBytes* body = g_bytes_new(aRequest.body.data(), aRequest.body.size());
    soup_message_set_request_body_from_bytes(call->mMessage, nullptr, body);
    g_bytes_unref(body);
  }
  g_signal_connect(call->mMessage, "network-event", G_CALLBACK(&http_call::OnNetworkEvent),
                   call.get());
  g_signal_connect(call->mMessage, "restarted", G_CALLBACK(&http_call::OnRestarted), call.get());
  int64_t remainingMs = std::max<int64_t>(0, common::MillisUntil(aDeadline, aNow));
  call->mTimer = g_timeout_source_new(guint(remainingMs));
  g_source_set_callback(call->mTimer, &http_call::OnDeadline, call.get(), nullptr);
  g_source_attach(call->mTimer, g_main_context_get_thread_default());
  call->mSession = &PickSession();
  ++call->mSession->openRequests;
  intrusive_ptr_add_ref(call.get());
  soup_session_send_and_read_async(call->mSession->session, call->mMessage, G_PRIORITY_DEFAULT,
                                   call->mCancellable, &http_call::OnFinished, call.get());
  return call;
}

} // namespace bamboograde::connection
