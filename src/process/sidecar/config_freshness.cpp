#include "process/sidecar/config_freshness.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::process::sidecar {

namespace {

// Part of the apply time that is left for a call, with a second one if the first gets no response.
constexpr common::milliseconds kCallTime{ 500 };
constexpr common::milliseconds kMinMaxAge{ 1000 };
// Calls of the whole fleet per second. The number of daemons that know a proof grows by a factor
// of 2.7 in 0.2 s, so these rates keep nearly all ages below the limit: 1.5 s for 9 daemons, 2 s
// for 79 and 300, 3.5 s for 1,200.
constexpr double kDaemonsPerCall = 12;
constexpr double kMinCallsPerSecond = 3;
constexpr double kMaxCallsPerSecond = 10;
constexpr common::milliseconds kAskPeriod{ 500 };
// Maximum relative drift between two clocks.
constexpr int64_t kDriftDivisor = 1000;

common::milliseconds SinceBoot(common::boot_time aTime)
{
  return std::chrono::duration_cast<common::milliseconds>(aTime.time_since_epoch());
}

} // namespace

config_freshness::config_freshness(common::random_source& aRandom, common::milliseconds aApplyTime)
  : mRandom(aRandom)
  , mMaxAge(std::max(aApplyTime - kCallTime, kMinMaxAge))
{
}

common::boot_time config_freshness::LocalTime(uint64_t aPlatformMs, common::boot_time aNow) const
{
  common::milliseconds drift = SinceBoot(aNow) - SinceBoot(mClockOffsetAt);
  return common::boot_time(common::milliseconds(int64_t(aPlatformMs)) - *mClockOffset -
                           drift / kDriftDivisor);
}

void config_freshness::OnAnswer(common::boot_time aSentAt, const platform_time& aPlatform,
                                common::boot_time aNow)
{
  if (aPlatform.era < mProof.era) {
    return;
  }
  if (aPlatform.era > mProof.era) {
    mProof = { aPlatform.era, 0 };
    mClockOffset.reset();
  }
  if (!mProvenAt.has_value()) {
    DrawTurn(aNow);
  }
  common::boot_time provenAt = aSentAt;
  if (aPlatform.ms > 0) {
    // The platform's clock showed this time after the call was sent, so the offset is at most this.
    common::milliseconds offset = common::milliseconds(int64_t(aPlatform.ms)) - SinceBoot(aSentAt);
    // A proof from the future shows that the platform's clock has been set.
    bool outdated = !mClockOffset.has_value() || LocalTime(aPlatform.ms, aNow) > aNow;
    if (outdated || offset <= *mClockOffset) {
      mClockOffset = offset;
      mClockOffsetAt = aNow;
    }
    provenAt = std::max(provenAt, LocalTime(aPlatform.ms, aNow));
    mProof.ms = outdated ? aPlatform.ms : std::max(mProof.ms, aPlatform.ms);
  }
  mProvenAt = std::max(mProvenAt.value_or(provenAt), provenAt);
}

void config_freshness::OnPeerProof(const platform_time& aProof, common::boot_time aNow)
{
  bool comparable = aProof.era == mProof.era && mClockOffset.has_value();
  if (!comparable || aProof.ms <= mProof.ms || LocalTime(aProof.ms, aNow) > aNow) {
    return;
  }
  mProof.ms = aProof.ms;
  mProvenAt = std::max(*mProvenAt, LocalTime(aProof.ms, aNow));
}

void config_freshness::OnAsked(common::boot_time aNow)
{
  mAskedAt = aNow;
  DrawTurn(aNow);
}

// The calls of the fleet are a Poisson process.
void config_freshness::DrawTurn(common::boot_time aNow)
{
  auto size = double(mFleetSize);
  double fleetRate = std::clamp(size / kDaemonsPerCall, kMinCallsPerSecond, kMaxCallsPerSecond);
  double sample = (1 + double(mRandom.Below(UINT32_MAX))) / (1 + double(UINT32_MAX));
  std::chrono::duration<double> pause(-std::log(sample) * size / fleetRate);
  mTurnAt = aNow + std::chrono::duration_cast<common::milliseconds>(pause);
}

std::optional<common::boot_time> config_freshness::AskAt() const
{
  if (!mProvenAt.has_value()) {
    return std::nullopt;
  }
  return std::max(std::min(mTurnAt, *mProvenAt + mMaxAge), mAskedAt + kAskPeriod);
}

} // namespace bamboograde::process::sidecar
