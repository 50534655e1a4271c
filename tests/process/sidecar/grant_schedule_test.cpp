#include "process/sidecar/grant_schedule.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using process::sidecar::grant_call;
using process::sidecar::grant_call_result;
using process::sidecar::grant_schedule;

namespace {

constexpr milliseconds kHoldTime{ 2000 };
constexpr milliseconds kLease{ 2700 };
const common::boot_time kStart(std::chrono::seconds(100));

version::held_range Range(uint32_t aFirst, uint32_t aLast, uint64_t aToken)
{
  return { { aFirst, aLast }, version::fencing_token(aToken), "" };
}

// A schedule for an upstream that has announced itself, with a clock.
struct schedule_fixture
{
  schedule_fixture()
  {
    schedule.OnStarted({});
    schedule.OnAnnouncement(now);
  }
  std::vector<grant_call> Due(const std::vector<version::held_range>& aRanges)
  {
    return schedule.Due(aRanges, now + kLease, now);
  }
  // Answers all due calls at once.
  void DoAll(const std::vector<version::held_range>& aRanges)
  {
    for (const grant_call& call : Due(aRanges)) {
      schedule.OnResult(call.id, grant_call_result::kDone, "handover", now);
    }
  }
  size_t HeldRanges() const
  {
    common::boot_time until;
    return schedule.Held(now, &until).size();
  }

  common::boot_time now = kStart;
  grant_schedule schedule{ kHoldTime };
};

} // namespace

Test(grant_schedule, renews_each_range_before_its_grant_ends)
{
  schedule_fixture test;
  std::vector<version::held_range> ranges = { Range(0, 99, 1), Range(200, 299, 2) };
  cr_assert_eq(test.Due(ranges).size(), 2U);
  // Nothing else is sent while the calls are pending.
  cr_assert(test.Due(ranges).empty());
  schedule_fixture renewed;
  size_t calls = 0;
  for (int tick = 0; tick < 400; ++tick) {
    auto due = renewed.Due(ranges);
    calls += due.size();
    for (const grant_call& call : due) {
      renewed.schedule.OnResult(call.id, grant_call_result::kDone, "", renewed.now);
    }
    cr_assert_eq(renewed.HeldRanges(), 2U);
    renewed.now += milliseconds(25);
    renewed.schedule.OnAnnouncement(renewed.now);
  }
  // Ten seconds, two ranges, one renewal of each in half of the hold time.
  cr_assert_leq(calls, 22U);
}

Test(grant_schedule, releases_a_part_of_a_grant_and_goes_on_with_the_rest)
{
  schedule_fixture test;
  test.DoAll({ Range(0, 999, 3) });
  std::vector<version::held_range> kept = { Range(0, 399, 3), Range(500, 999, 3) };
  auto due = test.Due(kept);
  cr_assert_eq(due.size(), 1U);
  cr_assert(due[0].purpose == grant_call::kind::kRelease);
  cr_assert(due[0].range == Range(400, 499, 3));
  cr_assert_eq(test.HeldRanges(), 2U);
  cr_assert(test.schedule.MayHold(450, test.now));
  test.schedule.OnResult(due[0].id, grant_call_result::kDone, "warm", test.now);
  cr_assert(!test.schedule.MayHold(450, test.now));
  cr_assert(test.schedule.MayHold(399, test.now));
  auto report = test.schedule.TakeReport(test.now);
  cr_assert_eq(report.released.size(), 1U);
  cr_assert(report.released[0].handover == "warm");
}

// How the end of a call decides whether the keys count as held.
Test(grant_schedule, counts_keys_as_held_until_a_grant_without_response_must_have_ended)
{
  struct result_case
  {
    grant_call_result result;
    bool held;
  };
  for (const result_case& item : { result_case{ grant_call_result::kDone, true },
                                   result_case{ grant_call_result::kUnknown, true },
                                   result_case{ grant_call_result::kNotSent, false },
                                   result_case{ grant_call_result::kSuperseded, false } }) {
    schedule_fixture test;
    auto due = test.Due({ Range(0, 99, 1) });
    test.now += milliseconds(300);
    test.schedule.OnResult(due[0].id, item.result, "", test.now);
    cr_expect_eq(test.schedule.MayHold(50, test.now), item.held, "result %d", int(item.result));
    cr_expect_eq(test.schedule.MayHold(50, test.now + kHoldTime), item.held, "result %d",
                 int(item.result));
    cr_expect(!test.schedule.MayHold(50, test.now + kHoldTime + milliseconds(60)));
    cr_expect_eq(test.HeldRanges(), item.result == grant_call_result::kDone ? 1U : 0U);
  }
}

Test(grant_schedule, a_release_does_not_end_a_grant_that_may_be_applied_later)
{
  schedule_fixture test;
  auto due = test.Due({ Range(0, 99, 1) });
  test.schedule.OnResult(due[0].id, grant_call_result::kUnknown, "", test.now);
  auto release = test.Due({});
  cr_assert_eq(release.size(), 1U);
  test.schedule.OnResult(release[0].id, grant_call_result::kDone, "x", test.now);
  cr_assert(test.schedule.MayHold(50, test.now));
  // The release is not repeated.
  cr_assert(test.Due({}).empty());
  cr_assert(!test.schedule.MayHold(50, test.now + kHoldTime + milliseconds(60)));
}

Test(grant_schedule, a_release_waits_for_a_grant_on_its_way)
{
  schedule_fixture test;
  auto due = test.Due({ Range(0, 99, 1) });
  cr_assert(test.Due({}).empty());
  test.schedule.OnResult(due[0].id, grant_call_result::kDone, "", test.now);
  cr_assert_eq(test.Due({}).size(), 1U);
}

Test(grant_schedule, grants_end_before_the_lease)
{
  schedule_fixture test;
  common::boot_time leaseEnd = test.now + milliseconds(1000);
  auto due = test.schedule.Due({ Range(0, 99, 1) }, leaseEnd, test.now);
  cr_assert_eq(due.size(), 1U);
  cr_assert(due[0].deadline + due[0].holdTime + due[0].holdTime / 50 <= leaseEnd);
  test.schedule.OnResult(due[0].id, grant_call_result::kUnknown, "", due[0].deadline);
  cr_assert(!test.schedule.MayHold(50, leaseEnd));
  // Too little of the lease remains.
  schedule_fixture late;
  cr_assert(late.schedule.Due({ Range(0, 99, 1) }, late.now + milliseconds(350), late.now).empty());
}

Test(grant_schedule, grants_nothing_to_an_upstream_that_may_have_been_replaced)
{
  schedule_fixture test;
  test.schedule.OnDisconnected();
  cr_assert(test.Due({ Range(0, 99, 1) }).empty());
  test.schedule.OnAnnouncement(test.now);
  cr_assert_eq(test.Due({ Range(0, 99, 1) }).size(), 1U);
  schedule_fixture silent;
  silent.now += kHoldTime * 2;
  cr_assert(silent.Due({ Range(0, 99, 1) }).empty());
}

Test(grant_schedule, an_upstream_may_hold_grants_of_an_earlier_daemon_process)
{
  schedule_fixture test;
  test.schedule.OnStarted(test.now + kHoldTime);
  cr_assert(test.schedule.MayHold(50, test.now + kHoldTime - milliseconds(1)));
  cr_assert(test.Due({}).empty());
  cr_assert(test.schedule.GrantEnd(test.now) == test.now + kHoldTime);
}
