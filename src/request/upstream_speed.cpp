#include "request/upstream_speed.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboograde::request {

namespace {

// From this slowdown on, a period counts as slow. Smaller ones change no decision.
constexpr double kSlowFrom = 1.25;
// Limits the effect of a nonsensical report.
constexpr double kMaxSlowdown = 50;
// Length of a slow period before the first one has been observed.
constexpr common::microseconds kDefaultPeriod{ 400000 };
constexpr size_t kMaxPeriods = 32;
// The length of a period is learned if reports at its start and end were at most this share of the
// typical period apart.
constexpr double kMaxReportGapShare = 0.25;
// Weight of a new sample in the comparison of reports and measurements. The last 200 samples or so
// count, because service times also vary by themselves.
constexpr double kComparisonWeight = 0.01;
// Reports are ignored while service times vary by less than this share of the reported slowdown (as
// the slope of a regression: 1 for true reports, 0 for unrelated ones). Requests that wait for
// other upstreams during a part of their service time lie in between.
constexpr double kMinSlope = 0.3;
// With less variance of the reported slowdown, the samples say nothing about the reports, and the
// earlier verdict stays: a slowdown of 3 in one of 100 samples.
constexpr double kMinVariance = 0.01;

common::microseconds Scale(common::microseconds aTime, double aFactor)
{
  return common::microseconds(int64_t(double(aTime.count()) * aFactor));
}

common::microseconds Between(common::boot_time aFrom, common::boot_time aUntil)
{
  return std::chrono::duration_cast<common::microseconds>(aUntil - aFrom);
}

} // namespace

bool upstream_speed::IsRecent(common::boot_time aNow) const
{
  return mReportedAt.has_value() && aNow - *mReportedAt <= TypicalPeriod();
}

common::microseconds upstream_speed::TypicalPeriod() const
{
  if (mPeriods.empty()) {
    return kDefaultPeriod;
  }
  return std::accumulate(mPeriods.begin(), mPeriods.end(), common::microseconds(0)) /
         int64_t(mPeriods.size());
}

void upstream_speed::OnReport(double aSlowdown, common::boot_time aNow)
{
  if (!std::isfinite(aSlowdown)) {
    return;
  }
  double slowdown = std::clamp(aSlowdown, 1.0, kMaxSlowdown);
  mProgress = Progress(aNow);
  mProgressAt = aNow;
  TrackPeriod(slowdown, aNow);
  mSlowdown = slowdown;
  mReportedAt = aNow;
}

void upstream_speed::TrackPeriod(double aSlowdown, common::boot_time aNow)
{
  bool isSlow = aSlowdown >= kSlowFrom;
  if (isSlow && mSlowSince.has_value() && IsRecent(aNow)) {
    return;
  }
  // The change happened at some time since the last report.
  auto gap = mReportedAt.has_value() ? Between(*mReportedAt, aNow) : common::microseconds::max();
  bool isObserved = gap <= Scale(TypicalPeriod(), kMaxReportGapShare);
  common::boot_time changedAt = isObserved ? aNow - gap / 2 : aNow;
  if (isSlow) {
    mSlowSince = changedAt;
    mStartObserved = isObserved;
    return;
  }
  if (mSlowSince.has_value() && mStartObserved && isObserved) {
    mPeriods.push_back(Between(*mSlowSince, changedAt));
    if (mPeriods.size() > kMaxPeriods) {
      mPeriods.pop_front();
    }
  }
  mSlowSince.reset();
}

common::microseconds upstream_speed::Progress(common::boot_time aNow) const
{
  if (!mReportedAt.has_value() || aNow <= mProgressAt) {
    return mProgress + Between(mProgressAt, aNow);
  }
  // Without a new report, the speed counts as usual after the typical period.
  common::boot_time slowUntil = std::clamp(*mReportedAt + TypicalPeriod(), mProgressAt, aNow);
  return mProgress + Scale(Between(mProgressAt, slowUntil), 1 / mSlowdown) +
         Between(slowUntil, aNow);
}

common::microseconds upstream_speed::PeriodLeft(common::boot_time aNow) const
{
  if (!mSlowSince.has_value()) {
    return TypicalPeriod();
  }
  common::microseconds elapsed = Between(*mSlowSince, aNow);
  common::microseconds left{ 0 };
  int64_t longer = 0;
  for (common::microseconds period : mPeriods) {
    if (period > elapsed) {
      left += period - elapsed;
      ++longer;
    }
  }
  if (longer > 0) {
    return left / longer;
  }
  // Longer than all before: it is assumed to last as long again as it has lasted.
  return mPeriods.empty() ? std::max(elapsed, kDefaultPeriod - elapsed) : elapsed;
}

common::microseconds upstream_speed::Duration(common::microseconds aWork, common::boot_time aNow,
                                              common::microseconds aDelay) const
{
  double slowdown = Slowdown(aNow);
  if (slowdown <= 1) {
    return aWork;
  }
  common::microseconds left = std::max(PeriodLeft(aNow) - aDelay, common::microseconds(0));
  if (aWork <= Scale(left, 1 / slowdown)) {
    return Scale(aWork, slowdown);
  }
  return aWork + Scale(left, 1 - 1 / slowdown);
}

common::microseconds upstream_speed::Spent(common::boot_time aStart,
                                           common::microseconds aStartProgress,
                                           common::boot_time aNow) const
{
  return Contradicted() ? Between(aStart, aNow) : Progress(aNow) - aStartProgress;
}

std::optional<common::microseconds> upstream_speed::NormalTime(const std::string& aWork) const
{
  auto found = mTimes.find(aWork);
  if (found == mTimes.end()) {
    return std::nullopt;
  }
  return Contradicted() ? found->second.real : found->second.normal;
}

void upstream_speed::OnServed(const std::string& aWork, common::boot_time aStart,
                              common::microseconds aStartProgress, common::boot_time aNow)
{
  common::microseconds real = Between(aStart, aNow);
  common::microseconds normal = Progress(aNow) - aStartProgress;
  work_times& times = mTimes[aWork];
  times.real = WeightedMean(times.real, real);
  times.normal = WeightedMean(times.normal, normal);
  if (real.count() > 0 && normal.count() > 0) {
    Compare(&times, real, normal);
  }
}

void upstream_speed::Compare(work_times* aTimes, common::microseconds aReal,
                             common::microseconds aNormal)
{
  double logTime = std::log(double(aReal.count()));
  double logSlowdown = std::log(double(aReal.count()) / double(aNormal.count()));
  double timeOffset = logTime - aTimes->logTime;
  double slowdownOffset = logSlowdown - aTimes->logSlowdown;
  if (aTimes->samples > 0) {
    mCovariance += kComparisonWeight * (timeOffset * slowdownOffset - mCovariance);
    mVariance += kComparisonWeight * (slowdownOffset * slowdownOffset - mVariance);
    mContradicted = mVariance > kMinVariance ? mCovariance < kMinSlope * mVariance : mContradicted;
  }
  ++aTimes->samples;
  double weight = std::max(1.0 / aTimes->samples, kComparisonWeight);
  aTimes->logTime += weight * timeOffset;
  aTimes->logSlowdown += weight * slowdownOffset;
}

} // namespace bamboograde::request
