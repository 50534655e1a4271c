#include "process/sidecar/local_health.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// Timeouts grow to four times their length at most.
constexpr unsigned kMostDoubts = 3;

} // namespace

void local_health::OnSilence()
{
  mDoubts = std::min(mDoubts + 1, kMostDoubts);
}

void local_health::OnAnswer()
{
  mDoubts -= mDoubts > 0 ? 1 : 0;
}

common::milliseconds local_health::Stretch(common::milliseconds aTimeout) const
{
  return aTimeout * int64_t(1 + mDoubts);
}

} // namespace bamboograde::process::sidecar
