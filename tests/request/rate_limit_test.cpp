// Guards against upstreams in need that get more requests than the rate that they have named.

#include "request/admission.h"

#include "common/random.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using request::admission;
using request::admission_verdict;
using request::request_rate;

namespace {

constexpr milliseconds kStep{ 5 };
constexpr milliseconds kWindow{ 4000 };
constexpr milliseconds kServiceTime{ 100 };

// Offers requests of two ranks to one gate, a fixed number of them in each second.
struct limited_gate
{
  void Run(double aPerSecond, milliseconds aTime)
  {
    common::boot_time end = now + aTime;
    std::chrono::duration<double> step = kStep;
    for (; now < end; now += kStep) {
      arrivalsDue += aPerSecond * step.count();
      for (; arrivalsDue >= 1; arrivalsDue -= 1) {
        Offer();
      }
      while (!running.empty() && running.front().second <= now) {
        gate.OnFinished(running.front().first, true, now);
        running.erase(running.begin());
      }
      for (auto id = gate.Next(now); id.has_value(); id = gate.Next(now)) {
        Started(*id);
      }
      for (request::admission_id id : gate.TakeUnservable(now)) {
        ++refusedLate;
        ranks.erase(id);
      }
    }
  }
  void Offer()
  {
    unsigned rank = unsigned(++offered % 2);
    auto decision = gate.Offer(
      { rank == 0 ? "urgent" : "plain", rank, now + milliseconds(1500), now + milliseconds(600) },
      now);
    ranks[decision.id] = rank;
    if (decision.verdict == admission_verdict::kStart) {
      Started(decision.id);
    } else if (decision.verdict == admission_verdict::kReject) {
      cr_assert_gt(decision.expectedWait.count(), 0, "a rejection without a time to return");
    }
  }
  void Started(request::admission_id aId)
  {
    starts.push_back(now);
    ++startsByRank[ranks[aId]];
    running.emplace_back(aId, now + kServiceTime);
  }
  // Most starts in any span of kWindow that begins after aFrom.
  size_t MostStarts(common::boot_time aFrom) const
  {
    size_t most = 0;
    for (auto first = std::lower_bound(starts.begin(), starts.end(), aFrom); first != starts.end();
         ++first) {
      auto last = std::lower_bound(first, starts.end(), *first + kWindow);
      most = std::max(most, size_t(last - first));
    }
    return most;
  }

  admission gate;
  common::boot_time now{ milliseconds(1000) };
  double arrivalsDue = 0;
  uint64_t offered = 0;
  std::vector<std::pair<request::admission_id, common::boot_time>> running;
  std::map<request::admission_id, unsigned> ranks;
  std::vector<common::boot_time> starts;
  size_t startsByRank[2] = { 0, 0 };
  size_t refusedLate = 0;
};

} // namespace

Test(rate_limit, no_window_exceeds_the_named_rate)
{
  for (double limit : { 0.0, 0.3, 1.0, 2.5, 7.8, 11.1, 40.0 }) {
    limited_gate test;
    test.gate.SetSlots(18);
    test.Run(60, milliseconds(1000));
    test.gate.SetRateLimit(request_rate(limit), test.now);
    common::boot_time from = test.now;
    test.Run(60, milliseconds(10000));
    cr_expect_leq(test.MostStarts(from), size_t(1.5 * limit * 4 + 5), "limit %.1f", limit);
    cr_expect_geq(double(test.MostStarts(from)), std::min(0.95 * limit, 60.0) * 4, "limit %.1f",
                  limit);
  }
}

// A limit that changes with each response is no reason for a new burst.
Test(rate_limit, a_changing_limit_gives_no_further_bursts)
{
  limited_gate test;
  test.gate.SetSlots(18);
  test.gate.SetRateLimit(request_rate(8), test.now);
  common::boot_time from = test.now;
  for (int change = 0; change < 100; ++change) {
    test.gate.SetRateLimit(request_rate(change % 2 == 0 ? 7.9 : 8), test.now);
    test.Run(60, milliseconds(100));
  }
  cr_assert_leq(test.MostStarts(from), size_t(1.5 * 7.9 * 4 + 5));
}

Test(rate_limit, a_limit_that_is_no_longer_named_ends)
{
  limited_gate test;
  test.gate.SetSlots(18);
  test.gate.SetRateLimit(request_rate(2), test.now);
  test.Run(40, milliseconds(3000));
  test.gate.SetRateLimit(std::nullopt, test.now);
  common::boot_time from = test.now;
  test.Run(40, milliseconds(5000));
  cr_assert_geq(test.MostStarts(from), size_t(150));
}

Test(rate_limit, urgent_requests_go_first_and_rejections_come_at_once)
{
  limited_gate test;
  test.gate.SetSlots(18);
  test.gate.SetRateLimit(request_rate(10), test.now);
  test.Run(16, milliseconds(20000));
  // Eight urgent requests a second fit, and two of the eight others.
  cr_assert_geq(test.startsByRank[0], size_t(150));
  cr_assert_geq(test.startsByRank[1], size_t(20));
  cr_assert_leq(test.refusedLate, size_t(16));
}
