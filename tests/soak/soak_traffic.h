// Open-loop traffic to a fleet, and checks of the responses against the requests that ran.
#pragma once

#include "common/random.h"
#include "platform/fleet_fixture.h"

#include <deque>

namespace bamboograde::tests {

enum class request_kind
{
  // Idempotent, routed by key.
  kKeyed,
  // Idempotent, served by any upstream.
  kPlain,
  // Not idempotent, runs at most once.
  kBooking,
};

class soak_traffic
{
public:
  soak_traffic(fleet_fixture& aFleet, common::random_source& aRandom);
  ~soak_traffic();
  // Sends one request of a random kind to the daemon of this VM.
  void Send(size_t aVm);
  // Violations so far, one per line.
  const std::vector<std::string>& Violations() const { return mViolations; }
  // Compares all responses with the runs on the upstreams. Requires that no request is in flight.
  void CheckRuns();
  size_t Served() const { return mServed; }
  size_t Sent() const { return mSent; }
  bool Idle() const;

private:
  class soak_request;

  void OnDone(const soak_request& aRequest);

  fleet_fixture& mFleet;
  common::random_source& mRandom;
  connection::http::client_pool mClients;
  std::deque<std::unique_ptr<soak_request>> mPending;
  std::vector<std::string> mViolations;
  // Ids of requests with a not-run response, and of bookings.
  std::vector<std::string> mNotRunIds;
  std::vector<std::string> mBookingIds;
  size_t mSent = 0;
  size_t mServed = 0;
};

} // namespace bamboograde::tests
