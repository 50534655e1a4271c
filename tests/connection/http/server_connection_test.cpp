#include "connection/http/http_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <stdexcept>
#include <sys/resource.h>

using namespace bamboograde;
using namespace bamboograde::connection::http;
using tests::http_fixture;

namespace {

constexpr common::milliseconds kLoopTime{ 20 };

class recording_handler
  : public exchange_handler
  , public exchange_observer
{
public:
  caller_limits Limits() const override { return limits; }
  void OnRequest(const server_exchange_ptr& aExchange) override
  {
    exchanges.push_back(aExchange);
    aExchange->SetObserver(this);
  }
  void OnRequestBody() override { ++bodyEvents; }
  void OnCallerDisconnected() override { ++disconnects; }
  void OnResponseWritable() override { ++writableEvents; }

  void RespondTo(size_t aIndex, int aStatus, const std::string& aBody)
  {
    response_head head;
    head.status = aStatus;
    exchanges[aIndex]->Respond(head, aBody);
  }

  caller_limits limits;
  std::vector<server_exchange_ptr> exchanges;
  int bodyEvents = 0;
  int disconnects = 0;
  int writableEvents = 0;
};

constexpr char kGet[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

Test(server_connection, answers_pipelined_requests_in_their_order)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + kGet + kGet);
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.exchanges.size(), 3U);
  handler.RespondTo(2, 200, "three");
  handler.RespondTo(1, 200, "two");
  fixture.RunFor(kLoopTime);
  cr_assert(http_fixture::Receive(fd).empty());
  handler.RespondTo(0, 200, "one");
  fixture.RunFor(kLoopTime);
  std::string text = http_fixture::Receive(fd);
  size_t one = text.find("one");
  size_t two = text.find("two");
  size_t three = text.find("three");
  cr_assert(one < two && two < three && three != std::string::npos);
  close(fd);
}

// A large response that waited behind a slower one stopped when its turn came: its sender had
// paused and was not told to go on.
Test(server_connection, a_large_response_goes_on_after_a_slower_one_before_it)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + kGet);
  fixture.RunFor(kLoopTime);
  server_exchange& large = *handler.exchanges[1];
  response_head head;
  head.status = 200;
  std::string part(tcp_stream::kHighWaterMarkBytes + 1, 'x');
  head.body = { body_framing::kLength, 2 * part.size() };
  large.StartResponse(head);
  large.SendBody(part);
  cr_assert(large.Congested());
  handler.RespondTo(0, 200, "one");
  size_t received = 0;
  for (int i = 0; i < 100 && handler.writableEvents == 0; ++i) {
    fixture.RunFor(kLoopTime);
    received += http_fixture::Receive(fd).size();
  }
  cr_assert_gt(handler.writableEvents, 0);
  cr_assert_not(large.Congested());
  large.SendBody(part);
  large.FinishResponse();
  for (int i = 0; i < 100 && received < 2 * part.size(); ++i) {
    fixture.RunFor(kLoopTime);
    received += http_fixture::Receive(fd).size();
  }
  cr_assert_geq(received, 2 * part.size());
  close(fd);
}

// Guards against an endless loop: a partial head in the input was parsed again without new input.
Test(server_connection, a_partial_head_does_not_keep_the_loop_busy)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + "GET /sec");
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.exchanges.size(), 1U);
  handler.RespondTo(0, 200, "one");
  fixture.RunFor(kLoopTime);
  http_fixture::Send(fd, "ond HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.exchanges.size(), 2U);
  cr_assert(handler.exchanges[1]->Head().target == "/second");
  close(fd);
}

Test(server_connection, reports_a_caller_disconnect)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, kGet);
  fixture.RunFor(kLoopTime);
  close(fd);
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.disconnects, 1);
  cr_assert(handler.exchanges[0]->CallerDisconnected());
  // A response after the disconnect is ignored.
  handler.RespondTo(0, 200, "late");
}

Test(server_connection, an_aborted_response_ends_the_connection_without_looking_complete)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, kGet);
  fixture.RunFor(kLoopTime);
  response_head head;
  head.status = 200;
  head.body = { body_framing::kChunked, 0 };
  handler.exchanges[0]->StartResponse(head);
  handler.exchanges[0]->SendBody("part");
  fixture.RunFor(kLoopTime);
  handler.exchanges[0]->Abort();
  fixture.RunFor(kLoopTime);
  std::string text = http_fixture::Receive(fd);
  cr_assert(text.find("part") != std::string::npos);
  cr_assert(text.find("\r\n0\r\n") == std::string::npos);
  close(fd);
}

