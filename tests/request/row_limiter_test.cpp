// Guards against requests that pass without a valid share of their row's limit.

#include "request/row_limiter.h"

#include "version/table_rows.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

common::boot_time AtMs(int64_t aMs)
{
  return common::FromMicros(aMs * 1000);
}

} // namespace

Test(row_limiter, requests_are_refused_without_a_share_and_after_its_end)
{
  auto table = tests::MakeTable({ tests::MakeRow("limited", "*", 1, 100) });
  request::row_limiter limiter;
  limiter.SetTable(*table, common::service_name("routes"));
  common::row_id row("limited");
  cr_assert_not(limiter.TryTake(row, AtMs(1000)));
  limiter.SetShare(row, 100, AtMs(2000));
  int passed = 0;
  for (int64_t ms = 1000; ms < 3000; ++ms) {
    passed += limiter.TryTake(row, AtMs(ms)) ? 1 : 0;
  }
  // The share of one second, plus at most one burst.
  cr_assert(passed >= 95 && passed <= 110, "%d passed", passed);
}

Test(row_limiter, rows_without_limit_always_pass)
{
  auto table = tests::MakeTable({ tests::MakeRow("free") });
  request::row_limiter limiter;
  limiter.SetTable(*table, common::service_name("routes"));
  cr_assert(limiter.TryTake(common::row_id("free"), AtMs(0)));
}
