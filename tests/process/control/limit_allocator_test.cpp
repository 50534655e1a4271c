// Guards against shares that together exceed the limit, and against an allocator that leaves the
// limit unused although a session has demand.

#include "process/control/limit_claims.h"

#include "common/random.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using namespace bamboograde::tests;

Test(limit_allocator, new_allocator_raises_nothing_before_it_knows_what_is_held)
{
  limit_allocator allocator;
  auto all = Sessions(3);
  cr_assert_eq(allocator.Grant(kRow, kLimit, Claim(0, 500), all, AtMs(0)), 0);
  limit_claim holding = Claim(2, 500);
  holding.heldPerSecond = 300;
  holding.heldFor = common::milliseconds(400);
  cr_assert_eq(allocator.Grant(kRow, kLimit, holding, all, AtMs(10)), 300);
  // With the last session's claim all held shares are known.
  double share = allocator.Grant(kRow, kLimit, Claim(1, 500), all, AtMs(20));
  cr_assert(share > 0 && share <= kLimit - 300);
}

Test(limit_allocator, silent_session_delays_the_new_allocator_by_a_term_at_most)
{
  limit_allocator allocator;
  auto all = Sessions(2);
  cr_assert_eq(allocator.Grant(kRow, kLimit, Claim(0, 500), all, AtMs(0)), 0);
  cr_assert_eq(allocator.Grant(kRow, kLimit, Claim(0, 500), all, AtMs(3999)), 0);
  cr_assert_gt(allocator.Grant(kRow, kLimit, Claim(0, 500), all, AtMs(4000)), 0);
}

Test(limit_allocator, whole_limit_goes_to_the_only_one_that_asks)
{
  limit_allocator allocator;
  double last = 0;
  for (int64_t ms = 0; ms <= 8000; ms += 200) {
    for (int session = 0; session < 12; ++session) {
      double share = allocator.Grant(kRow, kLimit, Claim(session, session == 3 ? 5000 : 0),
                                     Sessions(12), AtMs(ms));
      last = session == 3 ? share : last;
    }
  }
  cr_assert_geq(last, 0.95 * kLimit);
}

// Responses are lost: the claimant then continues to use its earlier share, which the allocator
// must still count.
Test(limit_allocator, shares_in_use_never_exceed_the_limit)
{
  struct in_use
  {
    double share = 0;
    common::boot_time until;
    uint64_t applied = 0;
  };
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    common::seeded_random random(seed);
    limit_allocator allocator;
    std::vector<in_use> used(6);
    for (int64_t ms = 0; ms < 20000; ms += 10) {
      size_t who = random.Below(used.size());
      double demand = double(random.Below(4)) * 400;
      auto sequence = uint64_t(ms + 1);
      double share = allocator.Grant(
        kRow, kLimit, Claim(int(who), demand, sequence, used[who].applied), Sessions(6), AtMs(ms));
      if (random.Below(10) < 7) {
        used[who] = { share, AtMs(ms) + kShareTerm, sequence };
      }
      double sum = 0;
      for (const in_use& item : used) {
        sum += item.until > AtMs(ms) ? item.share : 0;
      }
      cr_assert_leq(sum, kLimit + 1e-6, "seed %lu at %ld ms", (unsigned long)seed, (long)ms);
    }
  }
}
