#include "connection/loop_fixture.h"
#include "connection/raw_server.h"

using namespace bamboograde;
using connection::transport_failure;
using tests::raw_server;

namespace {

constexpr char kOkResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

connection::http_request RequestTo(const std::string& aAuthority,
                                   const std::string& aMethod = "GET")
{
  connection::http_request request;
  request.method = aMethod;
  request.authority = aAuthority;
  return request;
}

// Reads one request and responds with these bytes. A client that has given up may leave a
// connection open on which nothing comes.
void Respond(int aFd, const std::string& aResponse)
{
  timeval limit{ 1, 0 };
  setsockopt(aFd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  if (raw_server::ReadRequest(aFd)) {
    raw_server::Write(aFd, aResponse);
  }
}

// Result of a request whose response is these bytes, followed by the end of the connection.
connection::http_result ResultOf(const std::string& aResponse)
{
  raw_server server([&](int aFd) { Respond(aFd, aResponse); });
  tests::loop_fixture loop;
  connection::http_client client({});
  return loop.Send(client, RequestTo(server.Authority()));
}

} // namespace

Test(http_client, refused_connection_is_reported_as_not_connected)
{
  tests::loop_fixture loop;
  connection::http_client client({});
  auto result = loop.Send(client, RequestTo("127.0.0.1:1"));
  cr_assert(result.failure == transport_failure::kNotConnected);
}

Test(http_client, unresponsive_server_times_out_at_the_deadline)
{
  raw_server server([](int aFd) {
    raw_server::ReadRequest(aFd);
    char byte = 0;
    recv(aFd, &byte, 1, 0);
  });
  tests::loop_fixture loop;
  connection::http_client client({});
  auto result = loop.Send(client, RequestTo(server.Authority()), common::milliseconds(200));
  cr_assert(result.failure == transport_failure::kTimeout);
}

Test(http_client, truncated_response_is_reported_as_broken)
{
  raw_server server([](int aFd) {
    raw_server::ReadRequest(aFd);
    raw_server::Write(aFd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
  });
  tests::loop_fixture loop;
  connection::http_client client({});
  auto result = loop.Send(client, RequestTo(server.Authority()));
  cr_assert(result.failure == transport_failure::kBroken);
}

// Libsoup retries a request by itself when a persistent connection is lost. The server may have
// executed the request already, so the client must suppress this retry.
Test(http_client, request_on_a_lost_persistent_connection_is_not_retried)
{
  for (const char* method : { "GET", "POST" }) {
    std::atomic<int> requests{ 0 };
    raw_server server([&](int aFd) {
      if (raw_server::ReadRequest(aFd)) {
        ++requests;
        raw_server::Write(aFd, kOkResponse);
      }
      if (raw_server::ReadRequest(aFd)) {
        ++requests;
      }
    });
    tests::loop_fixture loop;
    connection::http_client client({});
    cr_assert(loop.Send(client, RequestTo(server.Authority())).Ok());
    auto result = loop.Send(client, RequestTo(server.Authority(), method));
    cr_assert(result.failure == transport_failure::kBroken);
    cr_assert_eq(requests.load(), 2, "%s was seen %d times", method, requests.load() - 1);
  }
}

// Guards against a new connection for each POST: by default, libsoup reuses connections only for
// idempotent methods.
Test(http_client, connections_are_reused_for_every_method)
{
  raw_server server([](int aFd) {
    while (raw_server::ReadRequest(aFd)) {
      raw_server::Write(aFd, kOkResponse);
    }
  });
  tests::loop_fixture loop;
  connection::http_client client({});
  for (const char* method : { "GET", "POST", "PUT", "POST" }) {
    cr_assert(loop.Send(client, RequestTo(server.Authority(), method)).Ok());
  }
  cr_assert_eq(server.Accepted(), 1);
}

Test(http_client, a_status_that_http_does_not_define_is_broken)
{
  for (const char* status :
       { "000", "001", "099", "600", "700", "999", "99", "7", "1000", "-20", "+20", "2x0" }) {
    auto result =
      ResultOf("HTTP/1.1 " + std::string(status) + " Reason\r\nContent-Length: 2\r\n\r\nok");
    cr_expect(result.failure == transport_failure::kBroken, "%s: failure %d, status %d", status,
              int(result.failure), result.response.status);
  }
  for (int status : { 200, 299, 399, 404, 499, 599 }) {
    auto result =
      ResultOf("HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: 2\r\n\r\nok");
    cr_expect(result.Ok(), "%d: failure %d", status, int(result.failure));
    cr_expect_eq(result.response.status, status);
  }
}

// The server reads nothing of the upload, so that output waits when it resets the connection.
Test(http_client, a_response_without_length_that_is_reset_during_an_upload_is_broken)
{
  constexpr useconds_t kPauseUs = 200000;
  raw_server server([&](int aFd) {
    Respond(aFd, "HTTP/1.1 200 OK\r\n\r\npart");
    usleep(kPauseUs);
    linger abort{ 1, 0 };
    setsockopt(aFd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  });
  tests::loop_fixture loop;
  connection::http_client client({});
  auto request = RequestTo(server.Authority(), "POST");
  request.body.assign(size_t(32) * 1024 * 1024, 'x');
  cr_assert(loop.Send(client, request).failure == transport_failure::kBroken);
}

// RFC 9112, section 5: a field name is a token.
Test(http_client, a_head_with_a_field_name_that_is_no_token_is_broken)
{
  for (const char* line :
       { "X\x01: v", "X-Control\x7f: v", "X\x80: v", "X(Y): v", "X\"Y: v", "X/Y: v" }) {
    auto result = ResultOf("HTTP/1.1 200 OK\r\nX-First: a\r\n" + std::string(line) +
                           "\r\nContent-Length: 4\r\n\r\nbody");
    cr_expect(result.failure == transport_failure::kBroken, "%s", line);
  }
  auto result = ResultOf("HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9Z: a b\r\n\r\nbody");
  cr_expect(result.Ok());
  cr_expect(result.response.body == "body");
}

// Known to fail (KNOWN-RED.txt).
Test(http_client, a_head_with_a_line_that_is_no_field_is_broken, .disabled = true)
{
  for (const char* line :
       { " X-Folded: v", "\tX-Folded: v", " Content-Length: 2", "X Blank: v", "X-Blank : v",
         "X-Tab\t: v", "Content-Length : 2", "Content Length: 2", "no colon", ": no name" }) {
    auto result =
      ResultOf("HTTP/1.1 200 OK\r\nX-First: a\r\n" + std::string(line) + "\r\n\r\nbody");
    cr_expect(result.failure == transport_failure::kBroken, "%s", line);
  }
}
