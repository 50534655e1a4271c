// End-to-end tests: daemon processes with stand-ins for the table service and the upstreams.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::fleet_fixture;
using tests::fleet_response;

namespace {

const std::vector<std::string> kServices = { "keyed", "keyed", "keyed", "plain", "plain" };
constexpr common::milliseconds kStartTimeout{ 6000 };
// Time limit for serving a key again after its owner has failed or left.
constexpr common::milliseconds kTakeoverTimeout{ 4000 };
// Time limit for serving keys again after their owners were lost together with their witnesses.
constexpr common::milliseconds kRecoveryTimeout{ 15000 };
constexpr common::milliseconds kAnnouncePeriod{ 100 };
// The daemons' default for bounds.drain_ms.
constexpr common::milliseconds kDrainTime{ 2000 };
// Time for a change of a member to reach the other daemons.
constexpr common::milliseconds kBroadcastTime{ 200 };

void WaitForKeys(fleet_fixture& aFleet)
{
  aFleet.RunUntil([&aFleet] { return aFleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
}

bool Serves(fleet_fixture& aFleet, size_t aVm, uint32_t aKey)
{
  return aFleet.SendRequest(aVm, "GET", "/keyed/x", std::to_string(aKey)).status == 200;
}

size_t HolderOf(const fleet_fixture& aFleet, uint32_t aKey)
{
  for (size_t i = 0; i < aFleet.vms.size(); ++i) {
    if (aFleet.vms[i]->upstream->Holds(aKey)) {
      return i;
    }
  }
  return aFleet.vms.size();
}

// Ends the first aCount VMs without notice.
void LoseVms(fleet_fixture& aFleet, size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    aFleet.vms[i]->upstream->Crash();
    aFleet.vms[i]->KillDaemon();
  }
}

// Kills the daemon and waits until its next process accepts announcements.
void RestartDaemon(fleet_fixture& aFleet, size_t aVm)
{
  aFleet.vms[aVm]->KillDaemon();
  aFleet.vms[aVm]->StartDaemon();
  aFleet.RunFor(common::milliseconds(300));
}

void Deregister(fleet_fixture& aFleet, tests::upstream_standin& aUpstream)
{
  aUpstream.Deregister();
  aFleet.RunUntil([&aUpstream] { return aUpstream.Deregistered(); }, common::milliseconds(1000),
                  "the acknowledgement");
}

// Expects that requests of the service without keys are rejected on every VM and reach no upstream.
void ExpectNoPlainUpstream(fleet_fixture& aFleet)
{
  aFleet.RunFor(kBroadcastTime);
  size_t before = aFleet.record.runs.size();
  for (size_t vm = 0; vm < aFleet.vms.size(); ++vm) {
    cr_assert_eq(aFleet.SendRequest(vm, "GET", "/plain/x").status, 503, "vm %zu", vm);
  }
  cr_assert_eq(aFleet.record.runs.size(), before);
}

} // namespace

Test(fleet, serves_keyed_and_plain_requests_from_every_vm)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
    for (uint32_t key : { 0U, 21845U, 21846U, 40000U, 65535U }) {
      fleet_response response = fleet.SendRequest(vm, "GET", "/keyed/x", std::to_string(key));
      cr_assert_eq(response.status, 200, "vm %zu key %u", vm, key);
      cr_assert(response.body == "answer to " + fleet.LastRequestId());
    }
    cr_assert_eq(fleet.SendRequest(vm, "GET", "/plain/x").status, 200);
    cr_assert_eq(fleet.SendRequest(vm, "POST", "/book/x", "", "a body").status, 200);
    cr_assert_eq(fleet.SendRequest(vm, "GET", "/nowhere/x").status, 404);
  }
  cr_assert_eq(fleet.record.exceededSlots, 0U);
  cr_assert_eq(fleet.record.misdirected, 0U);
}

