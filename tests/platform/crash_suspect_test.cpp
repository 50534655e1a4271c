// End-to-end tests with upstreams that crash while requests run on them.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using tests::fleet_fixture;

namespace {

constexpr milliseconds kStartTimeout{ 6000 };
constexpr milliseconds kDownTime{ 500 };
constexpr milliseconds kContactTime{ 3000 };
constexpr size_t kMaxLateCrashes = 3;
// Time for a change of a member to reach the other daemons.
constexpr milliseconds kBroadcastTime{ 200 };
constexpr char kPopular[] = "/plain/today";
constexpr char kCrashing[] = "/plain/crash";

struct crash_fleet : public fleet_fixture
{
  crash_fleet()
    : fleet_fixture({ "plain", "plain", "plain" })
  {
    RunUntil(
      [this] {
        bool all = true;
        for (size_t vm = 0; vm < vms.size(); ++vm) {
          all = SendRequest(vm, "GET", "/plain/start").status == 200 && all;
        }
        return all;
      },
      kStartTimeout, "all upstreams ready");
    RunFor(kBroadcastTime);
  }
  // Sends aCount equal requests to each VM, and crashes the upstreams of the first aCrashing VMs
  // while they run.
  void CrashUnderEqualRequests(size_t aCrashing, size_t aCount)
  {
    std::vector<std::unique_ptr<tests::pending_request>> pending;
    for (const auto& vm : vms) {
      vm->upstream->SetWork(milliseconds(200));
    }
    for (size_t vm = 0; vm < vms.size(); ++vm) {
      for (size_t i = 0; i < aCount; ++i) {
        pending.push_back(StartRequest(vm, "GET", kPopular));
      }
    }
    RunFor(milliseconds(100));
    for (size_t vm = 0; vm < aCrashing; ++vm) {
      vms[vm]->upstream->Crash();
    }
    RunFor(kDownTime);
    for (size_t vm = 0; vm < aCrashing; ++vm) {
      cr_assert(vms[vm]->upstream->Start().has_value());
    }
    for (const auto& vm : vms) {
      vm->upstream->SetWork(milliseconds(20));
    }
    for (const auto& request : pending) {
      RunUntil([&request] { return request->done; }, 2 * kRequestTimeout, "a response");
    }
  }
};

// Counts the crashes of a fleet whose upstreams crash when they run the crashing request.
class crash_counter
{
public:
  explicit crash_counter(crash_fleet& aFleet)
    : mFleet(aFleet)
  {
    for (const auto& vm : aFleet.vms) {
      vm->upstream->CrashOn(kCrashing, kDownTime);
    }
  }
  size_t All() const
  {
    size_t count = 0;
    for (const auto& vm : mFleet.vms) {
      count += vm->upstream->Crashes();
    }
    return count;
  }
  // Must be called at least every few hundred milliseconds.
  void Update()
  {
    if (!mEarlyUntil.has_value() && All() >= 3) {
      mEarlyUntil = mFleet.loop.Now() + kContactTime;
    }
    if (!mEarlyUntil.has_value() || mFleet.loop.Now() < *mEarlyUntil) {
      mEarly = All();
    }
  }
  // Crashes later than the contact time after the third one.
  size_t Late() const { return All() - mEarly; }

private:
  crash_fleet& mFleet;
  std::optional<common::boot_time> mEarlyUntil;
  size_t mEarly = 0;
};

} // namespace

// Each of several equal requests in flight at one crash counted as a crash, and the fleet refused
// such requests for an hour.
Test(crash_suspect, equal_requests_in_flight_at_one_crash_are_served_afterwards)
{
  for (size_t count : { 2, 4 }) {
    crash_fleet fleet;
    fleet.CrashUnderEqualRequests(1, count);
    for (int round = 0; round < 10; ++round) {
      fleet.RunFor(milliseconds(100));
      for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        int status = fleet.SendRequest(vm, "GET", kPopular).status;
        cr_expect_eq(status, 200, "%zu in flight, vm %zu, round %d: %d", count, vm, round, status);
      }
    }
  }
}