namespace {

constexpr size_t kSlowlyReadBytes = size_t(2) * 1024 * 1024;

// Reads up to aRate bytes each kLoopTime, until the connection has ended or aTime has passed.
std::string ReceiveSlowly(http_fixture& aFixture, int aFd, size_t aRate, common::milliseconds aTime,
                          bool* aEnded)
{
  std::string text;
  std::vector<char> buffer(aRate);
  common::boot_time end = aFixture.Loop().Now() + aTime;
  *aEnded = false;
  while (!*aEnded && aFixture.Loop().Now() < end) {
    aFixture.RunFor(kLoopTime);
    ssize_t count = read(aFd, buffer.data(), buffer.size());
    text.append(buffer.data(), size_t(std::max<ssize_t>(count, 0)));
    *aEnded = count == 0 || (count < 0 && errno != EAGAIN);
  }
  return text;
}

// Starts a response in chunks and sends part of it.
void SendPart(server_exchange& aExchange)
{
  response_head head;
  head.status = 200;
  head.body = { body_framing::kChunked, 0 };
  aExchange.StartResponse(head);
  aExchange.SendBody("part");
}

} // namespace

// A response that waited for an earlier one counted as sent, and its failure reset the connection.
Test(server_connection, a_response_that_waits_can_be_replaced)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + kGet + kGet);
  fixture.RunFor(kLoopTime);
  SendPart(*handler.exchanges[1]);
  fixture.RunFor(kLoopTime);
  cr_expect(handler.exchanges[1]->Started());
  cr_expect_not(handler.exchanges[1]->Sent());
  handler.exchanges[1]->Withdraw();
  handler.RespondTo(1, 502, "two");
  SendPart(*handler.exchanges[2]);
  handler.RespondTo(0, 200, "one");
  fixture.RunFor(kLoopTime);
  cr_expect(handler.exchanges[2]->Sent());
  handler.exchanges[2]->FinishResponse();
  http_fixture::Send(fd, kGet);
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.exchanges.size(), 4U);
  handler.RespondTo(3, 200, "four");
  fixture.RunFor(kLoopTime);
  std::string text = http_fixture::Receive(fd);
  size_t one = text.find("one");
  size_t status = text.find("HTTP/1.1 502");
  size_t two = text.find("two");
  size_t part = text.find("part\r\n0\r\n");
  cr_expect(one < status && status < two && two < part && part < text.find("four"), "%s",
            text.c_str());
  cr_expect(text.ends_with("four"), "%s", text.c_str());
  cr_expect_eq(handler.disconnects, 0);
  close(fd);
}

// The reset dropped what the caller had not read of earlier responses.
Test(server_connection, an_aborted_response_does_not_cut_earlier_ones)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + kGet + kGet);
  fixture.RunFor(kLoopTime);
  handler.RespondTo(0, 200, std::string(kSlowlyReadBytes, 'x'));
  SendPart(*handler.exchanges[1]);
  fixture.RunFor(kLoopTime);
  cr_expect(handler.exchanges[1]->Sent());
  handler.exchanges[1]->Abort();
  cr_expect_eq(handler.disconnects, 1);
  bool ended = false;
  std::string text = ReceiveSlowly(fixture, fd, 100000, common::milliseconds(3000), &ended);
  cr_expect(ended);
  cr_expect_eq(std::count(text.begin(), text.end(), 'x'), ssize_t(kSlowlyReadBytes));
  cr_expect(text.ends_with("part\r\n"), "%s", text.substr(text.size() - 20).c_str());
  close(fd);
}

Test(server_connection, an_aborted_response_that_waits_ends_the_connection_in_its_turn)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) + kGet + kGet);
  fixture.RunFor(kLoopTime);
  SendPart(*handler.exchanges[1]);
  handler.exchanges[1]->Abort();
  fixture.RunFor(kLoopTime);
  cr_expect_eq(handler.disconnects, 0);
  handler.RespondTo(0, 200, "one");
  fixture.RunFor(kLoopTime);
  bool ended = false;
  std::string text = http_fixture::Receive(fd, &ended);
  cr_expect(text.ends_with("one"), "%s", text.c_str());
  cr_expect(ended);
  cr_expect_eq(handler.disconnects, 1);
  close(fd);
}

