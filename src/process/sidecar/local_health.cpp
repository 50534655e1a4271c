#include "process/sidecar/local_health.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// Timeouts grow to at most 4 times their base value.
constexpr unsigned kMaxScore = 3;

} // namespace

void local_health::OnSilence()
{
  mScore = std::min(mScore + 1, kMaxScore);
}

void local_health::OnResponse()
{
  mScore -= mScore > 0 ? 1 : 0;
}

common::milliseconds local_health::ScaleTimeout(common::milliseconds aTimeout) const
{
  return aTimeout * int64_t(1 + mScore);
}

} // namespace bamboograde::process::sidecar
