// Guards against daemons that all choose the same upstream or keep choosing a failed one, retries
// beyond the shared budget, and refusal of requests that have been cleared of a crash.

#include "request/placement.h"
#include "request/shared_retry_budget.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using request::distance;
using request::placement_candidate;

namespace {

const common::boot_time kNow{ common::seconds(1000) };

std::vector<placement_candidate> Candidates(size_t aCount)
{
  std::vector<placement_candidate> candidates;
  for (size_t i = 0; i < aCount; ++i) {
    candidates.push_back({ "vm" + std::to_string(i), distance::kOtherZone, 10 });
  }
  return candidates;
}

std::vector<unsigned> CountChoices(request::placement& aPlacement,
                                   const std::vector<placement_candidate>& aCandidates,
                                   unsigned aRounds)
{
  std::vector<unsigned> counts(aCandidates.size());
  for (unsigned i = 0; i < aRounds; ++i) {
    ++counts[aPlacement.Choose(aCandidates, kNow)];
  }
  return counts;
}

} // namespace

Test(placement, prefers_the_same_zone_until_it_is_busy)
{
  common::seeded_random random(1);
  request::placement placement(random);
  auto candidates = Candidates(4);
  candidates[2].networkDistance = distance::kSameZone;
  cr_assert_eq(CountChoices(placement, candidates, 100)[2], 100U);
  placement.OnReport("vm2", { 10, 20, 10, milliseconds(50) }, kNow);
  cr_assert_eq(CountChoices(placement, candidates, 100)[2], 0U);
}

Test(placement, avoids_a_failed_upstream_until_its_backoff_ends)
{
  common::seeded_random random(2);
  request::placement placement(random);
  auto candidates = Candidates(2);
  placement.OnFailure("vm0", kNow);
  cr_assert_eq(CountChoices(placement, candidates, 50)[0], 0U);
  cr_assert(placement.IsAvoided("vm0", kNow));
  cr_assert_not(placement.IsAvoided("vm0", kNow + common::seconds(1)));
  placement.OnSuccess("vm0");
  cr_assert_not(placement.IsAvoided("vm0", kNow));
}

Test(placement, chooses_an_avoided_upstream_when_there_is_no_other)
{
  common::seeded_random random(3);
  request::placement placement(random);
  auto candidates = Candidates(1);
  placement.OnFailure("vm0", kNow);
  cr_assert_eq(placement.Choose(candidates, kNow), 0U);
}

// Daemons with the same load reports must not all choose the same upstream.
Test(placement, spreads_over_equal_upstreams)
{
  common::seeded_random random(4);
  request::placement placement(random);
  for (unsigned count : CountChoices(placement, Candidates(5), 1000)) {
    cr_assert_gt(count, 50U);
  }
}

Test(placement, a_report_loses_weight_with_age)
{
  common::seeded_random random(5);
  request::placement placement(random);
  placement_candidate candidate{ "vm0", distance::kSameVm, 10 };
  placement.OnReport("vm0", { 10, 30, 10, milliseconds(50) }, kNow);
  auto fresh = placement.ExpectedLatency(candidate, kNow);
  auto old = placement.ExpectedLatency(candidate, kNow + common::seconds(3));
  cr_assert_gt(fresh.count(), 2 * old.count());
}

Test(shared_budget, all_daemons_together_stay_within_the_budget)
{
  constexpr size_t kDaemons = 12;
  request::shared_retry_budget_settings terms{ 0.2, 60, milliseconds(10000) };
  std::vector<request::shared_retry_budget> budgets(kDaemons, request::shared_retry_budget(terms));
  size_t requests = 0;
  size_t retries = 0;
  // All requests arrive at two daemons, and each daemon tries to retry each request.
  for (int i = 0; i < 5000; ++i) {
    common::boot_time now = kNow + milliseconds(i * 2);
    budgets[size_t(i) % 2].OnRequest(now);
    ++requests;
    for (request::shared_retry_budget& budget : budgets) {
      retries += budget.TryTake(kDaemons, now) ? 1 : 0;
    }
  }
  cr_assert_leq(double(retries), terms.ratio * double(requests) + terms.slack);
  cr_assert_gt(retries, 0U);
}

Test(shared_budget, is_restored_after_its_window)
{
  request::shared_retry_budget budget({ 0.2, 10, milliseconds(10000) });
  while (budget.TryTake(1, kNow)) {
  }
  cr_assert_not(budget.TryTake(1, kNow + milliseconds(5000)));
  cr_assert(budget.TryTake(1, kNow + milliseconds(10500)));
}