Test(fleet, retries_after_a_lost_response_only_on_idempotent_routes)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.vms[3]->upstream->DropResponses(1);
  fleet.vms[4]->upstream->DropResponses(1);
  cr_assert_eq(fleet.SendRequest(0, "POST", "/book/x", "", "body").status, 502);
  cr_assert_eq(fleet.record.runs[fleet.LastRequestId()], 1U);
  fleet_response response = fleet.SendRequest(0, "GET", "/plain/x");
  // One upstream still drops its next response, and the route allows two attempts.
  cr_assert(response.status == 200 || response.status == 502);
  cr_assert_leq(fleet.record.runs[fleet.LastRequestId()], 2U);
}

// The response of the upstream tells the caller more than a generated one.
Test(fleet, forwards_a_failure_when_no_other_upstream_can_run_the_request)
{
  fleet_fixture fleet({ "keyed", "plain" });
  WaitForKeys(fleet);
  fleet.vms[1]->upstream->FailRequests(1);
  fleet_response response = fleet.SendRequest(0, "GET", "/plain/x");
  cr_assert_eq(response.status, 500);
  cr_assert(response.body == "answer to " + fleet.LastRequestId());
  cr_assert_eq(fleet.SendRequest(0, "GET", "/plain/x").status, 200);
}

Test(fleet, all_daemons_apply_a_stored_route)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  cr_assert_eq(fleet.SendRequest(1, "GET", "/new/x").status, 404);
  fleet.Configure(2, "/new/");
  fleet.RunFor(common::milliseconds(500));
  for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
    cr_assert_eq(fleet.SendRequest(vm, "GET", "/new/x").status, 200);
  }
  // Daemons ignore a configuration with a lower version.
  fleet.Configure(1);
  fleet.RunFor(common::milliseconds(500));
  cr_assert_eq(fleet.SendRequest(1, "GET", "/new/x").status, 200);
}

Test(fleet, reads_the_configuration_again_after_the_change_history_was_dropped)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.table.SetDown(true);
  fleet.RunFor(common::milliseconds(300));
  fleet.Configure(2, "/new/");
  fleet.table.DropHistory();
  fleet.table.SetDown(false);
  fleet.RunFor(common::milliseconds(2500));
  cr_assert_eq(fleet.SendRequest(2, "GET", "/new/x").status, 200);
}

Test(fleet, restarts_a_stalled_feed_when_a_peer_has_a_newer_configuration)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.table.StallFeeds();
  fleet.Configure(2, "/new/");
  // VM 0 reads the new configuration at its start and is the only source for its peers.
  fleet.vms[0]->KillDaemon();
  fleet.vms[0]->StartDaemon();
  fleet.RunFor(common::milliseconds(2500));
  for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
    cr_assert_eq(fleet.SendRequest(vm, "GET", "/new/x").status, 200, "vm %zu", vm);
  }
  fleet.RunUntil([&fleet] { return fleet.table.WaitingFeeds() == fleet.vms.size(); },
                 common::milliseconds(2000), "all feeds are waiting again");
}

Test(fleet, serves_while_the_table_service_is_down)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.table.SetDown(true);
  fleet.RunFor(common::milliseconds(3000));
  for (uint32_t key : { 5U, 30000U, 60000U }) {
    cr_assert(Serves(fleet, 4, key), "key %u", key);
  }
}

Test(fleet, keys_of_a_lost_vm_are_served_again)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t lost = HolderOf(fleet, 100);
  fleet.vms[lost]->upstream->Crash();
  fleet.vms[lost]->KillDaemon();
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kTakeoverTimeout, "takeover");
  cr_assert(Serves(fleet, 4, 100));
  cr_assert_neq(HolderOf(fleet, 100), lost);
}

// Keys stayed unserved for good when their owner was lost together with two of its three witnesses.
Test(fleet, keys_are_served_again_after_all_vms_were_replaced)
{
  fleet_fixture fleet({ "keyed", "keyed", "keyed", "keyed", "keyed", "keyed" });
  WaitForKeys(fleet);
  size_t lost = fleet.vms.size();
  LoseVms(fleet, lost);
  for (size_t i = 0; i < lost; ++i) {
    fleet.AddVm("keyed");
  }
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kRecoveryTimeout, "takeover");
  for (uint32_t key : { 5U, 30000U, 60000U }) {
    cr_assert(Serves(fleet, lost, key), "key %u", key);
  }
}