// The error about a malformed body reset the connection if a response waited already.
Test(server_connection, a_malformed_body_does_not_cut_the_response_before_it)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, std::string(kGet) +
                           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  fixture.RunFor(kLoopTime);
  cr_assert_eq(handler.exchanges.size(), 2U);
  SendPart(*handler.exchanges[1]);
  http_fixture::Send(fd, "no length\r\n");
  fixture.RunFor(kLoopTime);
  handler.RespondTo(0, 200, "one");
  fixture.RunFor(kLoopTime);
  bool ended = false;
  std::string text = http_fixture::Receive(fd, &ended);
  cr_expect(text.find("one") < text.find("HTTP/1.1 400"), "%s", text.c_str());
  cr_expect(text.find("HTTP/1.1 400") != std::string::npos, "%s", text.c_str());
  cr_expect(text.find("part") == std::string::npos, "%s", text.c_str());
  cr_expect(ended);
  close(fd);
}

Test(server_connection, rejects_malformed_and_oversized_requests_and_closes)
{
  struct expectation
  {
    std::string text;
    const char* status;
  };
  const expectation cases[] = {
    { "GET / HTTP/1.1\r\nBad Header: x\r\n\r\n", "HTTP/1.1 400" },
    { "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", "HTTP/1.1 431" },
  };
  for (const expectation& item : cases) {
    http_fixture fixture;
    recording_handler handler;
    handler.limits.parse.maxHeaderBytes = 1024;
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, item.text);
    fixture.RunFor(kLoopTime);
    bool ended = false;
    std::string text = http_fixture::Receive(fd, &ended);
    cr_assert_eq(text.find(item.status), 0U, "%s", text.c_str());
    cr_assert(text.find("Connection: close") != std::string::npos);
    cr_assert(ended);
    close(fd);
  }
}

// A reader that does not join folded lines finds a body where this one finds a second request.
Test(server_connection, a_request_behind_a_folded_line_is_not_handled)
{
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string end = "Content-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden;
  for (const char* blank : { " ", "\t" }) {
    http_fixture fixture;
    recording_handler handler;
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, std::string("POST / HTTP/1.1\r\nHost: h\r\n") + blank + end);
    fixture.RunFor(kLoopTime);
    bool ended = false;
    std::string text = http_fixture::Receive(fd, &ended);
    cr_assert_eq(text.find("HTTP/1.1 400"), 0U, "%s", text.c_str());
    cr_assert(ended);
    cr_assert(handler.exchanges.empty());
    close(fd);
  }
}

Test(server_connection, answers_408_when_a_head_takes_too_long)
{
  http_fixture fixture;
  recording_handler handler;
  handler.limits.headerTimeout = common::milliseconds(50);
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, "GET / HT");
  fixture.RunFor(common::milliseconds(250));
  cr_assert_eq(http_fixture::Receive(fd).find("HTTP/1.1 408"), 0U);
  close(fd);
}

Test(server_connection, closes_a_connection_that_is_idle_too_long)
{
  http_fixture fixture;
  recording_handler handler;
  handler.limits.idleTimeout = common::milliseconds(60);
  int fd = fixture.Serve(handler);
  fixture.RunFor(common::milliseconds(300));
  bool ended = false;
  http_fixture::Receive(fd, &ended);
  cr_assert(ended);
  close(fd);
}

// The time for which input is discarded began while most of the response was still to be sent, and
// its end cut the response.
Test(server_connection, a_caller_that_reads_slowly_receives_the_whole_of_a_last_response)
{
  for (const char* request : { "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart" }) {
    http_fixture fixture;
    recording_handler handler;
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, request);
    fixture.RunFor(kLoopTime);
    handler.RespondTo(0, 200, std::string(kSlowlyReadBytes, 'x'));
    bool ended = false;
    std::string text = ReceiveSlowly(fixture, fd, 20000, common::milliseconds(6000), &ended);
    cr_expect_gt(text.size(), kSlowlyReadBytes, "%zu bytes of the response to %s", text.size(),
                 request);
    cr_expect(ended);
    close(fd);
  }
}

// A caller that was still reading a response counted as idle.
Test(server_connection, a_connection_is_not_idle_while_its_caller_reads_a_response)
{
  http_fixture fixture;
  recording_handler handler;
  handler.limits.idleTimeout = common::milliseconds(300);
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, kGet);
  fixture.RunFor(kLoopTime);
  handler.RespondTo(0, 200, std::string(kSlowlyReadBytes, 'x'));
  cr_expect_eq(handler.UndeliveredConnections(), 1U);
  bool ended = false;
  std::string text = ReceiveSlowly(fixture, fd, 20000, common::milliseconds(6000), &ended);
  cr_expect_gt(text.size(), kSlowlyReadBytes, "%zu bytes", text.size());
  cr_expect(ended);
  cr_expect_eq(handler.UndeliveredConnections(), 0U);
  close(fd);
}

