#include "request/cold_start.h"

#include <algorithm>

namespace bamboograde::request {

void cold_start::OnAnnounced(common::milliseconds aLeft, common::boot_time aNow)
{
  // The time left was measured when the announcement was sent, so the upstream is cold at most
  // until then.
  mColdUntil = aNow + aLeft;
  mAssumed = mAssumed && aNow < mConfirmableFrom;
}

void cold_start::Assume(common::boot_time aConfirmableFrom)
{
  mAssumed = true;
  mConfirmableFrom = std::max(mConfirmableFrom, aConfirmableFrom);
}

void cold_start::Reset()
{
  mColdUntil = {};
  mAssumed = false;
  mConfirmableFrom = {};
}

} // namespace bamboograde::request
