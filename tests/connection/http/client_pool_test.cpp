#include "connection/http/http_fixture.h"

#include <atomic>
#include <thread>

using namespace bamboograde;
using namespace bamboograde::connection::http;
using tests::http_fixture;

namespace {

constexpr common::milliseconds kLoopTime{ 20 };
constexpr size_t kBlockBytes = size_t(64) * 1024;
constexpr size_t kUploadBytes = size_t(32) * 1024 * 1024;
// A daemon whose loop is later than this logs it.
constexpr common::milliseconds kLongestDelay{ 250 };

// Server end of the connections; the test writes the response bytes.
class raw_peer
{
public:
  explicit raw_peer(event_loop& aLoop)
    : mListener(aLoop, [this](int aFd) { fds.push_back(aFd); })
  {
    cr_assert(mListener.Listen(common::endpoint("127.0.0.1:0")).has_value());
  }
  ~raw_peer()
  {
    for (int fd : fds) {
      close(fd);
    }
  }
  common::endpoint Address() const
  {
    return common::endpoint("127.0.0.1:" + std::to_string(mListener.Port()));
  }
  void Stop() { mListener.Close(); }

  std::vector<int> fds;

private:
  tcp_listener mListener;
};

class recording_observer : public call_observer
{
public:
  bool IsOwnResponse(const response_head& aHead) override
  {
    const std::string* id = aHead.headers.Find("Id");
    return id == nullptr || ownId.empty() || *id == ownId;
  }
  void OnCallHead(response_head& aHead) override { status = aHead.status; }
  void OnCallBody(std::string_view aBytes) override { body.append(aBytes); }
  void OnCallEnd() override { ++ends; }
  void OnCallFailed(const call_error& aError) override
  {
    ++failures;
    error = aError;
  }

  std::string ownId;
  int status = 0;
  std::string body;
  int ends = 0;
  int failures = 0;
  call_error error;
};

struct client_fixture
{
  client_fixture()
    : pool(base.Loop())
    , peer(base.Loop())
  {
  }
  client_call_ptr Get(recording_observer* aObserver)
  {
    request_head head;
    head.method = "GET";
    head.target = "/";
    head.headers.Add("Host", "h");
    client_call_ptr call = pool.Send(peer.Address(), head, "", true,
                                     base.Loop().Now() + common::milliseconds(500), aObserver);
    base.RunFor(kLoopTime);
    return call;
  }
  // Sends a request with a body that the sockets do not hold, so that output waits in the pool.
  client_call_ptr Upload(recording_observer* aObserver, body_framing aFraming)
  {
    request_head head;
    head.method = "POST";
    head.target = "/";
    head.headers.Add("Host", "h");
    head.body = { aFraming, kUploadBytes };
    client_call_ptr call = pool.Send(peer.Address(), head, std::string(kUploadBytes, 'x'), false,
                                     base.Loop().Now() + common::milliseconds(500), aObserver);
    base.RunFor(kLoopTime * 5);
    cr_assert(call->Congested());
    return call;
  }
  void Reset()
  {
    linger abort{ 1, 0 };
    setsockopt(peer.fds[0], SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(peer.fds[0]);
    peer.fds.erase(peer.fds.begin());
  }
  // Reads the request before closing, since closing with unread input would reset the connection.
  void CloseFirst()
  {
    http_fixture::Receive(peer.fds[0]);
    close(peer.fds[0]);
    peer.fds.erase(peer.fds.begin());
    base.RunFor(kLoopTime);
  }
  void Respond(size_t aConnection, std::string_view aBytes)
  {
    http_fixture::Send(peer.fds[aConnection], aBytes);
    base.RunFor(kLoopTime);
  }

  http_fixture base;
  client_pool pool;
  raw_peer peer;
};

constexpr char kInformational[] = "HTTP/1.1 103 Early Hints\r\n\r\n";
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

Test(client_pool, reuses_connections)
{
  client_fixture fixture;
  for (int round = 0; round < 3; ++round) {
    recording_observer observer;
    auto call = fixture.Get(&observer);
    fixture.Respond(0, kOk);
    cr_assert_eq(observer.ends, 1);
    cr_assert(observer.body == "ok");
  }
  cr_assert_eq(fixture.peer.fds.size(), 1U);
}

Test(client_pool, skips_a_late_response_to_an_earlier_call)
{
  client_fixture fixture;
  recording_observer observer;
  observer.ownId = "b";
  auto call = fixture.Get(&observer);
  fixture.Respond(0, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nother"
                     "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nmine");
  cr_assert_eq(observer.ends, 1);
  cr_assert(observer.body == "mine");
  // The connection is not reused after a late response.
  recording_observer second;
  auto next = fixture.Get(&second);
  cr_assert_eq(fixture.peer.fds.size(), 2U);
}

// Guards against an extra response that is taken for the response to the next call.
Test(client_pool, discards_an_unexpected_second_response)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, std::string(kOk) + kOk);
  cr_assert_eq(observer.ends, 1);
  cr_assert(observer.body == "ok");
  recording_observer second;
  auto next = fixture.Get(&second);
  cr_assert_eq(second.ends, 0);
  cr_assert_eq(fixture.peer.fds.size(), 2U);
}