Test(fleet, keys_are_served_again_after_an_owner_was_lost_with_most_of_its_witnesses)
{
  fleet_fixture fleet({ "keyed", "keyed", "keyed", "keyed", "keyed", "keyed", "keyed" });
  WaitForKeys(fleet);
  LoseVms(fleet, 5);
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kRecoveryTimeout, "takeover");
}

// Without the platform, the responses of the other owners confirm the lease.
Test(fleet, serves_keys_in_a_long_outage_of_the_table_service)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.table.SetSilent(true);
  for (int i = 0; i < 40; ++i) {
    fleet.RunFor(common::milliseconds(400));
    for (uint32_t key : { 5U, 30000U, 60000U }) {
      cr_assert(Serves(fleet, 4, key), "key %u after %d ms", key, i * 400);
    }
  }
}

Test(fleet, keys_are_served_again_after_a_daemon_restart)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t holder = HolderOf(fleet, 100);
  fleet.vms[holder]->KillDaemon();
  fleet.RunFor(common::milliseconds(50));
  fleet.vms[holder]->StartDaemon();
  fleet.RunUntil([&fleet] { return Serves(fleet, 4, 100); }, kTakeoverTimeout,
                 "the key is served again");
}

Test(fleet, keys_are_served_again_after_all_daemons_restart)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  for (auto& vm : fleet.vms) {
    vm->KillDaemon();
  }
  fleet.RunFor(common::milliseconds(100));
  for (auto& vm : fleet.vms) {
    vm->StartDaemon();
  }
  fleet.RunUntil([&fleet] { return Serves(fleet, 3, 7) && Serves(fleet, 3, 50000); },
                 kTakeoverTimeout, "keys are served after the restart");
}

Test(fleet, keys_of_a_leaving_upstream_are_handed_off)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t leaving = HolderOf(fleet, 100);
  fleet.vms[leaving]->upstream->Leave();
  fleet.RunUntil(
    [&] { return fleet.vms[leaving]->upstream->HeldKeys() == 0 && fleet.AllKeysHeld(); },
    kTakeoverTimeout, "hand-off");
  cr_assert(Serves(fleet, 4, 100));
}

// Calls that are pending when connections to the platform go silent must not delay a later hand-off
// for longer than their own deadlines.
Test(fleet, keys_are_handed_off_after_calls_to_the_table_service_went_silent)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  fleet.table.SetSilent(true);
  fleet.RunFor(common::milliseconds(4000));
  fleet.table.SetSilent(false);
  size_t leaving = HolderOf(fleet, 100);
  fleet.vms[leaving]->upstream->Leave();
  fleet.RunUntil(
    [&] { return fleet.vms[leaving]->upstream->HeldKeys() == 0 && fleet.AllKeysHeld(); },
    kTakeoverTimeout, "hand-off");
  cr_assert(Serves(fleet, 4, 100));
}

// A daemon that expects handed-off keys delays its response to the upstream's announcement until
// they arrive. Without this, the keys of the first VM would wait a whole announcement period, as
// the upstreams announce themselves at nearly the same time, in the order of their VMs.
Test(fleet, keys_are_granted_before_the_next_announcement_of_the_new_owner)
{
  constexpr common::milliseconds kPeriod{ 900 };
  constexpr common::milliseconds kHandOffTimeout{ 450 };
  fleet_fixture fleet(kServices, kPeriod);
  WaitForKeys(fleet);
  size_t leaving = HolderOf(fleet, 65535);
  // The first daemon creates the key map and owns the lowest keys; the order of the others varies.
  cr_assert_neq(leaving, 0U);
  fleet.vms[leaving]->StopDaemon();
  fleet.RunUntil([&] { return fleet.vms[leaving]->upstream->HeldKeys() == 0; }, kPeriod * 2,
                 "the release of the keys");
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kHandOffTimeout, "the new grant");
}

