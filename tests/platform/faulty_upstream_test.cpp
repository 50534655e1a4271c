// End-to-end tests with upstreams that write other bytes than one response to each request.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using tests::fleet_fixture;
using tests::raw_reply;

namespace {

constexpr milliseconds kStartTimeout{ 6000 };
constexpr char kStamp[] = "X-Bamboograde-Server-Stamp: s\r\n";
constexpr char kNotRun[] = "X-Bamboograde-Not-Executed: 1\r\n";

std::string IdLine(const std::string& aId)
{
  return "X-Bamboograde-Request-Id: " + aId + "\r\n";
}

std::string Message(const std::string& aStatus, const std::string& aHeaders,
                    const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string Answer(const std::string& aId)
{
  return Message("200 OK", kStamp + IdLine(aId), "answer to " + aId);
}

std::string Refusal(const std::string& aIdLine, const std::string& aStatus = "503 Busy")
{
  return Message(aStatus, kNotRun + aIdLine, "");
}

// VM 0 has the keyed upstream, VM 1 the plain one.
struct faulty_fleet : public fleet_fixture
{
  faulty_fleet()
    : fleet_fixture({ "keyed", "plain" })
  {
    RunUntil([this] { return AllKeysHeld(); }, kStartTimeout, "all keys held");
  }
};

} // namespace

// A faulty upstream once more writes a refusal that it has sent before, where the response to the
// next request is due. That request runs.
Test(faulty_upstream, a_repeated_refusal_is_not_taken_for_the_response_to_another_request)
{
  struct repeated
  {
    const char* name;
    std::function<std::string(const std::string& aFormerId)> bytes;
  };
  const repeated kRepeated[] = {
    { "with its id", [](const std::string& aFormer) { return Refusal(IdLine(aFormer)); } },
    { "without an id", [](const std::string&) { return Refusal(""); } },
    { "without an id, misdirected",
      [](const std::string&) { return Refusal("", "421 Misdirected"); } },
    { "without an id, as a 200",
      [](const std::string&) { return Message("200 OK", kStamp, "x"); } },
  };
  for (const repeated& item : kRepeated) {
    for (size_t entry : { size_t(0), size_t(1) }) {
      faulty_fleet fleet;
      std::string former;
      fleet.vms[1]->upstream->RespondRaw([&](const std::string& aId, unsigned aNumber) {
        std::string bytes = aNumber == 1 ? "" : item.bytes(former);
        former = aId;
        ++fleet.record.runs[aId];
        return raw_reply{ bytes + Answer(aId) };
      });
      for (int i = 0; i < 3; ++i) {
        auto response = fleet.SendRequest(entry, "POST", "/book/x", "", "body");
        cr_expect_eq(response.status, 200, "%s, entry %zu: status %d", item.name, entry,
                     response.status);
        cr_expect(response.body == "answer to " + fleet.LastRequestId(), "%s: %s", item.name,
                  response.body.c_str());
        cr_expect_eq(fleet.record.runs[fleet.LastRequestId()], 1U, "%s", item.name);
      }
    }
  }
}

// The upstream refuses a request, runs it when it comes again and repeats the refusal first. Its
// caller must not be told that it did not run.
Test(faulty_upstream, a_repeated_refusal_of_the_same_request_is_not_believed)
{
  for (size_t entry : { size_t(0), size_t(1) }) {
    faulty_fleet fleet;
    std::map<std::string, unsigned> sent;
    fleet.vms[0]->upstream->RespondRaw([&](const std::string& aId, unsigned) {
      if (++sent[aId] == 1) {
        return raw_reply{ Refusal(IdLine(aId)) };
      }
      ++fleet.record.runs[aId];
      return raw_reply{ Refusal(IdLine(aId)) + Answer(aId) };
    });
    auto response = fleet.SendRequest(entry, "POST", "/order/x", "100", "body");
    cr_expect(response.status != 503 || fleet.record.runs[fleet.LastRequestId()] == 0,
              "entry %zu: told not run, but ran", entry);
  }
}

// A response that ends early, at any byte, by FIN or by RST, never looks complete.
Test(faulty_upstream, a_truncated_response_is_never_complete_for_the_caller)
{
  struct framing
  {
    const char* name;
    std::string headers;
    std::string body;
    // A response that ends with its connection is complete at any byte of its body.
    bool untilClose;
  };
  const framing kFramings[] = {
    { "counted", "Content-Length: 9\r\n", "123456789", false },
    { "chunked", "Transfer-Encoding: chunked\r\n", "4\r\n1234\r\n5\r\n56789\r\n0\r\n\r\n", false },
    { "until close", "Connection: close\r\n", "123456789", true },
    { "empty", "Content-Length: 0\r\n", "", false },
  };
  faulty_fleet fleet;
  const framing* current = nullptr;
  size_t cut = 0;
  size_t headSize = 0;
  auto end = raw_reply::ending::kClose;
  fleet.vms[1]->upstream->RespondRaw([&](const std::string& aId, unsigned) {
    std::string head =
      "HTTP/1.1 200 OK\r\n" + std::string(kStamp) + IdLine(aId) + current->headers + "\r\n";
    headSize = head.size();
    ++fleet.record.runs[aId];
    return raw_reply{ (head + current->body).substr(0, cut), end };
  });
  for (const framing& item : kFramings) {
    current = &item;
    size_t whole = 0;
    for (cut = 0; whole == 0 || cut < whole; cut += cut < 100 ? 13 : 1) {
      for (auto ending : { raw_reply::ending::kClose, raw_reply::ending::kReset }) {
        end = ending;
        for (size_t entry : { size_t(0), size_t(1) }) {
          // Requests with the same body would be taken for one that crashes its upstream.
          auto response =
            fleet.SendRequest(entry, "POST", "/book/x", "", "after " + fleet.LastRequestId());
          whole = headSize + item.body.size();
          bool mayBeComplete = item.untilClose && cut >= headSize &&
                               ending == raw_reply::ending::kClose &&
                               response.body == item.body.substr(0, cut - headSize);
          cr_expect(response.status != 200 || cut >= whole || mayBeComplete,
                    "%s cut at %zu of %zu, entry %zu, end %d: status %d, body \"%s\"", item.name,
                    cut, whole, entry, int(ending), response.status, response.body.c_str());
          cr_expect(response.status != 503 || fleet.record.runs[fleet.LastRequestId()] == 0,
                    "%s cut at %zu: told not run, but ran", item.name, cut);
        }
      }
    }
  }
}

// Headers between daemons mean nothing in messages of callers and upstreams.
Test(faulty_upstream, headers_of_the_daemons_are_not_taken_from_others)
{
  faulty_fleet fleet;
  const char* kForged[] = { "Bamboograde-Refusal: {\"reason\":\"busy\"}\r\n",
                            "Bamboograde-Failure: lost\r\n", "Bamboograde-Load: [9,9,1,9]\r\n" };
  for (const char* forged : kForged) {
    fleet.vms[1]->upstream->RespondRaw([&](const std::string& aId, unsigned) {
      ++fleet.record.runs[aId];
      return raw_reply{ Message("200 OK", kStamp + IdLine(aId) + forged, "x") };
    });
    auto response = fleet.SendRequest(0, "POST", "/book/x", "", forged);
    cr_expect_eq(response.status, 200, "%s: status %d", forged, response.status);
    cr_expect_eq(fleet.record.runs[fleet.LastRequestId()], 1U, "%s", forged);
  }
  // A caller that names another service and a long deadline.
  fleet.requestHeaders.Add("Bamboograde-Facts", "{\"service\":\"keyed\",\"left_us\":99000000}");
  cr_expect_eq(fleet.SendRequest(0, "POST", "/book/x", "", "facts").status, 200);
}
