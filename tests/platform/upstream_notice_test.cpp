// What upstreams say of themselves in their responses holds for all VMs.

#include "fleet_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace bamboograde;
using tests::fleet_fixture;

namespace {

constexpr char kLimitHeader[] = "Server-Limit";
constexpr char kLeavingHeader[] = "Server-Leaving";
constexpr common::milliseconds kStartTimeout{ 6000 };
constexpr common::milliseconds kWindow{ 4000 };
// The daemons' default for bounds.drain_ms.
constexpr common::milliseconds kDrainTime{ 2000 };

// Most arrivals after aFrom in any span of kWindow.
size_t MostArrivals(const tests::upstream_standin& aUpstream, common::boot_time aFrom)
{
  const auto& all = aUpstream.Arrivals();
  size_t most = 0;
  for (auto first = std::lower_bound(all.begin(), all.end(), aFrom); first != all.end(); ++first) {
    auto last = std::lower_bound(first, all.end(), *first + kWindow);
    most = std::max(most, size_t(last - first));
  }
  return most;
}

// Maximum number of requests in kWindow at an upstream that names this limit.
size_t Allowed(double aLimit)
{
  return size_t(1.5 * aLimit * 4 + 5);
}

// Sends requests to all daemons in turn, without waiting for the responses.
void SendLoad(fleet_fixture& aFleet, const char* aPath, const char* aKey,
              common::milliseconds aTime)
{
  constexpr common::milliseconds kPause{ 10 };
  std::vector<std::unique_ptr<tests::pending_request>> pending;
  common::boot_time end = aFleet.loop.Now() + aTime;
  for (size_t number = 0; aFleet.loop.Now() < end; ++number) {
    pending.push_back(aFleet.StartRequest(number % aFleet.vms.size(), "GET", aPath, aKey));
    aFleet.RunFor(kPause);
  }
  aFleet.RunUntil(
    [&pending] {
      return std::all_of(pending.begin(), pending.end(),
                         [](const auto& aRequest) { return aRequest->done; });
    },
    2 * fleet_fixture::kRequestTimeout, "all responses");
}

} // namespace

Test(upstream_notice, a_named_limit_holds_for_all_vms_together)
{
  constexpr double kLimit = 5.5;
  fleet_fixture fleet({ "keyed", "plain", "plain" });
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
  fleet.RunFor(common::milliseconds(500));
  tests::upstream_standin& plain = *fleet.vms[1]->upstream;
  tests::upstream_standin& keyed = *fleet.vms[0]->upstream;
  plain.SetHeader(kLimitHeader, "5.5");
  keyed.SetHeader(kLimitHeader, "5.5");
  SendLoad(fleet, "/plain/x", "", common::milliseconds(500));
  SendLoad(fleet, "/keyed/x", "7", common::milliseconds(500));
  common::boot_time told = fleet.loop.Now();
  SendLoad(fleet, "/plain/x", "", common::milliseconds(5000));
  cr_expect_leq(MostArrivals(plain, told), Allowed(kLimit));
  SendLoad(fleet, "/keyed/x", "7", common::milliseconds(5000));
  cr_expect_leq(MostArrivals(keyed, told), Allowed(kLimit));
  // The limit is used, too.
  cr_expect_geq(MostArrivals(keyed, told), size_t(0.8 * kLimit * 4));
}

Test(upstream_notice, a_named_limit_survives_a_restart_of_the_daemon_beside_the_upstream)
{
  fleet_fixture fleet({ "keyed", "plain" });
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
  fleet.RunFor(common::milliseconds(500));
  tests::upstream_standin& plain = *fleet.vms[1]->upstream;
  plain.SetHeader(kLimitHeader, "0.5");
  plain.SetWork(common::milliseconds(1000));
  SendLoad(fleet, "/plain/x", "", common::milliseconds(1500));
  common::boot_time told = fleet.loop.Now();
  for (int restart = 0; restart < 2; ++restart) {
    fleet.vms[1]->KillDaemon();
    fleet.vms[1]->StartDaemon();
    SendLoad(fleet, "/plain/x", "", common::milliseconds(1500));
  }
  cr_expect_leq(MostArrivals(plain, told), Allowed(0.5));
}

Test(upstream_notice, an_upstream_that_says_that_it_leaves_gets_no_request_after_the_drain_time)
{
  fleet_fixture fleet({ "keyed", "plain", "plain" });
  fleet.RunUntil([&fleet] { return fleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
  fleet.RunFor(common::milliseconds(500));
  tests::upstream_standin& leaving = *fleet.vms[1]->upstream;
  leaving.SetHeader(kLeavingHeader, "1");
  SendLoad(fleet, "/plain/x", "", common::milliseconds(500));
  common::boot_time drained = fleet.loop.Now() + kDrainTime;
  SendLoad(fleet, "/plain/x", "", common::milliseconds(1000));
  // The new process knows nothing of the former one's responses, and the upstream still announces
  // itself as ready.
  fleet.vms[1]->KillDaemon();
  fleet.vms[1]->StartDaemon();
  SendLoad(fleet, "/plain/x", "", common::milliseconds(2500));
  const auto& arrivals = leaving.Arrivals();
  auto late = arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), drained);
  cr_expect_eq(late, 0, "%td requests", late);
}