Test(fleet, a_stopping_daemon_hands_off_its_keys_and_exits_within_the_grace_period)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t stopping = HolderOf(fleet, 100);
  fleet.vms[stopping]->StopDaemon();
  fleet.RunUntil([&] { return fleet.vms[stopping]->upstream->HeldKeys() == 0; }, kTakeoverTimeout,
                 "hand-off");
  cr_assert(Serves(fleet, 4, 100));
  fleet.RunUntil([&] { return fleet.vms[stopping]->DaemonEnded(); }, common::milliseconds(4000),
                 "the daemon exits");
}

// Callers go on sending until the process has ended, on kept and on new connections.
Test(fleet, a_stopping_daemon_answers_every_request_that_reaches_it)
{
  constexpr size_t kStopping = 3;
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  std::vector<std::unique_ptr<tests::pending_request>> requests;
  auto send = [&] {
    bool keyed = requests.size() % 2 == 0;
    requests.push_back(fleet.StartRequest(kStopping, keyed ? "GET" : "POST",
                                          keyed ? "/keyed/x" : "/book/x",
                                          keyed ? std::to_string(requests.size() * 97 % 65536) : "",
                                          keyed ? "" : "body " + std::to_string(requests.size())));
    fleet.RunFor(common::milliseconds(2));
  };
  for (int i = 0; i < 100; ++i) {
    send();
  }
  fleet.vms[kStopping]->StopDaemon();
  while (!fleet.vms[kStopping]->DaemonEnded()) {
    send();
  }
  fleet.RunFor(common::milliseconds(100));
  size_t served = 0;
  for (size_t i = 0; i < requests.size(); ++i) {
    const tests::pending_request& request = *requests[i];
    cr_expect(request.done, "request %zu of %zu", i, requests.size());
    cr_expect(request.response.status != 0 || !request.sent,
              "request %zu of %zu was cut off without an answer", i, requests.size());
    served += request.response.status == 200 ? 1 : 0;
  }
  cr_assert_gt(served, 500U);
}

// A stopping daemon once took a slow peer for unreachable, gave up a request that was running there
// and responded with 502.
Test(fleet, a_stopping_daemon_waits_for_a_request_at_an_unresponsive_peer)
{
  fleet_fixture fleet({ "keyed", "plain" });
  WaitForKeys(fleet);
  fleet.vms[1]->upstream->SetWork(common::milliseconds(600));
  auto pending = fleet.StartRequest(0, "GET", "/plain/x");
  fleet.RunUntil([&fleet] { return fleet.record.runs[fleet.LastRequestId()] == 1; },
                 common::milliseconds(500), "the request runs");
  fleet.vms[0]->StopDaemon();
  fleet.RunFor(common::milliseconds(20));
  fleet.vms[1]->PauseDaemon();
  fleet.RunFor(common::milliseconds(900));
  cr_assert_not(pending->done, "status %d", pending->response.status);
  fleet.vms[1]->ResumeDaemon();
  fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(1000), "a response");
  cr_assert_eq(pending->response.status, 200);
  cr_assert_eq(fleet.record.runs[fleet.LastRequestId()], 1U);
}

