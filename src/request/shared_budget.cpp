#include "request/shared_budget.h"

namespace bamboograde::request {

namespace {

// Part of the budget that is used. A repeated request repeats the calls that its upstream makes,
// and windows of the daemons do not begin at the same moment.
constexpr double kUsedPart = 0.5;

} // namespace

shared_budget::shared_budget(const budget_terms& aTerms)
  : mTerms(aTerms)
{
}

shared_budget::slice& shared_budget::Current(common::boot_time aNow)
{
  int64_t length = common::microseconds(mTerms.window).count() / int64_t(kSlices);
  int64_t number = common::ToMicros(aNow) / length;
  slice& current = mSlices[size_t(number) % kSlices];
  if (current.number != number) {
    current = slice{ number, 0, 0 };
  }
  return current;
}

void shared_budget::OnRequest(common::boot_time aNow)
{
  Current(aNow).requests += 1;
}

void shared_budget::OnRepeat(common::boot_time aNow)
{
  Current(aNow).repeats += 1;
}

bool shared_budget::TryTake(size_t aDaemons, common::boot_time aNow)
{
  int64_t newest = Current(aNow).number;
  double requests = 0;
  double repeats = 0;
  for (const slice& part : mSlices) {
    if (part.number > newest - int64_t(kSlices)) {
      requests += part.requests;
      repeats += part.repeats;
    }
  }
  double allowed =
    kUsedPart * (mTerms.ratio * requests + mTerms.slack / double(aDaemons > 0 ? aDaemons : 1));
  if (repeats + 1 > allowed) {
    return false;
  }
  OnRepeat(aNow);
  return true;
}

} // namespace bamboograde::request
