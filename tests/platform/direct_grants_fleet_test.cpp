// End-to-end tests of keys that are granted by calls to the upstreams.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using process::sidecar::grant_method;
using tests::fleet_fixture;

namespace {

const std::vector<std::string> kServices = { "keyed", "keyed", "keyed", "plain" };
constexpr milliseconds kStartTimeout{ 6000 };
// Time limit for serving a key again after its owner has failed or left.
constexpr milliseconds kTakeoverTimeout{ 4000 };
constexpr uint32_t kKey = 100;

struct direct_fleet : public fleet_fixture
{
  explicit direct_fleet(milliseconds aPeriod = milliseconds(100))
    : fleet_fixture(kServices, aPeriod, grant_method::kDirect)
  {
    RunUntil([this] { return AllKeysHeld(); }, kStartTimeout, "all keys held");
  }
  size_t HolderOf(uint32_t aKey) const
  {
    size_t holder = vms.size();
    unsigned holders = 0;
    for (size_t i = 0; i < vms.size(); ++i) {
      if (vms[i]->upstream->Holds(aKey)) {
        ++holders;
        holder = i;
      }
    }
    cr_assert_leq(holders, 1U, "key %u has two holders", aKey);
    return holder;
  }
  // Checks the holders of some keys at every step until all keys are held again by others than
  // aFormer and are served.
  void ExpectMoved(size_t aFormer, const char* aCase)
  {
    RunUntil(
      [&] {
        bool moved = true;
        for (uint32_t key = kKey; key < version::kKeyPositions; key += 8000) {
          size_t holder = HolderOf(key);
          moved = moved && holder != aFormer && holder < vms.size();
        }
        return moved && AllKeysHeld();
      },
      kTakeoverTimeout, aCase);
    ExpectServed();
  }
  void ExpectServed()
  {
    RunUntil(
      [this] { return SendRequest(3, "GET", "/keyed/x", std::to_string(kKey)).status == 200; },
      kTakeoverTimeout, "the key is served");
    cr_assert_eq(record.staleTokens, 0U);
  }
};

} // namespace

Test(direct_grants, keys_of_a_lost_vm_are_served_again)
{
  direct_fleet fleet;
  size_t lost = fleet.HolderOf(kKey);
  fleet.vms[lost]->upstream->Crash();
  fleet.vms[lost]->KillDaemon();
  fleet.ExpectMoved(lost, "takeover");
}

Test(direct_grants, keys_are_served_again_after_a_daemon_restart)
{
  direct_fleet fleet;
  size_t holder = fleet.HolderOf(kKey);
  fleet.vms[holder]->KillDaemon();
  fleet.RunFor(milliseconds(50));
  fleet.vms[holder]->StartDaemon();
  fleet.ExpectServed();
}

// A restarted upstream holds nothing and gets its keys with a higher fencing token, even if it has
// the same id.
Test(direct_grants, a_restarted_upstream_gets_new_fencing_tokens)
{
  direct_fleet fleet;
  size_t holder = fleet.HolderOf(kKey);
  for (milliseconds pause : { milliseconds(20), milliseconds(400) }) {
    fleet.vms[holder]->upstream->Crash();
    fleet.RunFor(pause);
    cr_assert(fleet.vms[holder]->upstream->Start().has_value());
    fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kTakeoverTimeout, "all keys held");
    fleet.ExpectServed();
  }
}

// The hand-off needs no announcement: the daemon asks for the release, and the new owner grants at
// once when it learns of the new map.
Test(direct_grants, keys_move_without_waiting_for_announcements)
{
  constexpr milliseconds kPeriod{ 900 };
  direct_fleet fleet(kPeriod);
  // Until then the upstream might hold grants of an earlier daemon process.
  fleet.RunFor(kPeriod * 3);
  size_t stopping = fleet.HolderOf(kKey);
  fleet.vms[stopping]->StopDaemon();
  fleet.RunUntil([&] { return fleet.vms[stopping]->upstream->HeldKeys() == 0; }, kPeriod / 2,
                 "the release of the keys");
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kPeriod / 2, "the new grants");
}

Test(direct_grants, a_release_waits_for_running_requests)
{
  direct_fleet fleet;
  size_t holder = fleet.HolderOf(kKey);
  fleet.vms[holder]->upstream->SetWork(milliseconds(300));
  auto pending = fleet.StartRequest(holder, "GET", "/keyed/x", std::to_string(kKey));
  fleet.RunUntil([&fleet] { return fleet.record.runs[fleet.LastRequestId()] == 1; },
                 milliseconds(500), "the request runs");
  fleet.vms[holder]->upstream->Leave();
  fleet.RunUntil(
    [&] {
      bool runs = !pending->done;
      cr_assert(!runs || fleet.HolderOf(kKey) == holder || fleet.HolderOf(kKey) == fleet.vms.size(),
                "the key has moved while its request runs");
      return pending->done;
    },
    milliseconds(1000), "the response");
  cr_assert_eq(pending->response.status, 200);
  fleet.ExpectMoved(holder, "hand-off");
}

// Whatever becomes of the calls about keys, no key has two holders, and keys move in time.
Test(direct_grants, keys_move_when_calls_about_them_fail)
{
  using tests::upstream_standin;
  struct failure
  {
    const char* name;
    std::function<void(upstream_standin&)> inject;
  };
  const failure kFailures[] = {
    { "lost answers", [](upstream_standin& aUpstream) { aUpstream.DropKeyAnswers(3); } },
    { "late grants",
      [](upstream_standin& aUpstream) { aUpstream.PerformLate(3, milliseconds(400)); } },
    { "status 500", [](upstream_standin& aUpstream) { aUpstream.RejectKeyCalls(3, 500); } },
    { "higher token seen", [](upstream_standin& aUpstream) { aUpstream.RejectKeyCalls(3, 409); } },
    { "status 200 without a handover",
      [](upstream_standin& aUpstream) { aUpstream.RejectKeyCalls(3, 200); } },
  };
  for (const failure& item : kFailures) {
    for (milliseconds pause : { milliseconds(0), milliseconds(150) }) {
      direct_fleet fleet;
      size_t leaving = fleet.HolderOf(kKey);
      item.inject(*fleet.vms[leaving]->upstream);
      fleet.RunFor(pause);
      fleet.vms[leaving]->upstream->Leave();
      fleet.ExpectMoved(leaving, item.name);
    }
  }
}
