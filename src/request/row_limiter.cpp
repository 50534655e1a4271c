#include "request/row_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bamboograde::request {

namespace {

// A bucket holds at most the share of this much time, which bounds a burst.
constexpr double kBurstSeconds = 0.1;
// The reported demand follows the counted one with this time constant: seven tenths of a change
// show within 200 ms.
constexpr double kSmoothingSeconds = 0.17;
// Demand that moves each second leaves at most 5 % of a limit unused when it is noticed within 50
// ms; a reading in the middle of which it moves does not show it yet.
constexpr common::milliseconds kReadingTime{ 15 };
// Counts that differ by so much and by this factor are not chance: with 8 requests expected, none
// come in one of 3,000 readings.
constexpr double kSurelyMore = 8;
constexpr double kChangeFactor = 2;

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

void row_limiter::Fill(bucket* aBucket, common::boot_time aNow)
{
  common::boot_time end = std::min(aNow, aBucket->shareUntil);
  if (end > aBucket->filledAt) {
    aBucket->tokens += aBucket->sharePerSecond * SecondsBetween(aBucket->filledAt, end);
  }
  // One whole token must fit, else a small share would never admit anything.
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
  ++own.asked;
  ++own.askedLately;
  Fill(&own, aNow);
  if (aNow >= own.shareUntil || own.tokens < 1) {
    return false;
  }
  own.tokens -= 1;
  return true;
}

bool row_limiter::HasChanged(const bucket& aBucket, double aElapsed)
{
  auto asked = double(aBucket.askedLately);
  double expected = aBucket.demandPerSecond * aElapsed;
  return asked >= expected * kChangeFactor + kSurelyMore ||
         expected >= asked * kChangeFactor + kSurelyMore;
}

bool row_limiter::TakeReading(common::boot_time aNow)
{
  if (aNow < mReadAt + kReadingTime) {
    return false;
  }
  double elapsed = SecondsBetween(mReadAt, aNow);
  mReadAt = aNow;
  bool any = false;
  for (auto& [row, own] : mBuckets) {
    if (HasChanged(own, elapsed)) {
      own.changed = true;
      own.demandPerSecond = double(own.askedLately) / elapsed;
      any = true;
    }
    own.askedLately = 0;
  }
  return any;
}

std::vector<limit_report> row_limiter::TakeReports(common::boot_time aNow)
{
  std::vector<limit_report> reports;
  double elapsed = std::max(0.001, SecondsBetween(mReportedAt, aNow));
  mReportedAt = aNow;
  double newest = 1 - std::exp(-elapsed / kSmoothingSeconds);
  for (auto& [row, own] : mBuckets) {
    if (!own.changed) {
      double rate = double(own.asked) / elapsed;
      own.demandPerSecond += newest * (rate - own.demandPerSecond);
    }
    own.changed = false;
    own.asked = 0;
    reports.push_back({ row, own.demandPerSecond, own.sharePerSecond, own.shareUntil });
  }
  return reports;
}

} // namespace bamboograde::request
