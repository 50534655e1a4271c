// A daemon that does not respond for a while is at work, or is gone. A request there is not given
// up in the first case, and not lost in the second.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::fleet_fixture;

namespace {

constexpr size_t kEntry = 0;
constexpr common::milliseconds kStartTimeout{ 6000 };
constexpr common::milliseconds kWork{ 600 };
// Long enough for several failed health checks.
constexpr common::milliseconds kSilence{ 900 };

void WaitForKeys(fleet_fixture& aFleet)
{
  aFleet.RunUntil([&aFleet] { return aFleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
}

// Starts a request at the entry daemon and waits until an upstream runs it.
std::unique_ptr<tests::pending_request> StartRunning(fleet_fixture& aFleet,
                                                     const std::string& aMethod,
                                                     const std::string& aPath)
{
  auto pending = aFleet.StartRequest(kEntry, aMethod, aPath, "", "body");
  aFleet.RunUntil([&aFleet] { return aFleet.record.runs[aFleet.LastRequestId()] == 1; },
                  common::milliseconds(500), "the request runs");
  return pending;
}

// The VM whose upstream has run most requests.
size_t BusiestVm(const fleet_fixture& aFleet)
{
  size_t busiest = 0;
  for (size_t i = 0; i < aFleet.vms.size(); ++i) {
    if (aFleet.vms[i]->upstream->Requests() > aFleet.vms[busiest]->upstream->Requests()) {
      busiest = i;
    }
  }
  return busiest;
}

} // namespace

// Silence of a daemon ended requests at which its upstream was at work.
Test(silent_peer, a_request_is_not_given_up_without_another_slot)
{
  for (const char* method : { "GET", "POST" }) {
    const char* path = method[0] == 'G' ? "/plain/x" : "/book/x";
    for (bool stopsLater : { false, true }) {
      fleet_fixture fleet({ "keyed", "plain" });
      WaitForKeys(fleet);
      fleet.vms[1]->upstream->SetWork(kWork);
      auto pending = StartRunning(fleet, method, path);
      fleet.vms[1]->PauseDaemon();
      fleet.RunFor(kSilence / 2);
      if (stopsLater) {
        fleet.vms[kEntry]->StopDaemon();
      }
      fleet.RunFor(kSilence / 2);
      cr_expect_not(pending->done, "%s, stop %d: status %d", method, int(stopsLater),
                    pending->response.status);
      fleet.vms[1]->ResumeDaemon();
      fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(1000),
                     "a response");
      cr_expect_eq(pending->response.status, 200, "%s, stop %d: status %d", method, int(stopsLater),
                   pending->response.status);
      cr_expect_eq(fleet.record.runs[fleet.LastRequestId()], 1U, "%s, stop %d", method,
                   int(stopsLater));
    }
  }
}

// The slots of the other upstream are taken until after the silence.
Test(silent_peer, a_request_is_not_given_up_while_all_other_slots_are_taken)
{
  fleet_fixture fleet({ "keyed", "plain", "plain" });
  WaitForKeys(fleet);
  fleet.vms[1]->upstream->SetWork(kWork);
  fleet.vms[2]->upstream->SetWork(kWork);
  std::vector<std::unique_ptr<tests::pending_request>> others;
  for (size_t i = 0; i < 8; ++i) {
    others.push_back(fleet.StartRequest(kEntry, "GET", "/plain/x"));
  }
  fleet.RunUntil([&fleet] { return fleet.record.runs.size() == 8; }, common::milliseconds(500),
                 "all slots are taken");
  fleet.vms[1]->PauseDaemon();
  fleet.RunFor(kSilence / 2);
  fleet.vms[1]->ResumeDaemon();
  for (const auto& pending : others) {
    fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(2000), "a response");
    cr_expect_eq(pending->response.status, 200, "status %d", pending->response.status);
  }
}

