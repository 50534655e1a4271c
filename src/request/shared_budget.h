// Limits how many requests of a service are sent to a second upstream.
//
// All daemons draw on one budget: a share of the requests for the service and a constant. Each
// daemon uses a part of it that can not add up to more than the whole: the share of its own
// requests, and an equal part of the constant.
#pragma once

#include "common/clock.h"

#include <array>

namespace bamboograde::request {

struct budget_terms
{
  // Repeats allowed for each request, over all daemons.
  double ratio = 0.1;
  // Repeats allowed besides, in each window, over all daemons.
  double slack = 0;
  common::milliseconds window{ 10000 };
};

class shared_budget
{
public:
  shared_budget() = default;
  explicit shared_budget(const budget_terms& aTerms);
  void SetTerms(const budget_terms& aTerms) { mTerms = aTerms; }

  void OnRequest(common::boot_time aNow);
  // Takes one repeat from the budget; false when it is used up. aDaemons: those that share it.
  bool TryTake(size_t aDaemons, common::boot_time aNow);
  // An arrival beyond the first that happened without being asked for.
  void OnRepeat(common::boot_time aNow);

private:
  static constexpr size_t kSlices = 20;

  struct slice
  {
    int64_t number = -1;
    double requests = 0;
    double repeats = 0;
  };

  slice& Current(common::boot_time aNow);

  budget_terms mTerms;
  std::array<slice, kSlices> mSlices{};
};

} // namespace bamboograde::request
