#include "process/sidecar/key_handoffs.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using process::sidecar::key_handoffs;
using process::sidecar::key_report;
using process::sidecar::released_range;

namespace {

constexpr char kOwner[] = "10.0.0.1";
constexpr char kTarget[] = "10.0.0.2";

key_report Report(const std::vector<version::key_range>& aHolds,
                  std::vector<released_range> aReleased)
{
  key_report heard;
  for (const version::key_range& range : aHolds) {
    heard.holds.push_back({ range, version::fencing_token(1), "" });
  }
  heard.released = std::move(aReleased);
  return heard;
}

// The owner has all keys, the target has none.
version::key_map Map()
{
  version::key_map map;
  map.lastFence = version::fencing_token(1);
  version::key_owner& owner = map.owners.emplace_back();
  owner.vm = kOwner;
  owner.ranges.push_back({ { 0, version::kKeyPositions - 1 }, map.lastFence, "" });
  map.owners.emplace_back().vm = kTarget;
  return map;
}

key_handoffs OneHandoff()
{
  key_handoffs handoffs;
  handoffs.Add({ { { 1000, 1999 }, kTarget } });
  handoffs.OnExcludedFromGrant();
  return handoffs;
}

// Applies the hand-offs and checks that every key has one owner and that 1000 keys have moved.
version::key_map ApplyAndCheckHandoffs(const key_handoffs& aHandoffs)
{
  cr_assert(aHandoffs.ReadyToCommit(false));
  version::key_map map = Map();
  aHandoffs.ApplyTo(&map, kOwner);
  cr_assert(map.Unowned().empty());
  uint32_t keys = 0;
  uint32_t moved = 0;
  for (const version::key_owner& owner : map.owners) {
    for (const version::held_range& held : owner.ranges) {
      keys += held.range.Size();
      moved += owner.vm == kTarget ? held.range.Size() : 0;
    }
  }
  cr_assert_eq(keys, version::kKeyPositions, "%u keys", keys);
  cr_assert_eq(moved, 1000U);
  return map;
}

std::string HandoverOf(const version::key_map& aMap, uint32_t aKey)
{
  for (const version::held_range& held : aMap.Owner(kTarget)->ranges) {
    if (held.range.Contains(aKey)) {
      return held.handover;
    }
  }
  return "";
}

} // namespace

// After adjacent ranges were merged, an upstream held a part and the merged range at once and
// released both. The hand-off gave both to the new owner; the keys after the part counted as
// unowned and were assigned to a third daemon.
Test(key_departures, part_and_whole_range_released_together_get_one_owner)
{
  key_handoffs handoffs = OneHandoff();
  handoffs.OnReport(Report({ { 1000, 1200 }, { 1000, 1999 } }, { { { 1201, 1201 }, "a" } }));
  cr_assert_not(handoffs.ReadyToCommit(false));
  handoffs.OnReport(Report({}, { { { 1000, 1200 }, "b" }, { { 1000, 1999 }, "c" } }));
  version::key_map map = ApplyAndCheckHandoffs(handoffs);
  cr_assert(HandoverOf(map, 1200) == "b");
  cr_assert(HandoverOf(map, 1201) == "c");
}

// A key in several released ranges must be moved once, with one handover value.
Test(key_departures, overlapping_released_ranges_get_one_owner)
{
  key_handoffs handoffs = OneHandoff();
  handoffs.OnReport(
    Report({}, { { { 0, 1200 }, "a" }, { { 1000, 1999 }, "b" }, { { 1100, 1300 }, "c" } }));
  version::key_map map = ApplyAndCheckHandoffs(handoffs);
  cr_assert(HandoverOf(map, 1000) == "a");
  cr_assert(HandoverOf(map, 1250) == "b");
}

// The upstream announces a released range only once, while it may still run requests for the rest.
Test(key_departures, handover_of_a_part_released_first_is_kept)
{
  key_handoffs handoffs = OneHandoff();
  handoffs.OnReport(
    Report({ { 1500, 1500 } }, { { { 1000, 1499 }, "a" }, { { 1501, 1999 }, "b" } }));
  cr_assert_not(handoffs.ReadyToCommit(false));
  handoffs.OnReport(Report({}, { { { 1500, 1500 }, "c" } }));
  version::key_map map = ApplyAndCheckHandoffs(handoffs);
  cr_assert(HandoverOf(map, 1000) == "a");
  cr_assert(HandoverOf(map, 1500) == "c");
  cr_assert(HandoverOf(map, 1999) == "b");
}

// A grant that was delayed in the network can return a released range to the upstream.
Test(key_departures, range_held_again_is_committed_only_after_the_grants_expire)
{
  key_handoffs handoffs = OneHandoff();
  handoffs.OnReport(Report({}, { { { 1000, 1999 }, "a" } }));
  handoffs.OnReport(Report({ { 1000, 1999 } }, {}));
  cr_assert_not(handoffs.ReadyToCommit(false));
  cr_assert(handoffs.ReadyToCommit(true));
}

// A range that has moved to a third owner during the hand-off must not get two owners.
Test(key_departures, ranges_no_longer_owned_are_not_moved)
{
  key_handoffs handoffs = OneHandoff();
  handoffs.OnReport(Report({}, {}));
  version::key_map map = Map();
  version::key_range elsewhere{ 1400, 1599 };
  version::RemoveRange(map.Owner(kOwner), elsewhere);
  version::key_owner& third = map.owners.emplace_back();
  third.vm = "10.0.0.3";
  version::AddRange(&third, { elsewhere, version::fencing_token(1), "" });
  handoffs.ApplyTo(&map, kOwner);
  cr_assert(map.Unowned().empty());
  cr_assert(map.Owner(kTarget)->ranges.size() == 2);
  cr_assert(map.Find(1500)->vm == "10.0.0.3");
}

// Until a grant excludes the keys, the upstream serves them; pausing earlier would delay requests.
Test(key_departures, keys_are_paused_after_a_grant_excludes_them)
{
  key_handoffs handoffs;
  handoffs.Add({ { { 1000, 1999 }, kTarget } });
  cr_assert(handoffs.PausedKeys().empty());
  handoffs.OnExcludedFromGrant();
  cr_assert_eq(handoffs.PausedKeys().size(), 1U);
  cr_assert(handoffs.Remaining(*Map().Owner(kOwner)).size() == 2);
}
