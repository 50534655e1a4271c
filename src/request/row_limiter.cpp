#include "request/row_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bamboograde::request {

namespace {

// Depth of a token bucket in seconds of its share, which bounds bursts.
constexpr double kBurstSeconds = 0.1;
// Time constant of the reported demand: 70 % of a change is reported within 200 ms.
constexpr double kDemandTimeConstantSeconds = 0.17;
// A change of demand must be detected within 50 ms, so that demand which moves between daemons each
// second leaves at most 5 % of a limit unused. A sample during which the change happens may miss
// it.
constexpr common::milliseconds kSamplePeriod{ 15 };
// The demand has changed when the counted and the expected requests of a sample differ by this
// factor and, in addition, by this count. Chance alone seldom causes that: with 8 requests
// expected, one of 3,000 samples has none.
constexpr double kMinChangeCount = 8;
constexpr double kMinChangeFactor = 2;

double SecondsBetween(common::boot_time aFrom, common::boot_time aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

} // namespace

void row_limiter::SetTable(const version::table& aTable, const common::service_name& aService)
{
  std::set<common::row_id> limited;
  for (const version::table_row& row : aTable.Rows()) {
    if (row.service == aService && row.limitPerSecond > 0) {
      limited.insert(row.id);
      mBuckets.try_emplace(row.id);
    }
  }
  std::erase_if(mBuckets, [&](const auto& aEntry) { return !limited.contains(aEntry.first); });
}

void row_limiter::SetShare(const common::row_id& aRow, double aPerSecond, common::boot_time aUntil)
{
  auto found = mBuckets.find(aRow);
  if (found == mBuckets.end()) {
    return;
  }
  found->second.sharePerSecond = aPerSecond;
  found->second.shareUntil = aUntil;
}

void row_limiter::Refill(bucket* aBucket, common::boot_time aNow)
{
  common::boot_time end = std::min(aNow, aBucket->shareUntil);
  if (end > aBucket->filledAt) {
    aBucket->tokens += aBucket->sharePerSecond * SecondsBetween(aBucket->filledAt, end);
  }
  // At least one token must fit, else a small share would never admit a request.
  double depth = std::max(1.0, aBucket->sharePerSecond * kBurstSeconds);
  aBucket->tokens = std::min(aBucket->tokens, depth);
  aBucket->filledAt = aNow;
}

bool row_limiter::TryTake(const common::row_id& aRow, common::boot_time aNow)
{
  auto found = mBuckets.find(aRow);
  if (found == mBuckets.end()) {
    return true;
  }
  bucket& own = found->second;
  ++own.requestsSinceReport;
  ++own.requestsSinceSample;
  Refill(&own, aNow);
  if (aNow >= own.shareUntil || own.tokens < 1) {
    return false;
  }
  own.tokens -= 1;
  return true;
}

bool row_limiter::DemandChanged(const bucket& aBucket, double aElapsed)
{
  auto counted = double(aBucket.requestsSinceSample);
  double expected = aBucket.demandPerSecond * aElapsed;
  return counted >= expected * kMinChangeFactor + kMinChangeCount ||
         expected >= counted * kMinChangeFactor + kMinChangeCount;
}

bool row_limiter::SampleDemand(common::boot_time aNow)
{
  if (aNow < mSampledAt + kSamplePeriod) {
    return false;
  }
  double elapsed = SecondsBetween(mSampledAt, aNow);
  mSampledAt = aNow;
  bool anyChanged = false;
  for (auto& [row, own] : mBuckets) {
    if (DemandChanged(own, elapsed)) {
      own.changed = true;
      own.demandPerSecond = double(own.requestsSinceSample) / elapsed;
      anyChanged = true;
    }
    own.requestsSinceSample = 0;
  }
  return anyChanged;
}

std::vector<limit_report> row_limiter::TakeReports(common::boot_time aNow)
{
  std::vector<limit_report> reports;
  double elapsed = std::max(0.001, SecondsBetween(mReportedAt, aNow));
  mReportedAt = aNow;
  double newestWeight = 1 - std::exp(-elapsed / kDemandTimeConstantSeconds);
  for (auto& [row, own] : mBuckets) {
    if (!own.changed) {
      double rate = double(own.requestsSinceReport) / elapsed;
      own.demandPerSecond += newestWeight * (rate - own.demandPerSecond);
    }
    own.changed = false;
    own.requestsSinceReport = 0;
    reports.push_back({ row, own.demandPerSecond, own.sharePerSecond, own.shareUntil });
  }
  return reports;
}

} // namespace bamboograde::request
