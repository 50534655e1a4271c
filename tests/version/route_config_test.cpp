#include "version/member.h"
#include "version/route_config.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

version::route_rule MakeRoute(const std::string& aName, const std::string& aHost,
                              const std::string& aPrefix)
{
  version::route_rule route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.services = { { common::service_name("s"), 1 } };
  return route;
}

std::string NameOfRoute(const version::route_config& aConfig, const std::string& aHost,
                        std::string_view aPath)
{
  const version::route_rule* route = aConfig.Find(aHost, aPath);
  return route == nullptr ? "" : route->name;
}

version::member MakeMember(uint64_t aSequence)
{
  version::member member;
  member.vm = "127.0.0.1";
  member.boot = common::boot_id("b");
  member.control = common::endpoint("127.0.0.1:1");
  member.sequence = aSequence;
  return member;
}

} // namespace

Test(route_config, longest_prefix_of_the_host_matches)
{
  version::route_config config(version::config_version(1),
                               { MakeRoute("short", "h", "/a/"), MakeRoute("long", "h", "/a/b/"),
                                 MakeRoute("other", "g", "/a/b/c/") },
                               {}, {});
  cr_assert(NameOfRoute(config, "h", "/a/x") == "short");
  cr_assert(NameOfRoute(config, "h", "/a/b/c/d") == "long");
  cr_assert(NameOfRoute(config, "g", "/a/b/c/d") == "other");
  cr_assert(NameOfRoute(config, "h", "/a").empty());
  cr_assert(NameOfRoute(config, "x", "/a/").empty());
}

Test(member_list, keeps_the_record_with_the_highest_sequence)
{
  version::member_list list;
  cr_assert(list.Apply(MakeMember(5)));
  cr_assert_not(list.Apply(MakeMember(5)));
  cr_assert_not(list.Apply(MakeMember(4)));
  cr_assert(list.Apply(MakeMember(6)));
  cr_assert_eq(list.Find("127.0.0.1")->sequence, 6U);
}

Test(member, encoding_round_trip)
{
  version::member member = MakeMember(3);
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
