// Guards against rows that get more or less slot time than their weights say, and against rows that
// starve.

#include "request/fair_queue.h"

#include "common/random.h"
#include "version/table_rows.h"

#include <cmath>
#include <criterion/criterion.h>
#include <queue>

using namespace bamboograde;
using request::fair_queue;
using request::gate_request;
using request::gate_request_ptr;

namespace {

gate_request_ptr MakeRequest(const std::string& aRow)
{
  gate_request_ptr created(new gate_request());
  created->row = common::row_id(aRow);
  created->deadline = common::FromMicros(1LL << 60);
  return created;
}

// Simulates rows with a constant backlog for a time. Returns the slot time that each row used.
std::map<std::string, double> ServeFor(const version::table_ptr& aTable,
                                       const std::map<std::string, int64_t>& aCostUs, size_t aSlots,
                                       int64_t aDurationUs)
{
  struct running
  {
    int64_t endUs;
    gate_request_ptr request;
    bool operator>(const running& aOther) const { return endUs > aOther.endUs; }
  };
  constexpr size_t kBacklog = 50;
  common::seeded_random random(7);
  fair_queue queue;
  queue.SetWeights(*aTable);
  std::vector<gate_request_ptr> alive;
  std::map<std::string, double> slotTime;
  auto push = [&](const std::string& aRow) {
    alive.push_back(MakeRequest(aRow));
    queue.Push(*alive.back());
  };
  for (const auto& [row, cost] : aCostUs) {
    for (size_t i = 0; i < kBacklog; ++i) {
      push(row);
    }
  }
  std::priority_queue<running, std::vector<running>, std::greater<>> slots;
  int64_t nowUs = 0;
  while (nowUs < aDurationUs) {
    while (slots.size() < aSlots) {
      gate_request_ptr next(queue.Pop());
      int64_t cost = aCostUs.at(next->row.Str());
      cost = cost / 2 + int64_t(random.Below(uint64_t(cost)));
      slots.push({ nowUs + cost, next });
      slotTime[next->row.Str()] += double(cost);
      push(next->row.Str());
      next->dispatchedAt = common::FromMicros(nowUs);
    }
    running done = slots.top();
    slots.pop();
    nowUs = done.endUs;
    queue.Charge(*done.request, common::FromMicros(nowUs) - done.request->dispatchedAt);
  }
  queue.TakeAll();
  return slotTime;
}

} // namespace

Test(fair_queue, slot_time_follows_the_weights_with_short_and_long_requests)
{
  auto table = tests::MakeTable(
    { tests::MakeRow("a", "a", 6), tests::MakeRow("b", "b", 3), tests::MakeRow("c", "*", 1) });
  auto slotTime = ServeFor(table, { { "a", 1000 }, { "b", 40000 }, { "c", 5000 } }, 17, 10000000);
  double total = slotTime["a"] + slotTime["b"] + slotTime["c"];
  cr_assert_lt(std::fabs(slotTime["a"] / total - 0.6), 0.03, "share of a is %f",
               slotTime["a"] / total);
  cr_assert_lt(std::fabs(slotTime["b"] / total - 0.3), 0.03, "share of b is %f",
               slotTime["b"] / total);
  cr_assert_lt(std::fabs(slotTime["c"] / total - 0.1), 0.03, "share of c is %f",
               slotTime["c"] / total);
}

Test(fair_queue, idle_row_earns_no_credit)
{
  auto table = tests::MakeTable({ tests::MakeRow("a", "a", 1), tests::MakeRow("b", "*", 1) });
  fair_queue queue;
  queue.SetWeights(*table);
  std::vector<gate_request_ptr> alive;
  for (int i = 0; i < 1000; ++i) {
    alive.push_back(MakeRequest("a"));
    queue.Push(*alive.back());
    queue.Pop();
  }
  for (int i = 0; i < 20; ++i) {
    for (const char* row : { "a", "b" }) {
      alive.push_back(MakeRequest(row));
      queue.Push(*alive.back());
    }
  }
  int popped = 0;
  for (int i = 0; i < 20; ++i) {
    popped += queue.Pop()->row.Str() == "b" ? 1 : 0;
  }
  cr_assert(popped >= 9 && popped <= 11, "%d of 20 popped requests are of the idle row", popped);
}

Test(fair_queue, no_row_starves)
{
  auto table =
    tests::MakeTable({ tests::MakeRow("big", "a", 1000), tests::MakeRow("tiny", "*", 1) });
  auto slotTime = ServeFor(table, { { "big", 1000 }, { "tiny", 1000 } }, 4, 10000000);
  cr_assert_gt(slotTime["tiny"], 0);
}

Test(fair_queue, expired_requests_are_removed)
{
  fair_queue queue;
  auto early = MakeRequest("a");
  auto late = MakeRequest("a");
  early->deadline = common::FromMicros(10);
  queue.Push(*early);
  queue.Push(*late);
  auto expired = queue.TakeExpired(common::FromMicros(10));
  cr_assert_eq(expired.size(), 1U);
  cr_assert_eq(expired[0], early.get());
  cr_assert_eq(queue.Size(), 1U);
  queue.TakeAll();
}
