#include "load/history.h"

#include <criterion/criterion.h>

using namespace bamboograde::load;

namespace {

upstream_run Run(const char* aUpstream, uint64_t aEpoch, int64_t aStart, int64_t aEnd,
                 const char* aId = "r", const char* aTicket = "")
{
  return { aUpstream, "routes/k", aId, aTicket, aEpoch, aStart, aEnd, true };
}

caller_outcome Outcome(const char* aId, const char* aOutcome, int64_t aDueMs, int64_t aEndMs)
{
  return { aId, "routes", "k", "", aOutcome, "", aDueMs * 1000, aEndMs * 1000 };
}

} // namespace

Test(history, runs_in_epoch_order_are_accepted)
{
  cr_assert(CheckHistory({ Run("a", 1, 0, 10), Run("a", 1, 5, 20), Run("b", 2, 20, 30) }, {})
              .GuaranteesHold());
}

Test(history, overlapping_or_reordered_owners_are_detected)
{
  cr_assert_eq(CheckHistory({ Run("a", 1, 0, 30), Run("b", 2, 20, 40) }, {}).ownershipViolations,
               1U);
  cr_assert_eq(CheckHistory({ Run("b", 2, 0, 10), Run("a", 1, 20, 30) }, {}).ownershipViolations,
               1U);
}

Test(history, second_run_of_a_ticket_is_detected)
{
  auto report = CheckHistory({ Run("a", 1, 0, 1, "r", "t"), Run("b", 2, 2, 3, "r", "t") }, {});
  cr_assert_eq(report.duplicateRuns, 1U);
}

Test(history, false_outcomes_are_detected)
{
  cr_assert_eq(CheckHistory({ Run("a", 1, 0, 1) }, { Outcome("r", "not-run", 0, 1) }).falseNotRun,
               1U);
  cr_assert_eq(CheckHistory({}, { Outcome("r", "served", 0, 1) }).servedWithoutRun, 1U);
}

Test(history, unserved_time_lasts_from_the_first_failure_to_the_next_response)
{
  auto times =
    LongestUnservedMs({ Outcome("1", "served", 0, 10), Outcome("2", "not-run", 1000, 1010),
                        Outcome("3", "served", 1500, 3200), Outcome("4", "served", 3300, 3310) });
  cr_assert_eq(times["routes/k"], 2200);
}
