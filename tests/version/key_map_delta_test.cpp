#include "version/key_map_delta.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using version::delta_result;
using version::key_map;

namespace {

boost::intrusive_ptr<key_map> MapOf(uint64_t aVersion, const std::vector<std::string>& aOwners)
{
  boost::intrusive_ptr<key_map> map(new key_map());
  map->service = common::service_name("s");
  map->version = common::row_version(aVersion);
  map->lastFence = version::fence(aVersion);
  uint32_t first = 0;
  for (const std::string& vm : aOwners) {
    version::key_owner& owner = map->owners.emplace_back();
    owner.vm = vm;
    owner.session = common::session_id("session of " + vm);
    version::GiveRange(&owner, { { first, first + 99 }, map->lastFence, "" });
    first += 100;
  }
  return map;
}

common::json Encoded(const key_map& aMap)
{
  return version::EncodeKeyMap(aMap);
}

} // namespace

Test(key_map_delta, holds_only_the_owners_that_differ)
{
  auto before = MapOf(3, { "a", "b", "c" });
  auto after = MapOf(4, { "a", "b", "c" });
  after->owners[0] = before->owners[0];
  after->owners[2] = before->owners[2];
  common::json delta = version::EncodeKeyMapDelta(before.get(), *after);
  cr_assert_eq(delta["changed"]["owners"].size(), 1U);
  auto applied = version::ApplyKeyMapDelta(before.get(), delta);
  cr_assert(applied.result == delta_result::kApplied);
  cr_assert_eq(applied.map->version.Value(), 4U);
  cr_assert(Encoded(*applied.map) == Encoded(*after));
}

Test(key_map_delta, removes_owners_that_are_gone_and_adds_new_ones)
{
  auto before = MapOf(3, { "a", "b" });
  auto after = MapOf(5, { "a", "c" });
  auto applied =
    version::ApplyKeyMapDelta(before.get(), version::EncodeKeyMapDelta(before.get(), *after));
  cr_assert(applied.result == delta_result::kApplied);
  cr_assert(Encoded(*applied.map) == Encoded(*after));
}

Test(key_map_delta, makes_the_first_map_from_nothing)
{
  auto after = MapOf(1, { "a" });
  auto applied = version::ApplyKeyMapDelta(nullptr, version::EncodeKeyMapDelta(nullptr, *after));
  cr_assert(applied.result == delta_result::kApplied);
  cr_assert(Encoded(*applied.map) == Encoded(*after));
}

Test(key_map_delta, is_not_applied_to_another_version_than_its_own)
{
  auto before = MapOf(3, { "a" });
  common::json delta = version::EncodeKeyMapDelta(before.get(), *MapOf(4, { "a" }));
  cr_assert(version::ApplyKeyMapDelta(MapOf(2, { "a" }).get(), delta).result == delta_result::kGap);
  cr_assert(version::ApplyKeyMapDelta(nullptr, delta).result == delta_result::kGap);
  cr_assert(version::ApplyKeyMapDelta(MapOf(4, { "a" }).get(), delta).result ==
            delta_result::kStale);
  cr_assert(version::ApplyKeyMapDelta(MapOf(9, { "a" }).get(), delta).result ==
            delta_result::kStale);
}

Test(key_map_delta, refuses_what_is_not_a_difference)
{
  for (const common::json& value : { common::json::object(), common::json::array(),
                                     common::json({ { "base", 1 }, { "row", 2 } }) }) {
    cr_assert(version::ApplyKeyMapDelta(nullptr, value).result == delta_result::kInvalid);
    cr_assert(version::ServiceOfDelta(value).Empty());
  }
}

Test(key_map_delta, the_change_of_one_owner_does_not_grow_with_the_fleet)
{
  std::vector<std::string> few;
  std::vector<std::string> many;
  for (int i = 0; i < 400; ++i) {
    (i < 4 ? few : many).push_back("vm" + std::to_string(1000 + i));
  }
  auto sizeFor = [](const std::vector<std::string>& aOwners) {
    auto before = MapOf(3, aOwners);
    auto after = MapOf(3, aOwners);
    after->version = common::row_version(4);
    after->owners.front().session = common::session_id("another");
    return common::Dump(version::EncodeKeyMapDelta(before.get(), *after)).size();
  };
  cr_assert_eq(sizeFor(few), sizeFor(many));
}