// The first response is used, whichever attempt it is from, and nothing else is sent.
Test(silent_peer, a_hedged_request_gets_one_response)
{
  for (common::milliseconds silence : { kSilence / 2, kSilence * 2 }) {
    fleet_fixture fleet({ "keyed", "plain", "plain" });
    WaitForKeys(fleet);
    fleet.vms[1]->upstream->SetWork(kWork);
    fleet.vms[2]->upstream->SetWork(kWork);
    auto pending = StartRunning(fleet, "GET", "/plain/x");
    std::string id = fleet.LastRequestId();
    size_t silent = BusiestVm(fleet);
    fleet.vms[silent]->PauseDaemon();
    fleet.RunFor(silence);
    fleet.vms[silent]->ResumeDaemon();
    fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(2000), "a response");
    cr_expect_eq(pending->response.status, 200, "status %d", pending->response.status);
    cr_expect_eq(fleet.record.runs[id], 2U, "%u runs", fleet.record.runs[id]);
    // The daemon goes on serving.
    cr_expect_eq(fleet.SendRequest(kEntry, "GET", "/plain/x").status, 200);
  }
}

// A safe request is answered by another upstream as soon as the daemon has failed a health check,
// also at a daemon that stops; an unsafe one ends at its deadline.
Test(silent_peer, a_request_at_a_daemon_that_is_gone_is_served_elsewhere)
{
  constexpr common::milliseconds kShortWork{ 100 };
  constexpr common::milliseconds kMaxTime{ 1000 };
  for (bool stops : { false, true }) {
    for (const char* method : { "GET", "POST" }) {
      bool safe = method[0] == 'G';
      fleet_fixture fleet({ "keyed", "plain", "plain" });
      WaitForKeys(fleet);
      fleet.vms[1]->upstream->SetWork(kShortWork);
      fleet.vms[2]->upstream->SetWork(kShortWork);
      auto pending = StartRunning(fleet, method, safe ? "/plain/x" : "/book/x");
      std::string id = fleet.LastRequestId();
      fleet.vms[BusiestVm(fleet)]->PauseDaemon();
      if (stops) {
        fleet.vms[kEntry]->StopDaemon();
      }
      fleet.RunUntil([&pending] { return pending->done; },
                     safe ? kMaxTime : fleet_fixture::kRequestTimeout + common::milliseconds(200),
                     "the end of the request");
      cr_expect_eq(pending->response.status, safe ? 200 : 504, "%s, stop %d: status %d", method,
                   int(stops), pending->response.status);
      cr_expect_eq(fleet.record.runs[id], safe ? 2U : 1U, "%s, stop %d", method, int(stops));
    }
  }
}

// The daemon's process ends, so its connections are reset.
Test(silent_peer, a_request_at_a_daemon_that_was_killed_ends_at_once)
{
  constexpr common::milliseconds kMaxTime{ 300 };
  for (const char* method : { "GET", "POST" }) {
    bool safe = method[0] == 'G';
    fleet_fixture fleet({ "keyed", "plain", "plain" });
    WaitForKeys(fleet);
    fleet.vms[1]->upstream->SetWork(kWork);
    fleet.vms[2]->upstream->SetWork(kWork);
    auto pending = StartRunning(fleet, method, safe ? "/plain/x" : "/book/x");
    fleet.vms[BusiestVm(fleet)]->KillDaemon();
    fleet.vms[1]->upstream->SetWork(common::milliseconds(0));
    fleet.vms[2]->upstream->SetWork(common::milliseconds(0));
    fleet.RunUntil([&pending] { return pending->done; }, kMaxTime, "the end of the request");
    cr_expect_eq(pending->response.status, safe ? 200 : 502, "%s: status %d", method,
                 pending->response.status);
  }
}

