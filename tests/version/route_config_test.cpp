#include "version/member.h"
#include "version/route_config.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

version::route_rule Route(const std::string& aName, const std::string& aHost,
                          const std::string& aPrefix)
{
  version::route_rule route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.services = { { common::service_name("s"), 1 } };
  return route;
}

std::string NameOf(const version::route_config& aConfig, const std::string& aHost,
                   std::string_view aPath)
{
  const version::route_rule* route = aConfig.Find(aHost, aPath);
  return route == nullptr ? "" : route->name;
}

version::member Member(uint64_t aSequence)
{
  version::member member;
  member.vm = "127.0.0.1";
  member.boot = common::boot_id("b");
  member.control = common::endpoint("127.0.0.1:1");
  member.sequence = aSequence;
  return member;
}

} // namespace

Test(route_config, the_longest_prefix_of_the_host_wins)
{
  version::route_config config(
    version::config_version(1),
    { Route("short", "h", "/a/"), Route("long", "h", "/a/b/"), Route("other", "g", "/a/b/c/") }, {},
    {});
  cr_assert(NameOf(config, "h", "/a/x") == "short");
  cr_assert(NameOf(config, "h", "/a/b/c/d") == "long");
  cr_assert(NameOf(config, "g", "/a/b/c/d") == "other");
  cr_assert(NameOf(config, "h", "/a").empty());
  cr_assert(NameOf(config, "x", "/a/").empty());
}

Test(member_list, keeps_the_newest_record)
{
  version::member_list list;
  cr_assert(list.Apply(Member(5)));
  cr_assert_not(list.Apply(Member(5)));
  cr_assert_not(list.Apply(Member(4)));
  cr_assert(list.Apply(Member(6)));
  cr_assert_eq(list.Find("127.0.0.1")->sequence, 6U);
}

Test(member, survives_its_encoding)
{
  version::member member = Member(3);
  member.state = version::upstream_state::kReady;
  member.service = common::service_name("s");
  member.slots = 7;
  auto decoded = version::DecodeMember(version::EncodeMember(member));
  cr_assert(decoded.has_value());
  cr_assert(decoded->Serves(common::service_name("s")));
  cr_assert_eq(decoded->slots, 7U);
  cr_assert_not(version::DecodeMember(common::json::parse("{\"vm\":1}")).has_value());
  cr_assert_not(version::DecodeMember(common::json::parse("[]")).has_value());
}