// A VM that is silent or slow to report for a while keeps its running work, which is neither
// started elsewhere nor given up. Its keys may move meanwhile.
Test(fleet, a_silent_vm_keeps_its_running_requests)
{
  constexpr common::milliseconds kSilence{ 900 };
  struct silence_case
  {
    const char* method;
    const char* path;
    const char* key;
    bool daemonSilent;
  };
  const silence_case kCases[] = {
    { "POST", "/book/x", "", true },     { "POST", "/book/x", "", false },
    { "POST", "/order/x", "100", true }, { "POST", "/order/x", "100", false },
    { "GET", "/keyed/x", "100", true },  { "GET", "/keyed/x", "100", false },
  };
  for (const silence_case& item : kCases) {
    fleet_fixture fleet({ "keyed", "plain", "keyed" });
    WaitForKeys(fleet);
    size_t holder = HolderOf(fleet, 100);
    size_t silent = item.key[0] == 0 ? 1 : holder;
    tests::fleet_vm& vm = *fleet.vms[silent];
    vm.upstream->SetWork(common::milliseconds(600));
    auto pending =
      fleet.StartRequest(holder == 0 ? 2 : 0, item.method, item.path, item.key, "body");
    fleet.RunUntil([&] { return fleet.record.runs[fleet.LastRequestId()] == 1; },
                   common::milliseconds(500), "the request runs");
    item.daemonSilent ? vm.PauseDaemon() : vm.upstream->StopAnnouncing();
    fleet.RunFor(kSilence);
    item.daemonSilent ? vm.ResumeDaemon() : vm.upstream->ResumeAnnouncing();
    fleet.RunUntil([&pending] { return pending->done; }, common::milliseconds(1500), item.path);
    cr_expect_eq(pending->response.status, 200, "%s, silent daemon %d: status %d", item.path,
                 int(item.daemonSilent), pending->response.status);
    cr_expect_eq(fleet.record.runs[fleet.LastRequestId()], 1U, "%s, silent daemon %d", item.path,
                 int(item.daemonSilent));
  }
}

Test(fleet, a_commit_with_a_lost_response_leaves_one_owner)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t leaving = HolderOf(fleet, 100);
  fleet.table.DropResponses(1);
  fleet.vms[leaving]->upstream->Leave();
  fleet.RunUntil(
    [&] { return fleet.vms[leaving]->upstream->HeldKeys() == 0 && fleet.AllKeysHeld(); },
    kTakeoverTimeout + common::milliseconds(2000), "hand-off");
  fleet_response response = fleet.SendRequest(4, "GET", "/keyed/x", "100");
  cr_assert_eq(response.status, 200, "status %d", response.status);
}

// A daemon that could not hand off its keys because the table service was down once accepted
// requests until it exited, and aborted those that were running.
Test(fleet,
     a_leaving_upstream_gets_no_requests_after_its_drain_time_while_the_table_service_is_down)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  size_t leaving = HolderOf(fleet, 100);
  fleet.table.SetDown(true);
  fleet.vms[leaving]->upstream->Leave();
  fleet.RunFor(common::milliseconds(2200));
  size_t before = fleet.record.runs.size();
  fleet_response response = fleet.SendRequest(4, "GET", "/keyed/x", "100");
  cr_assert_eq(response.status, 503);
  cr_assert_eq(fleet.record.runs.size(), before);
}

// The daemon acknowledged the deregistration of an upstream that it did not know yet and forgot it.
Test(fleet, an_upstream_that_deregisters_at_a_new_daemon_is_not_used_after_a_late_announcement)
{
  fleet_fixture fleet({ "keyed", "plain" }, kAnnouncePeriod);
  WaitForKeys(fleet);
  tests::upstream_standin& upstream = *fleet.vms[1]->upstream;
  upstream.StopAnnouncing();
  upstream.SetHealthAnswered(false);
  RestartDaemon(fleet, 1);
  Deregister(fleet, upstream);
  fleet.RunFor(kDrainTime);
  upstream.DeliverLateAnnouncement();
  fleet.RunFor(kAnnouncePeriod);
  upstream.DeliverLateAnnouncement();
  ExpectNoPlainUpstream(fleet);
}

// The new daemon process knew nothing of the deregistration that the former one had acknowledged.
Test(fleet, an_upstream_that_deregistered_before_a_daemon_restart_is_not_used_afterwards)
{
  fleet_fixture fleet({ "keyed", "plain" });
  WaitForKeys(fleet);
  tests::upstream_standin& upstream = *fleet.vms[1]->upstream;
  Deregister(fleet, upstream);
  RestartDaemon(fleet, 1);
  fleet.RunFor(kDrainTime);
  upstream.DeliverLateAnnouncement();
  ExpectNoPlainUpstream(fleet);
}

