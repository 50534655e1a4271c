// Tests a whole deployment through its caller and operator interfaces.

#include "system/script.h"

#include <criterion/criterion.h>

using bamboograde::tests::RunScript;
using bamboograde::tests::ValueOf;

namespace {

constexpr char kStartDeployment[] =
  "dir=$(mktemp -d); trap 'misc/site.sh stop $dir' EXIT; "
  "misc/site.sh start $dir lechner 26000 || exit 9; . $dir/site.env; "
  "ctl() { build/src/ctl/bamboogradectl --daemon=$OPERATOR "
  "--key_file=$dir/operator.key \"$@\"; }; ";

// Shell commands that stop every daemon with aSignal, start them again and wait until all 192
// slices are owned under a lease.
std::string RestartAll(const std::string& aSignal)
{
  return "while read -r vm _; do kill -" + aSignal +
         " $(cat $dir/$vm.daemon.pid); done <$dir/vms; while read -r vm _; do "
         "for i in $(seq 1 200); do kill -0 $(cat $dir/$vm.daemon.pid) 2>/dev/null || break; "
         "sleep 0.1; done; done <$dir/vms; while read -r vm _; do misc/site.sh daemon $dir $vm; "
         "done "
         "<$dir/vms; for i in $(seq 1 300); do n=$(ctl status 2>/dev/null | awk 'NR>1 && $5==$4 "
         "{n+=$6} END {print n+0}'); [ \"$n\" = 192 ] && break; sleep 0.1; done; echo slices=$n; "
         "ctl status";
}

bool Contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

Test(site, ten_thousand_concurrent_requests_get_their_own_answers)
{
  auto result = RunScript(std::string(kStartDeployment) +
                          "build/src/load/bamboograde_load --entries=$ENTRIES "
                          "--services=routes,billing,inventory --classes=driver,packer,office "
                          "--rate=20000 --seconds=0.5 --timeout_ms=30000 --bookings=0.2 "
                          "--work_us=5000 --body_bytes=100 --threads=3");
  cr_assert_eq(ValueOf(result.output, "sent"), 9999, "%s", result.output.c_str());
  cr_assert_eq(ValueOf(result.output, "wrong"), 0, "%s", result.output.c_str());
  cr_assert_eq(ValueOf(result.output, "lost"), 0, "%s", result.output.c_str());
  cr_assert_eq(ValueOf(result.output, "untraced"), 0, "%s", result.output.c_str());
  cr_assert_gt(ValueOf(result.output, "served"), 0);
}

Test(site, concurrent_edits_are_merged_or_reported_as_conflicts)
{
  auto result = RunScript(
    std::string(kStartDeployment) +
    "ctl table get 2>/dev/null >$dir/a.csv; sed 's/routes-drivers,routes,driver,,,6/"
    "routes-drivers,routes,driver,,,7/' $dir/a.csv >$dir/one.csv; sed 's/billing-checks,billing,"
    "driver,,,8/billing-checks,billing,driver,,,9/' $dir/a.csv >$dir/two.csv; "
    "sed 's/routes-drivers,routes,driver,,,6/routes-drivers,routes,driver,,,5/' $dir/a.csv "
    ">$dir/three.csv; ctl table set $dir/one.csv --base=1 --wait; "
    "ctl table set $dir/two.csv --base=1 --wait; ctl table set $dir/three.csv --base=1; "
    "echo conflict=$?; ctl table get 2>&1; ctl audit --kind=table");
  for (const char* expected :
       { "accepted as version 2", "accepted as version 3, merged with another edit",
         "was '6', you want '5', now it is '7'", "conflict=3", "routes-drivers,routes,driver,,,7",
         "billing-checks,billing,driver,,,9" }) {
    cr_assert(Contains(result.output, expected), "missing: %s in\n%s", expected,
              result.output.c_str());
  }
}

Test(site, planned_stop_of_every_daemon_at_once_keeps_all_slices_owned)
{
  auto result = RunScript(std::string(kStartDeployment) + RestartAll("TERM"));
  cr_assert_eq(ValueOf(result.output, "slices"), 192, "%s", result.output.c_str());
}

Test(site, crash_of_every_daemon_at_once_recovers_without_an_operator)
{
  auto result = RunScript(std::string(kStartDeployment) +
                          "ctl table edit routes-office weight=4 --wait; " + RestartAll("KILL"));
  cr_assert_eq(ValueOf(result.output, "slices"), 192, "%s", result.output.c_str());
  cr_assert_not(Contains(result.output, " 1              2026"),
                "an old table version is in force:\n%s", result.output.c_str());
}

Test(site, invalid_input_is_rejected_with_a_reason)
{
  auto result = RunScript(
    std::string(kStartDeployment) +
    "curl -s -H 'Bamboograde-Timeout-Ms: soon' http://${ENTRIES%%,*}/x; "
    "curl -s -X POST -H 'Bamboograde-Service: routes' -H 'Bamboograde-Key: k' "
    "http://${ENTRIES%%,*}/x; "
    "head -c 2000000 /dev/zero | curl -s -X PUT --data-binary @- -H 'Bamboograde-Service: routes' "
    "-H 'Bamboograde-Key: k' http://${ENTRIES%%,*}/x; "
    "printf 'row,service,class,weight\\nx,routes,*,0\\n' >$dir/bad.csv; ctl table set "
    "$dir/bad.csv; "
    "echo invalid=$?; BAMBOOGRADE_OPERATOR_KEY=wrong build/src/ctl/bamboogradectl "
    "--daemon=$OPERATOR "
    "status; echo unauthorized=$?");
  for (const char* expected :
       { "Bamboograde-Timeout-Ms: Whole milliseconds", "Bamboograde-Key: This header is required",
         "ticket_required", "body_too_large", "weight: A number above 0 is expected", "invalid=2",
         "unauthorized=2" }) {
    cr_assert(Contains(result.output, expected), "missing: %s in\n%s", expected,
              result.output.c_str());
  }
}
