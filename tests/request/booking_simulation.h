// Simulation of non-idempotent requests (bookings) under a seeded schedule. Two owners take turns
// with one slice, by hand-offs and by losses of the owner. Upstreams shed requests or break
// connections, responses to callers are lost, and callers retry.
#pragma once

#include "common/random.h"
#include "request/gate.h"

#include <algorithm>
#include <memory>

namespace bamboograde::tests {

struct booking_result
{
  uint64_t bookings = 0;
  uint64_t runs = 0;
  uint64_t replays = 0;
  // Attempts refused because it is unknown whether the booking ran.
  uint64_t undecided = 0;
  // Bookings that ran more than once.
  uint64_t ranTwice = 0;
  // Attempts that ran but were reported as not run.
  uint64_t falseNotRun = 0;
  // Requests that still ran at the upstream of one owner when the other owner dispatched a request,
  // summed over all dispatches.
  uint64_t overlaps = 0;
};

class booking_simulation
{
public:
  booking_simulation(uint64_t aSeed, request::gate_guards aGuards);
  booking_result Run(size_t aSteps);

private:
  struct booking
  {
    std::string ticket;
    unsigned runs = 0;
    bool decided = false;
  };
  struct attempt
  {
    size_t booking;
    size_t owner;
    bool ran = false;
    bool dispatched = false;
  };

  void Step();
  void StartBooking();
  void RetryRecent();
  void Send(size_t aBooking);
  void FinishOne();
  void HandOffSlice();
  void LoseOwner();
  void TakeEvents();
  void OnEvent(const request::gate_event& aEvent);
  bool Chance(unsigned aPercent) { return mRandom.Below(100) < aPercent; }
  request::gate& Owner() { return *mGates[mOwner]; }

  common::seeded_random mRandom;
  common::boot_time mNow = common::FromMicros(1000000000);
  std::vector<std::unique_ptr<request::gate>> mGates;
  size_t mOwner = 0;
  version::owned_slice mSlice;
  std::vector<booking> mBookings;
  std::map<request::request_token, attempt> mAttempts;
  uint64_t mNextToken = 1;
  booking_result mResult;
};

} // namespace bamboograde::tests