// Waiting for a second announcement would cost a whole period after each restart of a daemon.
Test(fleet, a_running_upstream_is_used_at_its_first_announcement_to_a_new_daemon)
{
  constexpr common::milliseconds kPeriod{ 900 };
  fleet_fixture fleet({ "keyed", "plain" }, kPeriod);
  WaitForKeys(fleet);
  tests::upstream_standin& upstream = *fleet.vms[1]->upstream;
  upstream.StopAnnouncing();
  RestartDaemon(fleet, 1);
  upstream.DeliverLateAnnouncement();
  fleet.RunUntil([&fleet] { return fleet.SendRequest(1, "GET", "/plain/x").status == 200; },
                 kPeriod / 3, "a response");
}

// A line of a body that did not end filled the daemon's memory, and an endless body kept its loop
// from all other work.
Test(fleet, an_upstream_that_sends_without_end_harms_only_its_own_requests)
{
  constexpr common::milliseconds kLongestResponse{ 500 };
  constexpr common::milliseconds kDeadlineMargin{ 500 };
  constexpr size_t kMaxPeakKib = size_t(64) * 1024;
  const std::string head = "HTTP/1.1 200 OK\r\nX-Bamboograde-Server-Stamp: s\r\n";
  const std::string own = head + "X-Bamboograde-Request-Id: $ID\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(size_t(256) * 1024, 'x');
  struct endless_response
  {
    std::string start;
    std::string block;
    // Status that the caller gets; 0 if its response is cut off.
    int status;
  };
  const endless_response responses[] = {
    { "", bytes, 502 },
    { head + "X-Long: ", bytes, 502 },
    { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", 504 },
    { own + "\r\n", bytes, 0 },
    { own + chunked + "1;", bytes, 502 },
    { head + "X-Bamboograde-Request-Id: other\r\n\r\n", bytes, 502 },
    { "HTTP/1.1 503 Busy\r\nX-Bamboograde-Request-Id: $ID\r\nX-Bamboograde-Not-Executed: 1\r\n\r\n",
      bytes, 503 },
  };
  for (const endless_response& endless : responses) {
    const char* name = endless.start.c_str();
    fleet_fixture fleet({ "keyed", "plain" });
    WaitForKeys(fleet);
    tests::upstream_standin& upstream = *fleet.vms[1]->upstream;
    upstream.SendEndlessly(endless.start, endless.block);
    auto pending = fleet.StartRequest(1, "POST", "/book/x", "", "body");
    common::boot_time sentAt = fleet.loop.Now();
    while (!pending->done) {
      common::boot_time before = fleet.loop.Now();
      cr_assert_eq(fleet.SendRequest(1, "GET", "/keyed/x", "7").status, 200, "%s", name);
      cr_assert_lt(fleet.loop.Now() - before, kLongestResponse, "%s", name);
      cr_assert_lt(fleet.loop.Now() - sentAt, fleet_fixture::kRequestTimeout + kDeadlineMargin,
                   "%s", name);
    }
    cr_assert_eq(pending->response.status, endless.status, "%s: %d", name,
                 pending->response.status);
    cr_assert_gt(upstream.EndlessResponses(), 0U);
    cr_assert_lt(fleet.vms[1]->DaemonPeakKib(), kMaxPeakKib, "%s", name);
  }
}

// Bodies larger than the buffer for retries are streamed to the upstream.
Test(fleet, forwards_complete_bodies_of_any_size)
{
  fleet_fixture fleet(kServices);
  WaitForKeys(fleet);
  for (size_t bytes :
       { size_t(1), size_t(60000), size_t(70000), size_t(300000), size_t(3000000) }) {
    for (size_t vm : { size_t(0), size_t(4) }) {
      fleet_response response =
        fleet.SendRequest(vm, "POST", "/book/x", "", std::string(bytes, 'b'));
      cr_assert_eq(response.status, 200, "%zu bytes from vm %zu: %d", bytes, vm, response.status);
      cr_assert_eq(fleet.record.bodyBytes[fleet.LastRequestId()], bytes);
    }
  }
}
