// Open-loop traffic on a fleet, and what its answers promise.
#pragma once

#include "common/random.h"
#include "platform/fleet_fixture.h"

#include <deque>

namespace bamboograde::tests {

enum class request_kind
{
  // Idempotent, divided by key.
  kKeyed,
  // Idempotent, any upstream.
  kPlain,
  // Runs once at most.
  kBooking,
};

class soak_traffic
{
public:
  soak_traffic(fleet_fixture& aFleet, common::random_source& aRandom);
  ~soak_traffic();
  // Sends one request of a random kind to the daemon of this VM.
  void Send(size_t aVm);
  // Broken promises so far, one line each.
  const std::vector<std::string>& Violations() const { return mViolations; }
  // Compares all answers with what the upstreams have run; call when nothing is in flight.
  void CheckRuns();
  size_t Served() const { return mServed; }
  size_t Sent() const { return mSent; }
  bool Idle() const;

private:
  class open_request;

  void OnDone(const open_request& aRequest);

  fleet_fixture& mFleet;
  common::random_source& mRandom;
  connection::http::client_pool mClients;
  std::deque<std::unique_ptr<open_request>> mOpen;
  std::vector<std::string> mViolations;
  // Requests that were answered as not run, and bookings.
  std::vector<std::string> mNotRun;
  std::vector<std::string> mBookings;
  size_t mSent = 0;
  size_t mServed = 0;
};

} // namespace bamboograde::tests