// Equal requests were in flight when all upstreams crashed at once; their refusal ended after an
// hour.
Test(crash_suspect, a_wrong_refusal_ends_by_itself)
{
  // The time in which a fleet is to serve again after a fault.
  constexpr milliseconds kRecoveryTimeout{ 15000 };
  crash_fleet fleet;
  fleet.CrashUnderEqualRequests(fleet.vms.size(), 4);
  common::boot_time backAt = fleet.loop.Now();
  for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
    fleet.RunUntil([&] { return fleet.SendRequest(vm, "GET", kPopular).status == 200; },
                   kRecoveryTimeout, "a response");
  }
  auto taken = std::chrono::duration_cast<milliseconds>(fleet.loop.Now() - backAt);
  cr_log_info("served everywhere after %ld ms", long(taken.count()));
}

// A request that crashes upstreams, sent to every VM again and again beside popular ones, while a
// daemon restarts.
Test(crash_suspect, a_crashing_request_reaches_upstreams_in_three_late_retries_at_most)
{
  constexpr milliseconds kDuration{ 30000 };
  crash_fleet fleet;
  crash_counter crashes(fleet);
  common::boot_time start = fleet.loop.Now();
  size_t served = 0;
  size_t sent = 0;
  bool restarted = false;
  while (fleet.loop.Now() < start + kDuration) {
    for (size_t vm = 0; vm < fleet.vms.size(); ++vm) {
      auto crashing = fleet.StartRequest(vm, "GET", kCrashing);
      served += fleet.SendRequest(vm, "GET", kPopular).status == 200 ? 1 : 0;
      ++sent;
      fleet.RunUntil([&crashing] { return crashing->done; }, 2 * fleet_fixture::kRequestTimeout,
                     "a response");
      crashes.Update();
    }
    if (!restarted && fleet.loop.Now() > start + kDuration / 2) {
      restarted = true;
      fleet.vms[0]->KillDaemon();
      fleet.vms[0]->StartDaemon();
      fleet.RunFor(kContactTime);
    }
    fleet.RunFor(milliseconds(100));
  }
  cr_log_info("%zu crashes, %zu late; %zu of %zu other requests served", crashes.All(),
              crashes.Late(), served, sent);
  cr_assert_geq(crashes.All(), 2U);
  cr_assert_leq(crashes.Late(), kMaxLateCrashes, "%zu crashes, %zu late", crashes.All(),
                crashes.Late());
}

// The fingerprint of a large request held the part of its body that had arrived when it was placed,
// so that it differed from one retry to the next.
Test(crash_suspect, a_large_crashing_request_is_recognized_however_its_body_arrives)
{
  constexpr milliseconds kDuration{ 12000 };
  constexpr size_t kFirstPiece = 70000;
  constexpr size_t kStep = 1999;
  const std::string body(100000, 'b');
  crash_fleet fleet;
  crash_counter crashes(fleet);
  common::boot_time start = fleet.loop.Now();
  for (size_t number = 0; fleet.loop.Now() < start + kDuration; ++number) {
    size_t piece = kFirstPiece + number % 15 * kStep;
    auto crashing =
      fleet.StartRequest(number % fleet.vms.size(), "POST", kCrashing, "", body, piece);
    fleet.RunFor(milliseconds(30));
    if (!crashing->done) {
      crashing->call->SendBody(std::string_view(body).substr(piece));
      crashing->call->FinishBody();
    }
    fleet.RunUntil([&crashing] { return crashing->done; }, 2 * fleet_fixture::kRequestTimeout,
                   "a response");
    crashes.Update();
    fleet.RunFor(milliseconds(100));
  }
  cr_log_info("%zu crashes, %zu late", crashes.All(), crashes.Late());
  cr_assert_geq(crashes.All(), 2U);
  cr_assert_leq(crashes.Late(), kMaxLateCrashes, "%zu crashes, %zu late", crashes.All(),
                crashes.Late());
}
