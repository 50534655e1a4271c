// End-to-end tests with upstreams whose responses are no HTTP responses or end too early.

#include "fleet_fixture.h"
#include "standins/fleet/raw_caller.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using tests::fleet_fixture;
using tests::raw_caller;
using tests::raw_reply;

namespace {

constexpr milliseconds kStartTimeout{ 6000 };
constexpr milliseconds kResponseTimeout = 2 * fleet_fixture::kRequestTimeout;
constexpr char kOddPrefix[] = "odd-";
constexpr char kStamp[] = "X-Bamboograde-Server-Stamp";

std::string RequestHead(const std::string& aMethod, const std::string& aPath,
                        const std::string& aId, const std::string& aFraming = "")
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Bamboograde-Request-Id: " + aId + "\r\n" + aFraming +
         "\r\n";
}

// The fields that make a response genuine.
std::string GenuineFields(const std::string& aId)
{
  return "X-Bamboograde-Request-Id: " + aId + "\r\n" + kStamp + ": s\r\n";
}

std::string Answer(const std::string& aId)
{
  std::string body = "answer to " + aId;
  return "HTTP/1.1 200 OK\r\n" + GenuineFields(aId) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The upstream of VM 1 is the one that misbehaves; VM 0 reaches it through its daemon.
struct broken_fleet : public fleet_fixture
{
  broken_fleet()
    : fleet_fixture({ "keyed", "plain" })
  {
    RunUntil([this] { return AllKeysHeld(); }, kStartTimeout, "all keys held");
    vms[1]->upstream->RespondRaw([this](const std::string& aId, unsigned) {
      ++record.runs[aId];
      return aId.starts_with(kOddPrefix) ? raw_reply{ oddResponse(aId), raw_reply::ending::kClose }
                                         : raw_reply{ Answer(aId) };
    });
  }
  raw_caller Connect(size_t aEntry) { return { loop, vms[aEntry]->Callers() }; }

  // Bytes that answer a request whose id begins with kOddPrefix.
  std::function<std::string(const std::string& aId)> oddResponse;
};

// Sends a request whose response is broken, and two more behind it on the same connection, whose
// responses are not.
void CheckRejected(broken_fleet& aFleet, const std::string& aName,
                   const std::function<std::string(const std::string& aId)>& aBroken)
{
  static unsigned number = 0;
  aFleet.oddResponse = aBroken;
  for (size_t entry : { size_t(1), size_t(0) }) {
    for (const char* path : { "/plain/x", "/book/x" }) {
      std::string run = std::to_string(++number);
      std::string broken = kOddPrefix + run;
      raw_caller caller = aFleet.Connect(entry);
      // Equal requests could be refused as one that crashes its upstream.
      caller.Write(RequestHead("GET", path + run, broken));
      for (const char* place : { "second-", "third-" }) {
        caller.Write(RequestHead("GET", path + run + place, place + run));
      }
      std::string last = "answer to third-" + run;
      aFleet.RunUntil(
        [&] { return caller.Ended() || caller.Received().find(last) != std::string::npos; },
        kResponseTimeout, aName.c_str());
      const std::string& received = caller.Received();
      std::string first = received.substr(0, received.find("HTTP/1.1 ", 1));
      cr_expect(first.starts_with("HTTP/1.1 502 "), "%s, entry %zu, %s: %s", aName.c_str(), entry,
                path, received.c_str());
      cr_expect(first.find(kStamp) == std::string::npos, "%s: %s", aName.c_str(), first.c_str());
      cr_expect(received.find("answer to second-" + run) < received.find(last), "%s: %s",
                aName.c_str(), received.c_str());
      cr_expect(std::string(path) == "/plain/x" || aFleet.record.runs[broken] == 1, "%s: %u runs",
                aName.c_str(), aFleet.record.runs[broken]);
    }
  }
}

} // namespace

Test(broken_response, a_status_that_http_does_not_define_is_not_relayed)
{
  broken_fleet fleet;
  for (const char* status : { "000", "001", "099", "99", "7", "600", "999", "2000" }) {
    CheckRejected(fleet, std::string("status ") + status, [&](const std::string& aId) {
      return "HTTP/1.1 " + std::string(status) + " Odd\r\n" + GenuineFields(aId) +
             "Content-Length: 4\r\n\r\nbody";
    });
  }
}

// A status without a registered meaning is that of its class.
Test(broken_response, any_status_of_the_defined_classes_is_relayed)
{
  broken_fleet fleet;
  unsigned number = 0;
  for (const char* status : { "299", "399", "499" }) {
    fleet.oddResponse = [&](const std::string& aId) {
      return "HTTP/1.1 " + std::string(status) + " Odd\r\n" + GenuineFields(aId) +
             "Content-Length: 4\r\n\r\nbody";
    };
    for (size_t entry : { size_t(0), size_t(1) }) {
      std::string id = kOddPrefix + std::to_string(++number);
      raw_caller caller = fleet.Connect(entry);
      caller.Write(RequestHead("GET", "/book/" + id, id));
      fleet.RunUntil([&] { return caller.Ended() || caller.Received().ends_with("\r\n\r\nbody"); },
                     kResponseTimeout, status);
      cr_expect(caller.Received().starts_with("HTTP/1.1 " + std::string(status) + " "), "%s: %s",
                status, caller.Received().c_str());
      cr_expect(caller.Received().find(kStamp) != std::string::npos);
    }
  }
}