// As above, with an extra response that arrives while the connection is idle.
Test(client_pool, an_unexpected_response_closes_an_idle_connection)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, kOk);
  fixture.Respond(0, kOk);
  recording_observer second;
  auto next = fixture.Get(&second);
  cr_assert_eq(second.ends, 0);
  cr_assert_eq(fixture.peer.fds.size(), 2U);
}

Test(client_pool, a_truncated_response_is_a_failure_with_unknown_effect)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  fixture.CloseFirst();
  cr_assert_eq(observer.ends, 0);
  cr_assert_eq(observer.failures, 1);
  cr_assert(observer.error.failure == call_failure::kUnknown);
}

Test(client_pool, a_response_without_length_is_complete_at_end_of_connection)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, "HTTP/1.1 200 OK\r\n\r\nall of it");
  cr_assert_eq(observer.ends, 0);
  fixture.CloseFirst();
  cr_assert_eq(observer.ends, 1);
  cr_assert(observer.body == "all of it");
}

Test(client_pool, a_refused_connection_is_reported_as_not_sent)
{
  client_fixture fixture;
  fixture.peer.Stop();
  recording_observer observer;
  auto call = fixture.Get(&observer);
  cr_assert_eq(observer.failures, 1);
  cr_assert(observer.error.failure == call_failure::kNotSent);
  cr_assert(observer.error.refused);
}

Test(client_pool, a_response_that_is_not_http_is_a_failure)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, "\x01\x02garbage\r\n\r\n");
  cr_assert_eq(observer.failures, 1);
  cr_assert(observer.error.failure == call_failure::kUnknown);
}

// Informational responses and responses to other requests must not be skipped without end.
Test(client_pool, endless_responses_of_others_end_the_call)
{
  for (const char* response :
       { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9000000\r\n\r\n" }) {
    client_fixture fixture;
    recording_observer observer;
    observer.ownId = "8";
    auto call = fixture.Get(&observer);
    std::string block;
    while (block.size() < kBlockBytes) {
      block.append(response);
    }
    for (int i = 0; i < 32 && observer.failures == 0; ++i) {
      fixture.Respond(0, block);
    }
    cr_assert_eq(observer.failures, 1, "%s", response);
    cr_assert(observer.error.failure == call_failure::kUnknown);
    cr_assert_eq(observer.status, 0);
  }
}

// A server that never stops sending must not keep the loop from its timers and other connections.
Test(client_pool, an_endless_response_does_not_delay_timers)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  http_fixture::Send(fixture.peer.fds[0], "HTTP/1.1 200 OK\r\n\r\n");
  int fd = fixture.peer.fds[0];
  std::atomic<bool> stop = false;
  std::vector<std::thread> senders;
  senders.reserve(2);
  for (int i = 0; i < 2; ++i) {
    senders.emplace_back([fd, &stop] {
      std::string block(kBlockBytes, 'x');
      while (!stop) {
        (void)send(fd, block.data(), block.size(), MSG_NOSIGNAL);
      }
    });
  }
  common::boot_time last = fixture.base.Loop().Now();
  common::microseconds longest{ 0 };
  loop_timer timer(fixture.base.Loop(), [&] {
    common::boot_time now = fixture.base.Loop().Now();
    longest = std::max(longest, std::chrono::duration_cast<common::microseconds>(now - last));
    last = now;
    observer.body.clear();
    timer.Arm(now + kLoopTime / 4);
  });
  timer.Arm(last);
  fixture.base.RunFor(kLoopTime * 25);
  stop = true;
  call->Cancel();
  for (std::thread& sender : senders) {
    sender.join();
  }
  cr_assert_lt(longest, kLongestDelay, "%ld us", long(longest.count()));
}

// The loop handles the established connection before the timer that is due as well.
Test(client_pool, a_request_is_not_sent_after_its_deadline_by_a_late_loop)
{
  client_fixture fixture;
  recording_observer observer;
  request_head head;
  head.method = "GET";
  head.target = "/";
  common::boot_time now = fixture.base.Loop().Now();
  client_call_ptr call =
    fixture.pool.Send(fixture.peer.Address(), head, "", true, now + kLoopTime * 100, &observer);
  call->SendBy(now + kLoopTime);
  usleep(useconds_t(common::microseconds(kLoopTime * 2).count()));
  fixture.base.RunFor(kLoopTime);
  cr_assert_eq(fixture.peer.fds.size(), 1U);
  cr_assert(http_fixture::Receive(fixture.peer.fds[0]).empty());
  cr_assert_eq(observer.failures, 1);
  cr_assert(observer.error.failure == call_failure::kNotSent);
}

Test(client_pool, a_cancelled_call_closes_its_connection)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  call->Cancel();
  fixture.base.RunFor(kLoopTime);
  bool ended = false;
  http_fixture::Receive(fixture.peer.fds[0], &ended);
  cr_assert(ended);
  cr_assert_eq(observer.ends + observer.failures, 0);
}

