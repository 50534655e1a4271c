// Holds how fast the local upstream works at present, and estimates how long its work takes.
//
// The upstream reports its slowdown with its responses: 1 as usual, 3 when work takes three times
// as long. While reports are recent, work is measured by the progress of the upstream (real time
// divided by the slowdown), so that the normal service time of a class does not depend on the slow
// periods in which it was measured. Measured service times take precedence: while they do not vary
// with the reported slowdown, the reports are ignored.
//
// Load pattern: upstreams of uneven speed, each of which is several times slower than usual during
// short periods.
#pragma once

#include "request/mean_times.h"

#include <deque>

namespace bamboograde::request {

class upstream_speed
{
public:
  // The upstream says that work takes aSlowdown times as long as usual.
  void OnReport(double aSlowdown, common::boot_time aNow);
  // A request that started at aStart, with that progress of the upstream, was served.
  void OnServed(const std::string& aWork, common::boot_time aStart,
                common::microseconds aStartProgress, common::boot_time aNow);

  // Time that the upstream would have needed, without slow periods, for its work until aNow.
  common::microseconds Progress(common::boot_time aNow) const;
  // Part of its normal time that a running request has spent.
  common::microseconds Spent(common::boot_time aStart, common::microseconds aStartProgress,
                             common::boot_time aNow) const;
  // Service time of the class without slow periods; empty before the first sample.
  std::optional<common::microseconds> NormalTime(const std::string& aWork) const;
  // Time that aWork (in normal time) takes if it begins aDelay from now.
  common::microseconds Duration(common::microseconds aWork, common::boot_time aNow,
                                common::microseconds aDelay = common::microseconds(0)) const;

  // Whether there is a recent report that measurements do not contradict.
  bool Known(common::boot_time aNow) const { return IsRecent(aNow) && !Contradicted(); }
  // 1 when not known.
  double Slowdown(common::boot_time aNow) const { return Known(aNow) ? mSlowdown : 1; }
  // Whether measured service times do not vary with the reported slowdown.
  bool Contradicted() const { return mContradicted; }
  // Mean length of the slow periods observed, or a default before the first one.
  common::microseconds TypicalPeriod() const;

private:
  // Lets a new process trust the reports until some 30 samples have contradicted them.
  static constexpr double kInitialVariance = 0.02;

  struct work_times
  {
    // In progress of the upstream and in real time.
    common::microseconds normal{ 0 };
    common::microseconds real{ 0 };
    // Of the logarithms of the service time and of the mean slowdown during it.
    double logTime = 0;
    double logSlowdown = 0;
    unsigned samples = 0;
  };

  bool IsRecent(common::boot_time aNow) const;
  // Expected time until the present slow period ends.
  common::microseconds PeriodLeft(common::boot_time aNow) const;
  void TrackPeriod(double aSlowdown, common::boot_time aNow);
  void Compare(work_times* aTimes, common::microseconds aReal, common::microseconds aNormal);

  double mSlowdown = 1;
  // Of the last report; empty before the first one.
  std::optional<common::boot_time> mReportedAt;
  common::microseconds mProgress{ 0 };
  common::boot_time mProgressAt;
  // Start of the present slow period.
  std::optional<common::boot_time> mSlowSince;
  // Whether its start was observed closely enough to learn its length.
  bool mStartObserved = false;
  // Lengths of the last slow periods.
  std::deque<common::microseconds> mPeriods;
  std::map<std::string, work_times> mTimes;
  // Covariance of the logarithms of service time and reported slowdown, and variance of the latter,
  // within each class.
  double mCovariance = kInitialVariance;
  double mVariance = kInitialVariance;
  bool mContradicted = false;
};

} // namespace bamboograde::request
