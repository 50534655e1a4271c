// Injects faults into whole deployments under load and checks the histories. The bound on unserved
// time is wide, so that the result does not depend on the load of the machine; the benchmarks
// measure that time.

#include "system/script.h"

#include <criterion/criterion.h>

namespace {

void ExpectGuaranteesHold(const std::string& aCell)
{
  auto result = bamboograde::tests::RunScript("UNSERVED_LIMIT_MS=12000 misc/faults.sh " + aCell +
                                              " $(mktemp -d) 25000 7");
  cr_assert_eq(result.exitCode, 0, "%s", result.output.c_str());
}

} // namespace

Test(fault, planned_stop_loses_no_request)
{
  ExpectGuaranteesHold("planned-stop");
}

Test(fault, loss_of_a_vm_violates_no_guarantee)
{
  ExpectGuaranteesHold("vm-lost");
}

Test(fault, resumed_vm_violates_no_guarantee)
{
  ExpectGuaranteesHold("vm-frozen");
}

Test(fault, zone_loss_with_lost_platform_responses_violates_no_guarantee)
{
  ExpectGuaranteesHold("zone-lost+answers-lost");
}