Test(client_pool, an_informational_response_is_not_final)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Get(&observer);
  fixture.Respond(0, std::string("HTTP/1.1 100 Continue\r\n\r\n") + kOk);
  cr_assert_eq(observer.ends, 1);
  cr_assert_eq(observer.status, 200);
}

// A body that ends with its connection is complete only if the connection ends in order.
Test(client_pool, a_response_without_length_that_is_reset_during_an_upload_is_a_failure)
{
  for (body_framing framing : { body_framing::kLength, body_framing::kChunked }) {
    for (const char* response : { "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n" }) {
      for (const char* before : { "", kInformational }) {
        // Whether the response is read before the reset arrives.
        for (bool readFirst : { false, true }) {
          client_fixture fixture;
          recording_observer observer;
          auto call = fixture.Upload(&observer, framing);
          http_fixture::Send(fixture.peer.fds[0], std::string(before) + response);
          if (readFirst) {
            fixture.base.RunFor(kLoopTime);
          }
          fixture.Reset();
          fixture.base.RunFor(kLoopTime);
          cr_expect_eq(observer.ends, 0, "%s%s, read first %d", before, response, readFirst);
          cr_expect_eq(observer.failures, 1);
          cr_expect(observer.error.failure == call_failure::kUnknown);
          cr_expect(observer.error.refused);
        }
      }
    }
  }
}

// The error is first seen by a write of the call rather than by an event of the connection.
Test(client_pool, a_reset_that_a_write_meets_is_a_failure)
{
  client_fixture fixture;
  recording_observer observer;
  request_head head;
  head.method = "POST";
  head.target = "/";
  head.body = { body_framing::kLength, kUploadBytes };
  auto call = fixture.pool.Send(fixture.peer.Address(), head, "begin", false,
                                fixture.base.Loop().Now() + kLoopTime * 10, &observer);
  fixture.base.RunFor(kLoopTime);
  fixture.Respond(0, "HTTP/1.1 200 OK\r\n\r\npart");
  fixture.Reset();
  call->SendBody("more");
  fixture.base.RunFor(kLoopTime);
  cr_assert_eq(observer.ends, 0);
  cr_assert_eq(observer.failures, 1);
}

// The caller of the pool reads slowly, and sees the end of the response long after the reset.
Test(client_pool, a_reset_while_the_response_is_paused_is_a_failure)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Upload(&observer, body_framing::kLength);
  call->PauseResponse();
  http_fixture::Send(fixture.peer.fds[0], "HTTP/1.1 200 OK\r\n\r\npart");
  fixture.base.RunFor(kLoopTime);
  fixture.Reset();
  fixture.base.RunFor(kLoopTime);
  call->ResumeResponse();
  fixture.base.RunFor(kLoopTime);
  cr_assert_eq(observer.ends, 0);
  cr_assert_eq(observer.failures, 1);
}

// The kernel ends a connection whose output is not taken for 3 s.
Test(client_pool, a_connection_that_timed_out_does_not_complete_a_response)
{
  client_fixture fixture;
  recording_observer observer;
  auto call = fixture.Upload(&observer, body_framing::kLength);
  fixture.Respond(0, "HTTP/1.1 200 OK\r\n\r\npart");
  for (int i = 0; i < 100 && observer.failures + observer.ends == 0; ++i) {
    fixture.base.RunFor(common::milliseconds(100));
  }
  cr_assert_eq(observer.ends, 0);
  cr_assert_eq(observer.failures, 1);
}

Test(client_pool, a_response_without_length_that_ends_in_order_during_an_upload_is_complete)
{
  for (body_framing framing : { body_framing::kLength, body_framing::kChunked }) {
    for (const char* before : { "", kInformational }) {
      // Whether the end is read before the reset arrives.
      for (bool readFirst : { false, true }) {
        client_fixture fixture;
        recording_observer observer;
        auto call = fixture.Upload(&observer, framing);
        http_fixture::Send(fixture.peer.fds[0],
                           std::string(before) + "HTTP/1.1 200 OK\r\n\r\nall of it");
        shutdown(fixture.peer.fds[0], SHUT_WR);
        if (readFirst) {
          fixture.base.RunFor(kLoopTime);
        }
        fixture.Reset();
        fixture.base.RunFor(kLoopTime);
        cr_expect_eq(observer.ends, 1, "read first %d", readFirst);
        cr_expect(observer.body == "all of it");
      }
    }
  }
}

Test(client_pool, a_response_with_its_end_is_complete_although_the_upload_is_reset)
{
  for (const char* response :
       { kOk, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" }) {
    for (const char* before : { "", kInformational }) {
      client_fixture fixture;
      recording_observer observer;
      auto call = fixture.Upload(&observer, body_framing::kLength);
      http_fixture::Send(fixture.peer.fds[0], std::string(before) + response);
      fixture.Reset();
      fixture.base.RunFor(kLoopTime);
      cr_expect_eq(observer.ends, 1, "%s", response);
      cr_expect(observer.body == "ok");
    }
  }
}
