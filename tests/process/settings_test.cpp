// Guards against a settings file with faults that is accepted, and against findings that are left
// out or do not say where the fault is.

#include "process/settings.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

constexpr char kValidSettings[] = R"(vm: v1
zone: z1
service: routes
listen:
  caller: 10.0.0.1:7000
  peer: 10.0.0.1:7001
  control: 10.0.0.1:7002
  operator: 10.0.0.1:7003
  upstream: 127.0.0.1:7004
platform: 10.0.0.9:6900
keys:
  peer: 0123456789abcdef
  operator: 0123456789abcdef
)";

} // namespace

Test(settings, valid_file_has_no_findings_and_keeps_defaults)
{
  common::findings found;
  auto read = process::ParseSettings(kValidSettings, "f.yaml", &found);
  cr_assert(found.Empty(), "%s", found.Format().c_str());
  cr_assert_eq(read.workers, 2U);
  cr_assert_eq(read.leaseTerms.term.count(), 2000);
  cr_assert_eq(read.listen.caller.Str(), "10.0.0.1:7000");
}

Test(settings, every_finding_is_reported_with_its_line)
{
  common::findings found;
  process::ParseSettings("vm: v1\nzone: z1\nzome: z2\nworkers: many\nlisten:\n  caller: here\n"
                         "lease:\n  term_ms: 1000\n  renew_ms: 900\n",
                         "f.yaml", &found);
  std::string text = found.Format();
  for (const char* expected :
       { "f.yaml:3: zome: There is no such setting", "f.yaml:4: workers: A whole number",
         "f.yaml:6: listen.caller: IP:PORT", "f.yaml: service: This setting is required",
         "f.yaml: keys.peer: This setting is required", "lease.renew_ms: At most a third" }) {
    cr_assert(text.find(expected) != std::string::npos, "missing %s in:\n%s", expected,
              text.c_str());
  }
}

Test(settings, invalid_yaml_is_one_finding_with_its_line)
{
  common::findings found;
  process::ParseSettings("vm: [unclosed\nzone: z", "f.yaml", &found);
  cr_assert_eq(found.Items().size(), 1U);
  cr_assert(found.Items()[0].line > 0);
}
