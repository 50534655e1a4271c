// Guards against a request that runs although its ticket has been used, is forged or has expired,
// also after the owner has changed.

#include "request/ledger.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using request::ledger;
using request::refusal_reason;

namespace {

constexpr char kSecret[] = "0123456789abcdef";
const version::owned_slice kSlice = { { common::key_hash(0), common::key_hash(1000) },
                                      common::slice_epoch(5) };
const common::key_hash kKey(7);

common::boot_time AtS(int64_t aSeconds)
{
  return common::FromMicros(aSeconds * 1000000);
}

connection::http_response MakeResponse(const std::string& aBody)
{
  return { 200, { { "Content-Type", "text/plain" } }, aBody };
}

ledger MakeLedger()
{
  ledger created({}, kSecret);
  created.Cover(kSlice, AtS(0));
  return created;
}

} // namespace

Test(ledger, retry_gets_the_recorded_response)
{
  ledger own = MakeLedger();
  std::string ticket = own.Issue(kSlice, kKey, AtS(1), 1);
  cr_assert(own.Check(ticket, kKey, AtS(2)).refuse == refusal_reason::kNone);
  own.Start(ticket, kKey, AtS(2));
  cr_assert(own.Check(ticket, kKey, AtS(3)).refuse == refusal_reason::kDuplicateRunning);
  own.FinishRan(ticket, MakeResponse("done"));
  auto decision = own.Check(ticket, kKey, AtS(4));
  cr_assert_not_null(decision.replay);
  cr_assert_eq(decision.replay->body, "done");
}

Test(ledger, ticket_with_unknown_outcome_stays_undecided)
{
  ledger own = MakeLedger();
  std::string ticket = own.Issue(kSlice, kKey, AtS(1), 1);
  own.Start(ticket, kKey, AtS(2));
  own.FinishUnknown(ticket);
  cr_assert(own.Check(ticket, kKey, AtS(3)).refuse == refusal_reason::kTicketUndecided);
}

Test(ledger, forged_tickets_and_tickets_of_other_keys_are_refused)
{
  ledger own = MakeLedger();
  std::string ticket = own.Issue(kSlice, kKey, AtS(1), 1);
  std::string forged = ticket;
  forged[forged.find('.') + 3] ^= 1;
  cr_assert(own.Check(forged, kKey, AtS(2)).refuse == refusal_reason::kTicketInvalid);
  cr_assert(own.Check(ticket, common::key_hash(8), AtS(2)).refuse ==
            refusal_reason::kTicketInvalid);
  cr_assert(own.Check("anything", kKey, AtS(2)).refuse == refusal_reason::kTicketInvalid);
}

Test(ledger, expired_ticket_stays_expired_after_its_record_is_removed)
{
  ledger own = MakeLedger();
  std::string ticket = own.Issue(kSlice, kKey, AtS(1), 1);
  own.Start(ticket, kKey, AtS(2));
  own.FinishRan(ticket, MakeResponse("done"));
  for (int64_t now : { 601, 602, 700, 100000 }) {
    own.Expire(AtS(now));
    cr_assert(own.Check(ticket, kKey, AtS(now)).refuse == refusal_reason::kTicketExpired);
  }
  cr_assert_eq(own.Size(), 0U);
}

Test(ledger, exported_records_keep_their_age_on_another_clock)
{
  ledger from = MakeLedger();
  std::string ran = from.Issue(kSlice, kKey, AtS(1), 1);
  std::string fresh = from.Issue(kSlice, kKey, AtS(1), 2);
  from.Start(ran, kKey, AtS(2));
  from.FinishRan(ran, MakeResponse("done"));
  // The clock of the new owner differs by 5000 s.
  ledger to({}, kSecret);
  to.Import(from.Export(kSlice.range, AtS(10)), AtS(5010));
  version::owned_slice moved = kSlice;
  moved.epoch = moved.epoch.Next();
  to.Cover(moved, AtS(5010));
  cr_assert_eq(to.Check(ran, kKey, AtS(5011)).replay->body, "done");
  cr_assert(to.Check(fresh, kKey, AtS(5011)).refuse == refusal_reason::kNone);
  cr_assert(to.Check(fresh, kKey, AtS(5602)).refuse == refusal_reason::kTicketExpired);
}

Test(ledger, tickets_are_undecided_at_a_new_owner_without_the_records)
{
  ledger from = MakeLedger();
  std::string ticket = from.Issue(kSlice, kKey, AtS(1), 1);
  ledger successor({}, kSecret);
  version::owned_slice taken = kSlice;
  taken.epoch = taken.epoch.Next();
  successor.Cover(taken, AtS(3));
  cr_assert(successor.Check(ticket, kKey, AtS(4)).refuse == refusal_reason::kTicketUndecided);
}
