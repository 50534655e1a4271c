// Retry budget of one service, shared by all daemons: limits how many requests are retried at
// another upstream.
//
// In each window the budget of all daemons together is a ratio of their requests plus a constant.
// To stay within it without communication, each daemon uses the ratio of its own requests plus an
// equal part of the constant.
#pragma once

#include "common/clock.h"

#include <array>

namespace bamboograde::request {

struct shared_retry_budget_settings
{
  // Retries per request, over all daemons.
  double ratio = 0.1;
  // Additional retries in each window, over all daemons together.
  double slack = 0;
  common::milliseconds window{ 10000 };
};

class shared_retry_budget
{
public:
  shared_retry_budget() = default;
  explicit shared_retry_budget(const shared_retry_budget_settings& aSettings);
  void SetSettings(const shared_retry_budget_settings& aSettings) { mSettings = aSettings; }

  void OnRequest(common::boot_time aNow);
  // Takes one retry from the budget; false when it is used up. aDaemons: number of daemons that
  // share the budget.
  bool TryTake(size_t aDaemons, common::boot_time aNow);
  // Counts a retry without checking the budget.
  void CountRetry(common::boot_time aNow);

private:
  static constexpr size_t kSubwindows = 20;

  // A part of the sliding window.
  struct subwindow
  {
    // Sequence number since the clock's origin.
    int64_t number = -1;
    double requests = 0;
    double retries = 0;
  };

  subwindow& Current(common::boot_time aNow);

  shared_retry_budget_settings mSettings;
  std::array<subwindow, kSubwindows> mSubwindows{};
};

} // namespace bamboograde::request
