#include "request/booking_simulation.h"

#include "version/table_rows.h"

namespace bamboograde::tests {

namespace {

constexpr char kSecret[] = "0123456789abcdef";
const common::key_hash kKey(42);

} // namespace

booking_simulation::booking_simulation(uint64_t aSeed, request::gate_guards aGuards)
  : mRandom(aSeed)
  , mSlice{ { common::key_hash(0), common::key_hash(UINT64_MAX) }, common::slice_epoch(1) }
{
  request::gate_settings settings;
  settings.guards = aGuards;
  for (size_t i = 0; i < 2; ++i) {
    mGates.push_back(
      std::make_unique<request::gate>(settings, common::service_name("routes"), kSecret));
    mGates[i]->SetTable(MakeTable({ MakeRow("others") }));
    mGates[i]->OpenUpstream(4, mNow, mNow);
    mGates[i]->SetLease(mNow + std::chrono::hours(1));
  }
  Owner().SetOwnership(common::session_id("s0"), { mSlice }, mNow);
}

booking_result booking_simulation::Run(size_t aSteps)
{
  for (size_t i = 0; i < aSteps; ++i) {
    mNow += common::milliseconds(int64_t(mRandom.Below(20)));
    Step();
    TakeEvents();
  }
  for (const booking& item : mBookings) {
    mResult.runs += item.runs;
    mResult.ranTwice += item.runs > 1 ? 1 : 0;
  }
  mResult.bookings = mBookings.size();
  return mResult;
}

void booking_simulation::Step()
{
  uint64_t choice = mRandom.Below(100);
  if (choice < 30) {
    StartBooking();
  } else if (choice < 60) {
    RetryRecent();
  } else if (choice < 92) {
    FinishOne();
  } else if (choice < 98) {
    HandOffSlice();
  } else {
    LoseOwner();
  }
}

void booking_simulation::StartBooking()
{
  booking created;
  Owner().IssueTicket(kKey, mNow, mRandom.Below(UINT64_MAX), &created.ticket);
  if (!created.ticket.empty()) {
    mBookings.push_back(created);
    Send(mBookings.size() - 1);
  }
}

void booking_simulation::RetryRecent()
{
  if (mBookings.empty()) {
    return;
  }
  // Only the last few bookings are retried, including completed ones whose response was lost.
  size_t back = std::min(mBookings.size(), size_t(1 + mRandom.Below(6)));
  Send(mBookings.size() - back);
}

void booking_simulation::Send(size_t aBooking)
{
  request::gate_request_ptr created(new request::gate_request());
  created->token = request::request_token(mNextToken++);
  created->key = "key";
  created->hash = kKey;
  created->deadline = mNow + std::chrono::hours(1);
  created->nonIdempotent = true;
  created->ticket = mBookings[aBooking].ticket;
  created->fingerprint = created->token.Value();
  mAttempts[created->token] = { aBooking, mOwner, false, false };
  Owner().Submit(created, mNow);
}

void booking_simulation::FinishOne()
{
  for (auto& [token, item] : mAttempts) {
    if (!item.dispatched || Chance(50)) {
      continue;
    }
    item.dispatched = false;
    request::dispatch_result result = request::dispatch_result::kAnswered;
    if (Chance(15)) {
      result = request::dispatch_result::kShed;
    } else if (Chance(20)) {
      result = request::dispatch_result::kBroken;
    }
    // A request whose connection broke may have run or not.
    item.ran = result == request::dispatch_result::kAnswered ||
               (result == request::dispatch_result::kBroken && Chance(60));
    mBookings[item.booking].runs += item.ran ? 1 : 0;
    mGates[item.owner]->Finish(token, result, { 200, {}, "done" }, mNow);
    return;
  }
}

void booking_simulation::HandOffSlice()
{
  request::gate& from = Owner();
  from.BeginMove(mSlice.range);
  TakeEvents();
  if (from.InFlight(mSlice.range) > 0) {
    from.EndMove(mSlice.range, false, mNow);
    return;
  }
  request::gate& to = *mGates[1 - mOwner];
  to.Ledger().Import(from.Ledger().Export(mSlice.range, mNow), mNow);
  mSlice.epoch = mSlice.epoch.Next();
  from.EndMove(mSlice.range, true, mNow);
  mOwner = 1 - mOwner;
  to.SetOwnership(common::session_id("s" + std::to_string(mSlice.epoch.Value())), { mSlice }, mNow);
}

void booking_simulation::LoseOwner()
{
  // The old owner loses all its records; requests that it dispatched may still run.
  for (auto& [token, item] : mAttempts) {
    if (item.owner == mOwner && item.dispatched) {
      item.dispatched = false;
      mBookings[item.booking].runs += Chance(60) ? 1 : 0;
    }
  }
  request::gate_settings settings;
  mGates[mOwner] =
    std::make_unique<request::gate>(settings, common::service_name("routes"), kSecret);
  mGates[mOwner]->SetTable(MakeTable({ MakeRow("others") }));
  mGates[mOwner]->OpenUpstream(4, mNow, mNow);
  mGates[mOwner]->SetLease(mNow + std::chrono::hours(1));
  mOwner = 1 - mOwner;
  mSlice.epoch = mSlice.epoch.Next();
  Owner().SetOwnership(common::session_id("s" + std::to_string(mSlice.epoch.Value())), { mSlice },
                       mNow);
}

void booking_simulation::TakeEvents()
{
  for (auto& gate : mGates) {
    for (const request::gate_event& event : gate->TakeEvents()) {
      OnEvent(event);
      if (std::holds_alternative<request::probe_event>(event)) {
        gate->OnProbe(true, true, mNow);
      }
    }
  }
}

void booking_simulation::OnEvent(const request::gate_event& aEvent)
{
  if (const auto* dispatch = std::get_if<request::dispatch_event>(&aEvent)) {
    attempt& started = mAttempts[dispatch->token];
    started.dispatched = true;
    mResult.overlaps += size_t(std::count_if(mAttempts.begin(), mAttempts.end(), [&](auto& aItem) {
      return aItem.second.dispatched && aItem.second.owner != started.owner;
    }));
  } else if (std::holds_alternative<request::replay_event>(aEvent)) {
    ++mResult.replays;
  } else if (const auto* refuse = std::get_if<request::refuse_event>(&aEvent)) {
    auto outcome = request::OutcomeOf(refuse->why.reason);
    bool ran = mAttempts[refuse->token].ran;
    mResult.falseNotRun += outcome == request::run_outcome::kNotRun && ran ? 1 : 0;
    mResult.undecided += outcome == request::run_outcome::kUnknown ? 1 : 0;
  }
}

} // namespace bamboograde::tests
