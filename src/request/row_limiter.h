// Enforces this daemon's share of each row's rate limit with a token bucket. The row's allocator
// grants shares for a limited time, so that the valid shares of all daemons never add up to more
// than the limit.
#pragma once

#include "common/clock.h"
#include "version/table.h"

#include <map>
#include <vector>

namespace bamboograde::request {

// This daemon's demand and share of one row, for the row's allocator.
struct limit_report
{
  common::row_id row;
  // Rate of requests for the row, admitted or not.
  double demandPerSecond = 0;
  double heldPerSecond = 0;
  common::boot_time heldUntil;
};

class row_limiter
{
public:
  void SetTable(const version::table& aTable, const common::service_name& aService);
  void SetShare(const common::row_id& aRow, double aPerSecond, common::boot_time aUntil);
  // Counts the request as demand and takes a token. False when the share is used up or has expired.
  // Requests of rows without a limit always pass.
  bool TryTake(const common::row_id& aRow, common::boot_time aNow);
  // Samples the demand; call every few milliseconds. True when the demand of a row has changed so
  // much that a report should be sent at once, because part of the limit would be unused until the
  // next regular one.
  bool SampleDemand(common::boot_time aNow);
  // Reports of all limited rows, with the demand since the last call.
  std::vector<limit_report> TakeReports(common::boot_time aNow);

private:
  struct bucket
  {
    double sharePerSecond = 0;
    common::boot_time shareUntil;
    double tokens = 0;
    common::boot_time filledAt;
    // Requests since the last report and since the last sample.
    uint64_t requestsSinceReport = 0;
    uint64_t requestsSinceSample = 0;
    double demandPerSecond = 0;
    // demandPerSecond was set from a sample; the next report sends it without smoothing.
    bool changed = false;
  };

  static bool DemandChanged(const bucket& aBucket, double aElapsed);
  static void Refill(bucket* aBucket, common::boot_time aNow);

  std::map<common::row_id, bucket> mBuckets;
  common::boot_time mReportedAt;
  common::boot_time mSampledAt;
};

} // namespace bamboograde::request