Test(server_connection, a_caller_that_stops_reading_does_not_keep_its_connection)
{
  for (const char* request : { "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", kGet }) {
    http_fixture fixture;
    recording_handler handler;
    handler.limits.idleTimeout = common::milliseconds(300);
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, request);
    fixture.RunFor(kLoopTime);
    handler.RespondTo(0, 200, std::string(kSlowlyReadBytes, 'x'));
    cr_expect_eq(handler.UndeliveredConnections(), 1U);
    fixture.RunFor(common::milliseconds(1500));
    cr_expect_eq(handler.UndeliveredConnections(), 0U);
    cr_expect_lt(http_fixture::Receive(fd).size(), kSlowlyReadBytes);
    cr_expect_lt(send(fd, "x", 1, MSG_NOSIGNAL), 0);
    close(fd);
  }
}

Test(server_connection, a_connection_ends_soon_after_its_last_response_was_delivered)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  fixture.RunFor(kLoopTime);
  handler.RespondTo(0, 200, "last");
  fixture.RunFor(kLoopTime);
  cr_expect(http_fixture::Receive(fd).ends_with("last"));
  // Input after it is discarded for a second.
  fixture.RunFor(common::milliseconds(500));
  cr_expect_eq(write(fd, "x", 1), 1);
  fixture.RunFor(common::milliseconds(1000));
  cr_expect_lt(send(fd, "x", 1, MSG_NOSIGNAL), 0);
  close(fd);
}

// The first response of a stopping daemon ended the connection, and the requests behind it, which
// were running already, got none.
Test(server_connection, the_last_of_the_pipelined_requests_ends_a_closing_connection)
{
  for (size_t first : { 0U, 1U }) {
    http_fixture fixture;
    recording_handler handler;
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, std::string(kGet) + kGet);
    fixture.RunFor(kLoopTime);
    handler.limits.closing = true;
    handler.RespondTo(first, 200, "answer " + std::to_string(first));
    fixture.RunFor(kLoopTime);
    handler.RespondTo(1 - first, 200, "answer " + std::to_string(1 - first));
    fixture.RunFor(kLoopTime);
    bool ended = false;
    std::string text = http_fixture::Receive(fd, &ended);
    size_t zero = text.find("answer 0");
    size_t close = text.find("Connection: close");
    cr_expect(zero < close && close < text.find("answer 1"), "%s", text.c_str());
    cr_expect(text.ends_with("answer 1"), "%s", text.c_str());
    cr_expect(ended);
    cr_expect_eq(handler.disconnects, 0);
    ::close(fd);
  }
}

// Such a request was handled, and then cancelled when the response before it was complete.
Test(server_connection, a_request_behind_the_start_of_a_last_response_is_not_handled)
{
  const std::string closing = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  for (const std::string& request : { std::string(kGet), closing }) {
    http_fixture fixture;
    recording_handler handler;
    handler.limits.closing = request == kGet;
    int fd = fixture.Serve(handler);
    http_fixture::Send(fd, request + "GET /be");
    fixture.RunFor(kLoopTime);
    SendPart(*handler.exchanges[0]);
    http_fixture::Send(fd, std::string("hind HTTP/1.1\r\nHost: h\r\n\r\n") + kGet);
    fixture.RunFor(kLoopTime);
    cr_expect_eq(handler.exchanges.size(), 1U);
    handler.exchanges[0]->FinishResponse();
    fixture.RunFor(kLoopTime);
    bool ended = false;
    std::string text = http_fixture::Receive(fd, &ended);
    cr_expect(text.ends_with("part\r\n0\r\n\r\n"), "%s", text.c_str());
    cr_expect(ended);
    close(fd);
  }
}

// Guards against the rest of a body that is parsed as the next request.
Test(server_connection, a_response_before_the_body_closes_the_connection)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  http_fixture::Send(fd, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart");
  fixture.RunFor(kLoopTime);
  handler.RespondTo(0, 503, "");
  fixture.RunFor(kLoopTime);
  http_fixture::Send(fd, std::string(96, 'x') + kGet);
  fixture.RunFor(kLoopTime);
  std::string text = http_fixture::Receive(fd);
  cr_assert_eq(text.find("HTTP/1.1 503"), 0U);
  cr_assert(text.find("Connection: close") != std::string::npos);
  // The input after the body was not parsed as a request.
  cr_assert_eq(handler.exchanges.size(), 1U);
  close(fd);
}