// The attempt at the silent daemon goes on until another one has a whole response.
Test(silent_peer, a_broken_or_failed_response_elsewhere_does_not_end_a_request)
{
  for (bool broken : { false, true }) {
    fleet_fixture fleet({ "keyed", "plain", "plain" });
    WaitForKeys(fleet);
    fleet.vms[1]->upstream->SetWork(2 * kWork);
    fleet.vms[2]->upstream->SetWork(2 * kWork);
    auto pending = StartRunning(fleet, "GET", "/plain/x");
    std::string id = fleet.LastRequestId();
    size_t silent = BusiestVm(fleet);
    size_t other = silent == 1 ? 2 : 1;
    unsigned responses = 0;
    if (broken) {
      fleet.vms[other]->upstream->RespondRaw([&responses](const std::string& aId, unsigned) {
        ++responses;
        return tests::raw_reply{ "HTTP/1.1 200 OK\r\nX-Bamboograde-Request-Id: " + aId +
                                   "\r\nX-Bamboograde-Server-Stamp: s\r\nContent-Length: 100"
                                   "\r\n\r\nbroken",
                                 tests::raw_reply::ending::kClose };
      });
    } else {
      fleet.vms[other]->upstream->SetWork(common::milliseconds(0));
      fleet.vms[other]->upstream->FailRequests(1);
    }
    fleet.vms[silent]->PauseDaemon();
    fleet.RunFor(kSilence);
    cr_expect_not(pending->done, "broken %d: status %d", int(broken), pending->response.status);
    cr_expect(broken ? responses == 1 : fleet.record.runs[id] == 2, "broken %d: no hedge",
              int(broken));
    fleet.vms[silent]->ResumeDaemon();
    fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(1500), "a response");
    cr_expect_eq(pending->response.status, 200, "broken %d: status %d", int(broken),
                 pending->response.status);
  }
}

// The response to a ping waited behind large responses, so the daemon was taken for silent.
Test(silent_peer, a_request_is_not_given_up_behind_a_full_link)
{
  // The large responses fill the link for 1.2 s.
  constexpr size_t kLinkRate = 1000000;
  constexpr size_t kLargeBytes = 400000;
  constexpr size_t kLargeResponses = 3;
  constexpr common::milliseconds kNever{ 10000 };
  // The entry daemon stops before it has missed a response to a ping, or after that.
  for (common::milliseconds stopsAfter : { kNever, common::milliseconds(0), kWork * 2 / 3 }) {
    fleet_fixture fleet({ "keyed" });
    fleet.AddVm("plain", true, kLinkRate);
    WaitForKeys(fleet);
    tests::upstream_standin& upstream = *fleet.vms[1]->upstream;
    upstream.SetWork(kWork);
    auto pending = StartRunning(fleet, "GET", "/plain/x");
    std::string id = fleet.LastRequestId();
    size_t largeResponses = 0;
    upstream.RespondRaw([&largeResponses](const std::string& aId, unsigned) {
      // Health checks have no id.
      size_t size = aId.empty() ? 0 : kLargeBytes;
      largeResponses += aId.empty() ? 0 : 1;
      return tests::raw_reply{ "HTTP/1.1 200 OK\r\nX-Bamboograde-Request-Id: " + aId +
                               "\r\nX-Bamboograde-Server-Stamp: s\r\nContent-Length: " +
                               std::to_string(size) + "\r\n\r\n" + std::string(size, 'x') };
    });
    std::vector<std::unique_ptr<tests::pending_request>> large;
    for (size_t i = 0; i < kLargeResponses; ++i) {
      large.push_back(fleet.StartRequest(kEntry, "GET", "/plain/large"));
    }
    fleet.RunUntil([&largeResponses] { return largeResponses == kLargeResponses; },
                   common::milliseconds(300), "the large responses");
    connection::http::loop_timer stop(fleet.loop, [&] { fleet.vms[kEntry]->StopDaemon(); });
    stop.Arm(fleet.loop.Now() + stopsAfter);
    fleet.RunUntil([&pending] { return pending->done; }, fleet_fixture::kRequestTimeout,
                   "a response");
    cr_expect_eq(pending->response.status, 200, "stop %d: status %d", int(stopsAfter.count()),
                 pending->response.status);
    cr_expect_eq(fleet.record.runs[id], 1U, "stop %d", int(stopsAfter.count()));
    for (const auto& response : large) {
      fleet.RunUntil([&response] { return response->done; }, fleet_fixture::kRequestTimeout,
                     "a large response");
      cr_expect_eq(response->response.status, 200, "stop %d, large: status %d",
                   int(stopsAfter.count()), response->response.status);
      cr_expect_eq(response->response.body.size(), kLargeBytes, "stop %d, large",
                   int(stopsAfter.count()));
    }
  }
}
