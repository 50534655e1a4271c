// This daemon's part of each row's limit. The parts of all daemons never add up to more than the
// limit: they are granted for a term by the row's allocator and end with it.
#pragma once

#include "common/clock.h"
#include "version/table.h"

#include <map>
#include <vector>

namespace bamboograde::request {

// Demand and held share of one row, reported to its allocator.
struct limit_report
{
  common::row_id row;
  // Requests a second that asked for the row, admitted or not.
  double demandPerSecond = 0;
  double heldPerSecond = 0;
  common::boot_time heldUntil;
};

class row_limiter
{
public:
  void SetTable(const version::table& aTable, const common::service_name& aService);
  void SetShare(const common::row_id& aRow, double aPerSecond, common::boot_time aUntil);
  // Counts the demand; true when the request is within the share. Rows without limit always pass.
  bool TryTake(const common::row_id& aRow, common::boot_time aNow);
  // Call every few milliseconds. True when a row's demand has changed so much that its limit would
  // lie unused until the next report.
  bool TakeReading(common::boot_time aNow);
  // Reports of all limited rows since the last call.
  std::vector<limit_report> TakeReports(common::boot_time aNow);

private:
  struct bucket
  {
    double sharePerSecond = 0;
    common::boot_time shareUntil;
    double tokens = 0;
    common::boot_time filledAt;
    // Since the last report, and since the last reading.
    uint64_t asked = 0;
    uint64_t askedLately = 0;
    double demandPerSecond = 0;
    // The demand is that of the last reading, not of the time since the last report.
    bool changed = false;
  };

  static bool HasChanged(const bucket& aBucket, double aElapsed);
  static void Fill(bucket* aBucket, common::boot_time aNow);

  std::map<common::row_id, bucket> mBuckets;
  common::boot_time mReportedAt;
  common::boot_time mReadAt;
};

} // namespace bamboograde::request