// Guards against a body buffer that grows without limit while the handler does not take the body.
Test(server_connection, pauses_reading_while_the_body_is_not_taken)
{
  http_fixture fixture;
  recording_handler handler;
  int fd = fixture.Serve(handler);
  size_t total = 4 * tcp_stream::kHighWaterMarkBytes;
  http_fixture::Send(fd, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(total) +
                           "\r\n\r\n");
  std::string block(size_t(16) * 1024, 'b');
  size_t sent = 0;
  for (int round = 0; round < 200; ++round) {
    ssize_t count = write(fd, block.data(), std::min(block.size(), total - sent));
    sent += count > 0 ? size_t(count) : 0;
    fixture.RunFor(common::milliseconds(1));
  }
  cr_assert_lt(sent, total);
  cr_assert_lt(handler.exchanges[0]->Body().size(),
               tcp_stream::kHighWaterMarkBytes + size_t(64) * 1024);
  size_t taken = 0;
  for (int round = 0; round < 2000 && taken < total; ++round) {
    ssize_t count = write(fd, block.data(), std::min(block.size(), total - sent));
    sent += count > 0 ? size_t(count) : 0;
    taken += handler.exchanges[0]->TakeBody().size();
    fixture.RunFor(common::milliseconds(1));
  }
  cr_assert_eq(taken, total);
  cr_assert(handler.exchanges[0]->BodyComplete());
  close(fd);
}

// An exception in the handler of one request once ended the process.
Test(server_connection, an_exception_ends_only_the_connection_whose_request_caused_it)
{
  class throwing_handler : public recording_handler
  {
  public:
    void OnRequest(const server_exchange_ptr& aExchange) override
    {
      recording_handler::OnRequest(aExchange);
      if (aExchange->Head().target == "/throw") {
        throw std::runtime_error("unexpected");
      }
    }
  };
  http_fixture fixture;
  throwing_handler handler;
  int faulty = fixture.Serve(handler);
  int sound = fixture.Serve(handler);
  http_fixture::Send(sound, kGet);
  fixture.RunFor(kLoopTime);
  loop_timer timer(fixture.Loop(), [] { throw std::runtime_error("in a timer"); });
  timer.Arm(fixture.Loop().Now());
  fixture.Loop().Defer([] { throw 1; });
  http_fixture::Send(faulty, "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.RunFor(kLoopTime);
  bool ended = false;
  cr_assert(http_fixture::Receive(faulty, &ended).empty());
  cr_assert(ended || errno == ECONNRESET);
  cr_assert_eq(handler.disconnects, 1);
  handler.RespondTo(0, 200, "still served");
  fixture.RunFor(kLoopTime);
  cr_assert(http_fixture::Receive(sound).find("still served") != std::string::npos);
  cr_assert_eq(fixture.Loop().Exceptions(), 3U);
}

namespace {

// A listener, and a caller's socket that is not connected yet.
struct listener_fixture
{
  listener_fixture() { cr_assert(listener.Listen(common::endpoint("127.0.0.1:0")).has_value()); }
  void Connect() const
  {
    auto address = ParseEndpoint(common::endpoint("127.0.0.1:" + std::to_string(listener.Port())));
    cr_assert_eq(connect(caller, reinterpret_cast<sockaddr*>(&*address), sizeof(*address)), 0);
  }

  http_fixture base;
  std::vector<int> accepted;
  tcp_listener listener{ base.Loop(), [this](int aFd) { accepted.push_back(aFd); } };
  int caller = socket(AF_INET, SOCK_STREAM, 0);
};

} // namespace

// A stopping daemon must not reset connections that callers have established already.
Test(tcp_listener, accepts_established_connections_before_it_closes)
{
  listener_fixture test;
  test.Connect();
  test.listener.CloseAfterAccepting();
  cr_assert_eq(test.accepted.size(), 1U);
  http_fixture::Send(test.caller, kGet);
  cr_assert(!http_fixture::Receive(test.accepted[0]).empty());
}

// Without a free descriptor, the listener once kept the loop busy.
Test(tcp_listener, pauses_while_there_are_no_descriptors)
{
  listener_fixture test;
  rlimit former{};
  getrlimit(RLIMIT_NOFILE, &former);
  rlimit none{ rlim_t(test.caller) + 1, former.rlim_max };
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
  test.Connect();
  timespec before{};
  timespec after{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
  test.base.RunFor(common::milliseconds(300));
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
  cr_assert(test.accepted.empty());
  auto usedUs = (after.tv_sec - before.tv_sec) * 1000000 + (after.tv_nsec - before.tv_nsec) / 1000;
  cr_assert_lt(usedUs, 100000, "used %ld us of processor time", long(usedUs));
  setrlimit(RLIMIT_NOFILE, &former);
  test.base.RunFor(common::milliseconds(100));
  cr_assert_eq(test.accepted.size(), 1U);
}
