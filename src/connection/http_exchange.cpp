#include "connection/http_exchange.h"

#include <sys/socket.h>

namespace bamboograde::connection {

std::string_view FindHeader(const header_list& aHeaders, std::string_view aName)
{
  for (const http_header& header : aHeaders) {
    if (header.name.size() == aName.size() &&
        g_ascii_strncasecmp(header.name.data(), aName.data(), aName.size()) == 0) {
      return header.value;
    }
  }
  return {};
}

http_exchange::http_exchange(SoupServerMessage* aMessage, bool aOversized)
  : mMessage(SOUP_SERVER_MESSAGE(g_object_ref(aMessage)))
  , mOversized(aOversized)
{
  soup_server_message_pause(mMessage);
}

http_exchange::~http_exchange()
{
  StopDisconnectWatch();
  if (!mResponded) {
    // The handler released the exchange without a response. The caller would wait for one.
    Respond({ 500, {}, "" });
  }
  g_object_unref(mMessage);
}

std::string http_exchange::Method() const
{
  return soup_server_message_get_method(mMessage);
}

std::string http_exchange::Path() const
{
  return g_uri_get_path(soup_server_message_get_uri(mMessage));
}

std::string http_exchange::Target() const
{
  const char* query = g_uri_get_query(soup_server_message_get_uri(mMessage));
  return query == nullptr ? Path() : Path() + "?" + query;
}

std::string http_exchange::Query(const char* aName) const
{
  const char* query = g_uri_get_query(soup_server_message_get_uri(mMessage));
  if (query == nullptr) {
    return "";
  }
  GHashTable* table = soup_form_decode(query);
  const auto* value = static_cast<const char*>(g_hash_table_lookup(table, aName));
  std::string text = value == nullptr ? "" : value;
  g_hash_table_unref(table);
  return text;
}

std::string http_exchange::Header(const char* aName) const
{
  auto* headers = soup_server_message_get_request_headers(mMessage);
  const char* value = soup_message_headers_get_one(headers, aName);
  return value == nullptr ? "" : value;
}

header_list http_exchange::Headers() const
{
  header_list list;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, soup_server_message_get_request_headers(mMessage));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    list.push_back({ name, value });
  }
  return list;
}

std::string http_exchange::TakeBody()
{
  SoupMessageBody* body = soup_server_message_get_request_body(mMessage);
  if (body->data == nullptr) {
    return "";
  }
  std::string text(body->data, size_t(body->length));
  soup_message_body_truncate(body);
  return text;
}

void http_exchange::Respond(const http_response& aResponse)
{
  if (mResponded) {
    return;
  }
  mResponded = true;
  StopDisconnectWatch();
  mOnDisconnect = nullptr;
  auto* headers = soup_server_message_get_response_headers(mMessage);
  for (const http_header& header : aResponse.headers) {
    soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
  }
  soup_server_message_set_status(mMessage, guint(aResponse.status), nullptr);
  if (!aResponse.body.empty()) {
    soup_message_body_append(soup_server_message_get_response_body(mMessage), SOUP_MEMORY_COPY,
                             aResponse.body.data(), aResponse.body.size());
  }
  soup_server_message_unpause(mMessage);
}

void http_exchange::RespondJson(int aStatus, const std::string& aJson)
{
  Respond({ aStatus, { { "Content-Type", "application/json" } }, aJson });
}

void http_exchange::WatchDisconnect(std::function<void()> aCallback)
{
  GSocket* socket = soup_server_message_get_socket(mMessage);
  if (mResponded || socket == nullptr) {
    return;
  }
  mOnDisconnect = std::move(aCallback);
  // Libsoup does not read from a paused connection, so it does not notice a disconnect.
  mDisconnectSource =
    g_socket_create_source(socket, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
  g_source_set_callback(mDisconnectSource, G_SOURCE_FUNC(&http_exchange::OnSocketReady), this,
                        nullptr);
  g_source_attach(mDisconnectSource, g_main_context_get_thread_default());
}

gboolean http_exchange::OnSocketReady(GSocket* aSocket, GIOCondition, gpointer aSelf)
{
  auto* self = static_cast<http_exchange*>(aSelf);
  char byte = 0;
  ssize_t count = recv(g_socket_get_fd(aSocket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool closed = count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  http_exchange_ptr reference(self);
  self->StopDisconnectWatch();
  if (closed && self->mOnDisconnect) {
    auto callback = std::move(self->mOnDisconnect);
    callback();
  }
  return G_SOURCE_REMOVE;
}

void http_exchange::StopDisconnectWatch()
{
  if (mDisconnectSource == nullptr) {
    return;
  }
  g_source_destroy(mDisconnectSource);
  g_source_unref(mDisconnectSource);
  mDisconnectSource = nullptr;
}

} // namespace bamboograde::connection
