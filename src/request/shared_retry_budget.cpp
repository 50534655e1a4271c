#include "request/shared_retry_budget.h"

namespace bamboograde::request {

namespace {

// Share of the budget that is used. Below 1, because a retried request also repeats the calls that
// its upstream makes, and because the windows of the daemons do not begin at the same time.
constexpr double kUsedShare = 0.5;

} // namespace

shared_retry_budget::shared_retry_budget(const shared_retry_budget_settings& aSettings)
  : mSettings(aSettings)
{
}

shared_retry_budget::subwindow& shared_retry_budget::Current(common::boot_time aNow)
{
  int64_t length = common::microseconds(mSettings.window).count() / int64_t(kSubwindows);
  int64_t number = common::ToMicros(aNow) / length;
  subwindow& current = mSubwindows[size_t(number) % kSubwindows];
  if (current.number != number) {
    current = subwindow{ number, 0, 0 };
  }
  return current;
}

void shared_retry_budget::OnRequest(common::boot_time aNow)
{
  Current(aNow).requests += 1;
}

void shared_retry_budget::CountRetry(common::boot_time aNow)
{
  Current(aNow).retries += 1;
}

bool shared_retry_budget::TryTake(size_t aDaemons, common::boot_time aNow)
{
  int64_t newest = Current(aNow).number;
  double requests = 0;
  double retries = 0;
  for (const subwindow& item : mSubwindows) {
    if (item.number > newest - int64_t(kSubwindows)) {
      requests += item.requests;
      retries += item.retries;
    }
  }
  double allowed = kUsedShare * (mSettings.ratio * requests +
                                 mSettings.slack / double(aDaemons > 0 ? aDaemons : 1));
  if (retries + 1 > allowed) {
    return false;
  }
  CountRetry(aNow);
  return true;
}

} // namespace bamboograde::request
