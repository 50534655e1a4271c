#include "connection/http_server.h"

#include <sys/socket.h>

namespace bamboograde::connection {

namespace {

constexpr char kBodySizeKey[] = "bamboograde-body-size";
constexpr char kTimeoutKey[] = "bamboograde-timeout";
constexpr int kListenBacklog = 1024;

// Timeout that closes the connection of a request that is not received completely in time.
struct request_timeout
{
  GSource* source;
  GSocket* socket;
};

gboolean ExpireRequest(gpointer aData)
{
  auto* timeout = static_cast<request_timeout*>(aData);
  shutdown(g_socket_get_fd(timeout->socket), SHUT_RDWR);
  return G_SOURCE_REMOVE;
}

void FreeTimeout(gpointer aData)
{
  auto* timeout = static_cast<request_timeout*>(aData);
  g_source_destroy(timeout->source);
  g_source_unref(timeout->source);
  g_object_unref(timeout->socket);
  delete timeout;
}

// Calls bind(2) directly, because g_socket_bind() resets SO_REUSEPORT.
bool Bind(GSocket* aSocket, GSocketAddress* aAddress, bool aShared)
{
  sockaddr_storage native{};
  gssize size = g_socket_address_get_native_size(aAddress);
  return g_socket_set_option(aSocket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr) &&
         g_socket_set_option(aSocket, SOL_SOCKET, SO_REUSEPORT, aShared ? 1 : 0, nullptr) &&
         g_socket_address_to_native(aAddress, &native, sizeof native, nullptr) &&
         bind(g_socket_get_fd(aSocket), reinterpret_cast<sockaddr*>(&native), socklen_t(size)) == 0;
}

common::error BindError(const common::endpoint& aEndpoint, const char* aReason)
{
  return { common::error_code::kUnavailable, "Cannot listen at " + aEndpoint.Str() + ": " +
                                               aReason + ". Give a free address in the settings." };
}

} // namespace

http_server::http_server(http_server_limits aLimits)
  : mLimits(aLimits)
  , mServer(soup_server_new("server-header", "bamboograde", nullptr))
{
  soup_server_add_handler(mServer, nullptr, &http_server::OnRequest, this, nullptr);
  g_signal_connect(mServer, "request-started", G_CALLBACK(&http_server::OnRequestStarted), this);
}

http_server::~http_server()
{
  StopListening();
  soup_server_disconnect(mServer);
  g_object_unref(mServer);
}

void http_server::Handle(const std::string& aPath, handler aHandler)
{
  mHandlers[aPath] = std::move(aHandler);
}

void http_server::HandleDefault(handler aHandler)
{
  mDefaultHandler = std::move(aHandler);
}

common::result<void> http_server::Listen(const common::endpoint& aEndpoint, bool aShared)
{
  size_t colon = aEndpoint.Str().rfind(':');
  if (colon == std::string::npos) {
    return BindError(aEndpoint, "it is not of the form IP:PORT");
  }
  GSocketAddress* address =
    g_inet_socket_address_new_from_string(aEndpoint.Str().substr(0, colon).c_str(),
                                          guint(std::atoi(aEndpoint.Str().c_str() + colon + 1)));
  if (address == nullptr) {
    return BindError(aEndpoint, "it is not of the form IP:PORT");
  }
  GError* error = nullptr;
  mSocket = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                         G_SOCKET_PROTOCOL_TCP, &error);
  bool ok = mSocket != nullptr && Bind(mSocket, address, aShared);
  g_object_unref(address);
  if (!ok) {
    return BindError(aEndpoint, g_strerror(errno));
  }
  g_socket_set_listen_backlog(mSocket, kListenBacklog);
  ok = g_socket_listen(mSocket, &error) &&
       soup_server_listen_socket(mServer, mSocket, SoupServerListenOptions(0), &error);
  if (!ok) {
    common::error failure = BindError(aEndpoint, error->message);
    g_error_free(error);
    return failure;
  }
  return boost::outcome_v2::success();
}

void http_server::StopListening()
{
  if (mSocket == nullptr) {
    return;
  }
  GSList* listeners = soup_server_get_listeners(mServer);
  g_slist_free(listeners);
  g_socket_close(mSocket, nullptr);
  g_clear_object(&mSocket);
}

void http_server::OnRequestStarted(SoupServer*, SoupServerMessage* aMessage, gpointer aSelf)
{
  auto* self = static_cast<http_server*>(aSelf);
  g_signal_connect(aMessage, "got-headers", G_CALLBACK(&http_server::OnGotHeaders), aSelf);
  g_signal_connect(aMessage, "got-chunk", G_CALLBACK(&http_server::OnGotChunk), aSelf);
  GSocket* socket = soup_server_message_get_socket(aMessage);
  if (socket == nullptr) {
    return;
  }
  auto* timeout =
    new request_timeout{ g_timeout_source_new_seconds(self->mLimits.requestTimeoutSeconds),
                         G_SOCKET(g_object_ref(socket)) };
  g_source_set_callback(timeout->source, &ExpireRequest, timeout, nullptr);
  g_source_attach(timeout->source, g_main_context_get_thread_default());
  g_object_set_data_full(G_OBJECT(aMessage), kTimeoutKey, timeout, &FreeTimeout);
}

void http_server::OnGotHeaders(SoupServerMessage* aMessage, gpointer aSelf)
{
  auto* self = static_cast<http_server*>(aSelf);
  auto* headers = soup_server_message_get_request_headers(aMessage);
  goffset announced = soup_message_headers_get_content_length(headers);
  if (announced > goffset(self->mLimits.maxBodyBytes)) {
    soup_message_body_set_accumulate(soup_server_message_get_request_body(aMessage), FALSE);
  }
}

void http_server::OnGotChunk(SoupServerMessage* aMessage, GBytes* aChunk, gpointer aSelf)
{
  auto* self = static_cast<http_server*>(aSelf);
  size_t total = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(aMessage), kBodySizeKey));
  total += g_bytes_get_size(aChunk);
  g_object_set_data(G_OBJECT(aMessage), kBodySizeKey, GSIZE_TO_POINTER(total));
  if (total > self->mLimits.maxBodyBytes) {
    // Discards the received part as well, so that a caller can not exhaust the memory.
    SoupMessageBody* body = soup_server_message_get_request_body(aMessage);
    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
  }
}

void http_server::OnRequest(SoupServer*, SoupServerMessage* aMessage, const char* aPath,
                            GHashTable*, gpointer aSelf)
{
  auto* self = static_cast<http_server*>(aSelf);
  g_object_set_data(G_OBJECT(aMessage), kTimeoutKey, nullptr);
  size_t total = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(aMessage), kBodySizeKey));
  http_exchange_ptr exchange(new http_exchange(aMessage, total > self->mLimits.maxBodyBytes));
  auto found = self->mHandlers.find(std::string_view(aPath));
  if (found != self->mHandlers.end()) {
    found->second(std::move(exchange));
  } else if (self->mDefaultHandler) {
    self->mDefaultHandler(std::move(exchange));
  } else {
    exchange->RespondJson(404, R"({"error":"No such path. See docs/INTERFACE.md."})");
  }
}

} // namespace bamboograde::connection
