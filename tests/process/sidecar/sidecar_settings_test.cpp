#include "process/sidecar/sidecar_settings.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using process::sidecar::ParseSidecarSettings;

namespace {

const std::string kWhole = R"(vm: 127.0.0.1
zone: a
service: s
upstream: 127.0.0.1:1
platform: 127.0.0.1:2
announce_period_ms: 870
seeds: ["127.0.0.2:3"]
listen:
  callers: 127.0.0.1:4
  forwards: 127.0.0.1:5
  control: 127.0.0.1:6
  readiness: 127.0.0.1:7
  announcements: 127.0.0.1:8
bounds:
  grace_s: 6
  retry_ratio: 0.2
)";

} // namespace

Test(sidecar_settings, reads_a_complete_file)
{
  common::findings findings;
  auto settings = ParseSidecarSettings(kWhole, "file", &findings);
  cr_assert(findings.Empty(), "%s", findings.Format().c_str());
  cr_assert_eq(settings.announcePeriod.count(), 870);
  cr_assert_eq(settings.bounds.grace.count(), 6000);
  cr_assert_eq(settings.seeds.size(), 1U);
  cr_assert(settings.listen.metrics.Empty());
}

Test(sidecar_settings, tells_other_daemons_the_advertised_addresses)
{
  common::findings findings;
  auto settings = ParseSidecarSettings(kWhole, "file", &findings);
  cr_assert_eq(settings.PublicForwards().Str(), "127.0.0.1:5");
  cr_assert_eq(settings.PublicControl().Str(), "127.0.0.1:6");
  settings = ParseSidecarSettings(
    kWhole + "advertise:\n  forwards: 127.0.0.3:5\n  control: 127.0.0.3:6\n", "file", &findings);
  cr_assert(findings.Empty(), "%s", findings.Format().c_str());
  cr_assert_eq(settings.PublicForwards().Str(), "127.0.0.3:5");
  cr_assert_eq(settings.PublicControl().Str(), "127.0.0.3:6");
  cr_assert_eq(settings.listen.forwards.Str(), "127.0.0.1:5");
  cr_assert_eq(settings.listen.control.Str(), "127.0.0.1:6");
  ParseSidecarSettings(kWhole + "advertise:\n  control: nowhere\n", "file", &findings);
  cr_assert(findings.Format().find("advertise.control: expected IP:PORT") != std::string::npos);
}

Test(sidecar_settings, reports_all_findings_with_their_line)
{
  common::findings findings;
  ParseSidecarSettings("vm: 127.0.0.1\nupstream: nowhere\ncolour: red\nannounce_period_ms: -1\n",
                       "file", &findings);
  std::string text = findings.Format();
  for (const char* expected :
       { "file:2: upstream: expected IP:PORT", "file:3: colour: unknown setting",
         "file:4: announce_period_ms", "listen.callers: missing" }) {
    cr_assert(text.find(expected) != std::string::npos, "%s\n%s", expected, text.c_str());
  }
}

Test(sidecar_settings, rejects_invalid_yaml)
{
  common::findings findings;
  ParseSidecarSettings("vm: [", "file", &findings);
  cr_assert_not(findings.Empty());
}
