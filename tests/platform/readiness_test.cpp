// End-to-end tests of what makes an upstream ready at a daemon process that has just started.

#include "fleet_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using tests::fleet_fixture;
using tests::upstream_standin;

namespace {

constexpr milliseconds kStartTimeout{ 6000 };
constexpr milliseconds kPeriod{ 300 };
// The longest delay of an announcement.
constexpr milliseconds kMaxDelay{ 10000 };

enum class health
{
  kAnswered,
  // Rejected as by a full upstream, until it is answered.
  kRejected,
  kSlow,
  kSilent,
  // No health path is configured.
  kNone,
};

struct health_case
{
  const char* name;
  health answer;
  // Time limit for a running upstream to be used again.
  milliseconds limit;
};

constexpr milliseconds kSlowAnswer{ 1500 };
constexpr milliseconds kRejectedTime{ 1000 };
constexpr milliseconds kSoon{ 700 };
const health_case kCases[] = {
  { "answered", health::kAnswered, kSoon },
  { "rejected", health::kRejected, kRejectedTime + kSoon },
  { "slow", health::kSlow, kSlowAnswer + kSoon },
  { "silent", health::kSilent, kMaxDelay + kSoon },
  { "none", health::kNone, kMaxDelay + kSoon },
};

struct plain_fleet : public fleet_fixture
{
  plain_fleet()
    : fleet_fixture({ "keyed", "plain" }, kPeriod)
  {
    RunUntil([this] { return Served(); }, kStartTimeout, "a response");
  }
  bool Served() { return SendRequest(0, "GET", "/plain/x").status == 200; }
  upstream_standin& Upstream() { return *vms[1]->upstream; }
  void RestartDaemon(health aHealth)
  {
    if (aHealth == health::kNone) {
      Configure(2, "", "");
    }
    Upstream().SetHealthRejected(aHealth == health::kRejected);
    Upstream().SetHealthAnswered(aHealth != health::kSilent);
    Upstream().SetHealthDelay(aHealth == health::kSlow ? kSlowAnswer : milliseconds(0));
    vms[1]->KillDaemon();
    vms[1]->StartDaemon();
    RunFor(kPeriod);
  }
};

} // namespace

// The second of two announcements made an upstream ready that was leaving, although they had been
// sent before and its health path said that it was not ready.
Test(readiness, an_upstream_that_left_is_not_used_after_any_number_of_late_announcements)
{
  constexpr milliseconds kLateness{ 7000 };
  for (const health_case& item : kCases) {
    plain_fleet fleet;
    fleet.Upstream().Deregister();
    fleet.RunUntil([&fleet] { return fleet.Upstream().Deregistered(); }, milliseconds(1000),
                   "the acknowledgement");
    fleet.RestartDaemon(item.answer);
    size_t before = fleet.record.runs.size();
    common::boot_time end = fleet.loop.Now() + kLateness;
    // Every third one was overtaken by two others.
    for (uint64_t number = 0; fleet.loop.Now() < end; ++number) {
      fleet.Upstream().DeliverLateAnnouncement(1000 + number + (number % 3 == 0 ? 3 : 0));
      fleet.RunFor(kPeriod);
      cr_assert_eq(fleet.SendRequest(number % 2, "POST", "/book/x", "", "b").status, 503,
                   "%s, announcement %lu", item.name, (unsigned long)number);
    }
    cr_expect_eq(fleet.record.runs.size(), before, "%s", item.name);
  }
}

Test(readiness, a_running_upstream_is_used_again_after_a_restart_of_its_daemon)
{
  for (const health_case& item : kCases) {
    plain_fleet fleet;
    fleet.RestartDaemon(item.answer);
    common::boot_time start = fleet.loop.Now();
    while (!fleet.Served()) {
      cr_assert_lt(fleet.loop.Now(), start + item.limit, "%s", item.name);
      if (fleet.loop.Now() > start + kRejectedTime) {
        fleet.Upstream().SetHealthRejected(false);
      }
      fleet.RunFor(milliseconds(10));
    }
    auto taken = std::chrono::duration_cast<milliseconds>(fleet.loop.Now() - start);
    cr_log_info("%s: %ld ms", item.name, long(taken.count()));
  }
}

// A health path that is wrong for good, on a running upstream.
Test(readiness, an_upstream_that_says_that_it_is_not_ready_is_not_left_out_for_good)
{
  plain_fleet fleet;
  fleet.RestartDaemon(health::kRejected);
  fleet.RunUntil([&fleet] { return fleet.Served(); }, kMaxDelay + kSoon, "a response");
}
