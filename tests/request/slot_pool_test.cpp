// Guards against overload of an upstream that is cold or sheds load, and against a capacity that
// falls to 0 or never recovers.

#include "request/slot_pool.h"

#include <criterion/criterion.h>

using namespace bamboograde;

namespace {

common::boot_time AtMs(int64_t aMs)
{
  return common::FromMicros(aMs * 1000);
}

} // namespace

Test(slot_pool, capacity_ramps_up_during_a_cold_start)
{
  request::slot_pool pool;
  pool.Open(16, AtMs(0), AtMs(1000));
  cr_assert_eq(pool.Capacity(AtMs(0)), 4U);
  cr_assert_eq(pool.Capacity(AtMs(500)), 10U);
  cr_assert_eq(pool.Capacity(AtMs(1000)), 16U);
}

Test(slot_pool, shedding_lowers_the_capacity_and_completions_restore_it)
{
  request::slot_pool pool;
  pool.Open(16, AtMs(0), AtMs(0));
  pool.OnShed(AtMs(10));
  pool.OnShed(AtMs(20));
  cr_assert_eq(pool.Capacity(AtMs(20)), 11U);
  pool.OnShed(AtMs(200));
  cr_assert_eq(pool.Capacity(AtMs(200)), 7U);
  for (int i = 0; i < 200; ++i) {
    pool.OnCompleted();
  }
  cr_assert_eq(pool.Capacity(AtMs(300)), 16U);
}

Test(slot_pool, constant_shedding_leaves_one_slot)
{
  request::slot_pool pool;
  pool.Open(16, AtMs(0), AtMs(0));
  for (int64_t ms = 0; ms < 10000; ms += 100) {
    pool.OnShed(AtMs(ms));
  }
  cr_assert_eq(pool.Capacity(AtMs(10000)), 1U);
}
