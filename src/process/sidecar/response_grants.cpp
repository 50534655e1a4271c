#include "process/sidecar/response_grants.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// Delay between a grant and its use by the gate: the grant must reach the upstream before the first
// request for a newly granted key.
constexpr common::milliseconds kGateUpdateDelay{ 3 };

} // namespace

response_grants::response_grants(runtime& aRuntime, upstream_gate& aGate, key_grantor& aGrantor,
                                 common::milliseconds aHoldTime)
  : mRuntime(aRuntime)
  , mGate(aGate)
  , mGrantor(aGrantor)
  , mHoldTime(aHoldTime)
  , mGateUpdateTimer(aRuntime.loop, [this] { mGate.SetKeys(mGrantedRanges, mGrantEnd); })
{
}

void response_grants::OnStarted(bool aMayHoldKeys)
{
  mGrantEnd = aMayHoldKeys ? mRuntime.Now() + mHoldTime * 2 : common::boot_time();
}

void response_grants::OnAnnouncement(const announcement& aAnnouncement)
{
  mGrantor.OnReport(aAnnouncement);
}

std::optional<grant> response_grants::Respond(common::boot_time aHeardAt)
{
  if (!mGrantor.HasSession()) {
    return std::nullopt;
  }
  common::boot_time now = mRuntime.Now();
  auto left = std::chrono::duration_cast<common::microseconds>(mGrantor.LeaseEnd() - now);
  auto safe = common::microseconds(int64_t(double(left.count()) * (1 - 2 * kMaxClockDrift)));
  common::milliseconds hold = std::min(mHoldTime, std::chrono::floor<common::milliseconds>(safe));
  if (hold < kMinHoldTime) {
    mRuntime.log.Write(line_class::kState, "grant_withheld", [&] {
      return common::json{ { "lease_left_us", left.count() } };
    });
    return std::nullopt;
  }
  grant newGrant{ mGrantor.GrantableRanges(), hold };
  // With this grant the upstream starts to release the other ranges.
  mGrantor.OnOthersExcluded();
  common::boot_time end =
    aHeardAt + common::microseconds(
                 int64_t(double(common::microseconds(hold).count()) * (1 + kMaxClockDrift)));
  mGrantEnd = std::max(mGrantEnd, end);
  // The gate must admit the granted ranges; the owned ranges may change before the timer fires.
  mGrantedRanges = newGrant.ranges;
  mGateUpdateTimer.Arm(now + kGateUpdateDelay);
  return newGrant;
}

} // namespace bamboograde::process::sidecar
