#include "version/key_plan.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using version::held_range;
using version::key_range;

namespace {

version::key_owner MakeOwner(std::vector<held_range> aRanges)
{
  version::key_owner owner;
  owner.vm = "a";
  owner.ranges = std::move(aRanges);
  return owner;
}

held_range MakeRange(uint32_t aFirst, uint32_t aLast, uint64_t aToken, std::string aHandover = "")
{
  return { { aFirst, aLast }, version::fencing_token(aToken), std::move(aHandover) };
}

} // namespace

Test(key_map, removing_a_range_keeps_the_remainders_on_both_sides)
{
  auto owner = MakeOwner({ MakeRange(0, 99, 3, "h") });
  version::RemoveRange(&owner, { 40, 49 });
  cr_assert(owner.ranges ==
            (std::vector<held_range>{ MakeRange(0, 39, 3, "h"), MakeRange(50, 99, 3, "h") }));
  version::RemoveRange(&owner, { 0, 60 });
  cr_assert(owner.ranges == std::vector<held_range>{ MakeRange(61, 99, 3, "h") });
  version::RemoveRange(&owner, { 0, 65535 });
  cr_assert(owner.ranges.empty());
}

Test(key_map, added_ranges_join_adjacent_ranges_of_equal_token_only)
{
  auto owner = MakeOwner({ MakeRange(0, 9, 1) });
  version::AddRange(&owner, MakeRange(20, 29, 2));
  version::AddRange(&owner, MakeRange(10, 19, 1));
  cr_assert(owner.ranges == (std::vector<held_range>{ MakeRange(0, 19, 1), MakeRange(20, 29, 2) }));
}

Test(key_map, finds_owners_and_unowned_ranges)
{
  version::key_map map;
  map.owners = { MakeOwner({ MakeRange(10, 19, 1) }), MakeOwner({ MakeRange(30, 30, 2) }) };
  map.owners[1].vm = "b";
  cr_assert_null(map.Find(9));
  cr_assert(map.Find(10)->vm == "a");
  cr_assert(map.Find(19)->vm == "a");
  cr_assert_null(map.Find(20));
  cr_assert(map.Find(30)->vm == "b");
  cr_assert(map.Unowned() ==
            (std::vector<key_range>{ { 0, 9 }, { 20, 29 }, { 31, version::kKeyPositions - 1 } }));
}

Test(key_map, encoding_round_trip_keeps_owners_and_last_fence)
{
  boost::intrusive_ptr<version::key_map> map(new version::key_map());
  map->service = common::service_name("s");
  map->lastFence = version::fencing_token(9);
  map->owners = { MakeOwner({ MakeRange(0, 5, 9, "token") }) };
  map->owners[0].session = common::session_id("x");
  map->owners[0].witnesses = { { common::endpoint("127.0.0.1:1"), common::boot_id("b") } };
  auto decoded = version::DecodeKeyMap(version::EncodeKeyMap(*map));
  cr_assert_not_null(decoded.get());
  cr_assert(decoded->owners[0].ranges == map->owners[0].ranges);
  cr_assert(decoded->owners[0].witnesses == map->owners[0].witnesses);
  cr_assert(decoded->owners[0].session == map->owners[0].session);
  cr_assert_eq(decoded->lastFence.Value(), 9U);
}

Test(key_map, decoding_rejects_invalid_values)
{
  for (const char* text : { "{}", "[]", "7", R"({"service":"s","owners":[{}]})",
                            R"({"service":"s","owners":[{"vm":"a","ranges":[[5,4,1,""]]}]})",
                            R"({"service":"s","owners":[{"vm":"a","ranges":[[0,65536,1,""]]}]})",
                            R"({"service":"s","owners":[{"vm":"a","ranges":[[0,"x",1,""]]}]})" }) {
    cr_assert_null(version::DecodeKeyMap(common::json::parse(text)).get(), "%s", text);
  }
}

Test(key_plan, assigns_every_key_once_in_proportion_to_slots)
{
  auto plan = version::AssignKeys({ { 0, version::kKeyPositions - 1 } },
                                  { { "a", 10 }, { "b", 10 }, { "c", 20 } }, nullptr);
  uint32_t next = 0;
  std::map<std::string, uint32_t> sizes;
  for (const version::key_assignment& part : plan) {
    cr_assert_eq(part.range.first, next);
    next = part.range.last + 1;
    sizes[part.vm] += part.range.Size();
  }
  cr_assert_eq(next, version::kKeyPositions);
  cr_assert_float_eq(sizes["c"], version::kKeyPositions / 2.0, 2);
  cr_assert_float_eq(sizes["a"], version::kKeyPositions / 4.0, 2);
}

// Guards against a gap reported after a short range that lies within a longer one: keys that have
// an owner would be assigned to a second one.
Test(key_map, overlapping_ranges_leave_nothing_unowned)
{
  version::key_map map;
  version::key_owner& owner = map.owners.emplace_back();
  owner.vm = "a";
  owner.ranges.push_back({ { 0, version::kKeyPositions - 1 }, version::fencing_token(1), "" });
  map.owners.emplace_back().vm = "b";
  map.owners.back().ranges.push_back({ { 100, 200 }, version::fencing_token(1), "" });
  cr_assert(map.Unowned().empty());
}

Test(key_map, adjacent_ranges_of_equal_token_are_joined)
{
  version::key_owner owner;
  owner.ranges = { { { 0, 9 }, version::fencing_token(2), "" },
                   { { 10, 10 }, version::fencing_token(2), "" },
                   { { 12, 20 }, version::fencing_token(2), "" },
                   { { 21, 30 }, version::fencing_token(3), "" } };
  version::JoinAdjacentRanges(&owner);
  cr_assert_eq(owner.ranges.size(), 3U);
  cr_assert_eq(owner.ranges[0].range.last, 10U);
}

// Guards against a key in two ranges of one owner, with two fencing tokens.
Test(key_map, added_range_replaces_the_overlapping_part_of_another)
{
  version::key_owner owner;
  version::AddRange(&owner, { { 0, 100 }, version::fencing_token(1), "a" });
  version::AddRange(&owner, { { 50, 60 }, version::fencing_token(2), "b" });
  cr_assert_eq(owner.ranges.size(), 3U);
  cr_assert_eq(owner.ranges[1].range.last, 60U);
  cr_assert_eq(owner.ranges[2].range.first, 61U);
}

Test(key_plan, divides_keys_by_load_if_load_is_given)
{
  static version::key_load load;
  for (int i = 0; i < 1000; ++i) {
    load.Count(100);
    load.Count(101);
  }
  auto plan = version::AssignKeys({ { 0, 1000 } }, { { "a", 1 }, { "b", 1 } }, &load);
  cr_assert_eq(plan.size(), 2U);
  cr_assert_eq(plan[0].range.last, 100U);
}

Test(key_load, finds_the_narrowest_range_within_load_bounds)
{
  static version::key_load load;
  for (uint32_t key = 200; key < 300; ++key) {
    load.Count(key);
  }
  for (int i = 0; i < 10; ++i) {
    load.Count(250);
  }
  auto found = load.NarrowestRange({ 0, 1000 }, 15, 25);
  cr_assert(found.has_value());
  cr_assert(found->Contains(250));
  cr_assert_leq(found->Size(), 6U);
  cr_assert_not(load.NarrowestRange({ 0, 100 }, 1, 10).has_value());
  // A single key with more load than the maximum is not chosen.
  cr_assert_not(load.NarrowestRange({ 250, 250 }, 5, 8).has_value());
}
