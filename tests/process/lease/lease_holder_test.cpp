// Tests of the decisions of the lease protocol, one at a time. They guard against a holder that
// relies on its lease for longer than a majority of its witnesses does, and against takeovers
// without the promises of a majority of the witnesses in the session's row.

#include "process/lease/lease_holder.h"
#include "process/lease/lease_witness.h"
#include "process/lease/takeover.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using namespace bamboograde::process::lease;

namespace {

version::witness_ref Ref(const char* aName)
{
  return { common::endpoint(aName), common::boot_id("boot") };
}

common::boot_time AtMs(int64_t aMs)
{
  return common::FromMicros(aMs * 1000);
}

} // namespace

Test(lease_holder, lease_ends_with_the_majority)
{
  lease_holder holder(lease_terms{});
  holder.SetWitnesses({ Ref("a"), Ref("b"), Ref("c") });
  holder.OnRenewed(Ref("a"), AtMs(1000));
  cr_assert(holder.LeaseEnd() == common::boot_time());
  holder.OnRenewed(Ref("b"), AtMs(1200));
  cr_assert(holder.LeaseEnd() == AtMs(1000 + 1980));
  holder.OnRenewed(Ref("c"), AtMs(1500));
  cr_assert(holder.LeaseEnd() == AtMs(1200 + 1980));
}

Test(lease_holder, change_needs_both_sets_until_its_outcome_is_known)
{
  lease_holder holder(lease_terms{});
  holder.SetWitnesses({ Ref("a"), Ref("b"), Ref("c") });
  holder.OnRenewed(Ref("a"), AtMs(1000));
  holder.OnRenewed(Ref("b"), AtMs(1000));
  holder.BeginChange({ Ref("c"), Ref("d"), Ref("e") });
  cr_assert(holder.LeaseEnd() == common::boot_time());
  holder.OnRenewed(Ref("d"), AtMs(1100));
  holder.OnRenewed(Ref("e"), AtMs(1100));
  cr_assert(holder.LeaseEnd() == AtMs(1000 + 1980));
  holder.EndChange(true);
  cr_assert(holder.LeaseEnd() == AtMs(1100 + 1980));
}

Test(lease_witness, stale_table_is_not_renewed)
{
  lease_witness witness(lease_terms{}, common::boot_id("boot"), AtMs(0));
  auto renew = [&](uint64_t aHolderTable) {
    return witness.OnRenew(common::session_id("s"), common::boot_id("boot"),
                           common::table_version(aHolderTable), common::table_version(7), AtMs(10));
  };
  cr_assert(renew(6) == renewal_answer::kStaleTable);
  cr_assert(renew(7) == renewal_answer::kRenewed);
}

Test(lease_witness, released_session_is_not_reported_as_expired)
{
  lease_witness witness(lease_terms{}, common::boot_id("boot"), AtMs(0));
  common::session_id session("s");
  witness.OnRenew(session, common::boot_id("boot"), {}, {}, AtMs(0));
  cr_assert(witness.ExpiredSessions(AtMs(2000)).empty());
  cr_assert_eq(witness.ExpiredSessions(AtMs(2021)).size(), 1U);
  witness.IgnoreUntilRenewed(session);
  cr_assert(witness.ExpiredSessions(AtMs(2021)).empty());
}

Test(takeover, needs_a_majority_of_the_rows_own_witnesses)
{
  boost::intrusive_ptr<version::session_row> row(new version::session_row());
  row->witnesses = { Ref("a"), Ref("b"), Ref("c") };
  takeover attempt(row, common::row_version(1));
  attempt.OnPromise(Ref("a"));
  attempt.OnPromise(Ref("a"));
  attempt.OnPromise(Ref("stranger"));
  cr_assert_not(attempt.Ready());
  attempt.OnPromise(Ref("c"));
  cr_assert(attempt.Ready());
}

Test(takeover, released_session_needs_no_promise)
{
  boost::intrusive_ptr<version::session_row> row(new version::session_row());
  cr_assert(takeover(row, common::row_version(1)).Ready());
}

Test(takeover, slices_are_divided_evenly_at_the_next_epoch)
{
  auto slices = version::DivideHashSpace(10);
  auto parts = DivideSlices(slices, { 0, 4, 0 });
  // The successors end with 5, 4 + 1 and 4 slices.
  cr_assert_eq(parts[0].size(), 5U);
  cr_assert_eq(parts[1].size(), 1U);
  cr_assert_eq(parts[2].size(), 4U);
  cr_assert_eq(parts[0][0].epoch.Value(), 2U);
}

// Guards against two owners after a witness restart: the change that replaced the witness was
// committed while a grant still relied on the witness's last renewal, and the new set gave the keys
// away before the grant had ended. Found by a randomized search for failures.
Test(lease_holder, a_change_waits_until_the_new_set_has_renewed_beyond_the_grants)
{
  lease_holder holder(lease_terms{});
  holder.SetWitnesses({ Ref("a"), Ref("b"), Ref("c") });
  holder.OnRenewed(Ref("a"), AtMs(5000));
  holder.OnRenewed(Ref("b"), AtMs(5000));
  common::boot_time grantedUntil = holder.LeaseEnd();
  cr_assert(grantedUntil == AtMs(5000 + 1980));
  // "a" has restarted; "c" has not renewed for a long time.
  holder.BeginChange({ Ref("b"), Ref("c"), Ref("d") });
  cr_assert_not(holder.MayCommitChange(grantedUntil));
  holder.OnRenewed(Ref("d"), AtMs(4990));
  cr_assert_not(holder.MayCommitChange(grantedUntil));
  holder.OnRenewed(Ref("d"), AtMs(5400));
  cr_assert(holder.MayCommitChange(grantedUntil));
}
