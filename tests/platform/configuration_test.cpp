// Changes of the configuration reach every daemon, whatever becomes of its feed.

#include "fleet_fixture.h"

#include "platform/names.h"
#include "platform/table_store.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::fleet_fixture;

namespace {

const std::vector<std::string> kServices = { "keyed", "plain", "plain" };
constexpr common::milliseconds kStartTimeout{ 6000 };
// Maximum time from the platform's acknowledgement of a configuration to its use by every daemon.
constexpr common::milliseconds kApplyTime{ 2000 };
// Maximum time from the end of an outage of the platform until the daemons are current.
constexpr common::milliseconds kRecoveryTime{ 3000 };

void WaitUntilServing(fleet_fixture& aFleet)
{
  aFleet.RunUntil([&aFleet] { return aFleet.AllKeysHeld(); }, kStartTimeout, "all keys held");
  for (size_t vm = 0; vm < aFleet.vms.size(); ++vm) {
    cr_assert_eq(aFleet.SendRequest(vm, "GET", "/plain/x").status, 200);
    cr_assert_eq(aFleet.SendRequest(vm, "GET", "/new/x").status, 404);
  }
}

void ExpectNewRoute(fleet_fixture& aFleet)
{
  for (size_t vm = 0; vm < aFleet.vms.size(); ++vm) {
    cr_expect_eq(aFleet.SendRequest(vm, "GET", "/new/x").status, 200, "vm %zu", vm);
  }
}

} // namespace

Test(configuration, a_change_is_applied_while_all_feeds_are_silent)
{
  fleet_fixture fleet(kServices);
  WaitUntilServing(fleet);
  fleet.table.StallFeeds();
  fleet.Configure(2, "/new/");
  fleet.RunFor(kApplyTime);
  ExpectNewRoute(fleet);
}

Test(configuration, a_change_is_applied_after_the_platform_was_silent)
{
  fleet_fixture fleet(kServices);
  WaitUntilServing(fleet);
  fleet.table.SetSilent(true);
  fleet.table.CloseFeeds();
  fleet.RunFor(common::milliseconds(4000));
  fleet.table.SetSilent(false);
  fleet.Configure(2, "/new/");
  fleet.RunFor(kRecoveryTime);
  ExpectNewRoute(fleet);
}
