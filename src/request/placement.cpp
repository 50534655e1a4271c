#include "request/placement.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::request {

namespace {

// Latency that is added for a candidate at this distance: the network time and the cost of traffic
// between availability zones.
constexpr common::microseconds kSameZoneCost{ 1000 };
constexpr common::microseconds kOtherZoneCost{ 15000 };
// The weight of a load report halves each time that it ages by this much.
constexpr common::milliseconds kReportHalfLife{ 300 };
// Upstreams slow down as their slots fill: above this utilization the expected service time grows
// linearly.
constexpr double kSlowdownUtilization = 0.7;
constexpr double kSlowdownFactor = 1.5;
// Time that an upstream is avoided after its first failure; it doubles with each further one.
constexpr common::milliseconds kInitialBackoff{ 200 };
constexpr unsigned kMaxDoublings = 4;
// Weight of the newest report in the smoothed utilization of an upstream.
constexpr double kUtilizationWeight = 0.05;
// Reports older than this are not used for the utilization.
constexpr common::milliseconds kMaxReportAge{ 2000 };
// Weight of the newest query for a free slot.
constexpr double kQueryWeight = 0.05;
// Below this share of queries that find a free slot, two queries find as short a wait as six.
constexpr double kRareFreeShare = 0.15;
// Assumed for an upstream that has not reported yet.
constexpr common::microseconds kDefaultServiceTime{ 50000 };

common::microseconds DistanceCost(distance aDistance)
{
  switch (aDistance) {
    case distance::kSameVm:
      return common::microseconds(0);
    case distance::kSameZone:
      return kSameZoneCost;
    case distance::kOtherZone:
      return kOtherZoneCost;
  }
  return kOtherZoneCost;
}

} // namespace

common::microseconds placement::ExpectedLatency(const placement_candidate& aCandidate,
                                                common::boot_time aNow) const
{
  double limit = std::max(aCandidate.slots, 1U);
  double busy = 0;
  double service = double(kDefaultServiceTime.count());
  auto found = mUpstreams.find(aCandidate.vm);
  if (found != mUpstreams.end()) {
    const upstream_state& upstream = found->second;
    if (upstream.report.limit > 0) {
      limit = upstream.report.limit;
      auto age = std::chrono::duration_cast<common::microseconds>(aNow - upstream.reportedAt);
      double weight =
        std::exp2(-double(age.count()) / double(common::microseconds(kReportHalfLife).count()));
      busy = weight * double(upstream.report.running + upstream.report.waiting);
    }
    busy = std::max(busy, double(upstream.outstanding));
    if (upstream.report.serviceTime.count() > 0) {
      service = double(upstream.report.serviceTime.count());
    }
  }
  double share = (busy + 1) / limit;
  double slowdown = 1 + kSlowdownFactor * std::clamp(share - kSlowdownUtilization, 0.0, 1.0);
  double wait = std::max(0.0, busy + 1 - limit) / limit * service;
  return common::microseconds(int64_t(service * slowdown + wait)) +
         DistanceCost(aCandidate.networkDistance);
}

size_t placement::Choose(const std::vector<placement_candidate>& aCandidates,
                         common::boot_time aNow)
{
  std::vector<size_t> usable;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (!IsAvoided(aCandidates[i].vm, aNow)) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    return size_t(mRandom.Below(aCandidates.size()));
  }
  // Two different random candidates and the nearest one.
  size_t first = size_t(mRandom.Below(usable.size()));
  size_t second =
    (first + 1 + size_t(mRandom.Below(std::max<size_t>(usable.size() - 1, 1)))) % usable.size();
  size_t best = usable[first];
  std::vector<size_t> otherCandidates = { usable[second] };
  otherCandidates.push_back(
    *std::min_element(usable.begin(), usable.end(), [&](size_t aLeft, size_t aRight) {
      return aCandidates[aLeft].networkDistance < aCandidates[aRight].networkDistance;
    }));
  for (size_t other : otherCandidates) {
    if (ExpectedLatency(aCandidates[other], aNow) < ExpectedLatency(aCandidates[best], aNow)) {
      best = other;
    }
  }
  return best;
}

void placement::OnSent(const std::string& aVm)
{
  ++mUpstreams[aVm].outstanding;
}

void placement::OnEnded(const std::string& aVm)
{
  unsigned& outstanding = mUpstreams[aVm].outstanding;
  outstanding -= outstanding > 0 ? 1 : 0;
}

void placement::OnReport(const std::string& aVm, const load_report& aReport, common::boot_time aNow)
{
  upstream_state& upstream = mUpstreams[aVm];
  upstream.report = aReport;
  upstream.reportedAt = aNow;
  if (aReport.limit > 0) {
    double utilization = double(aReport.running + aReport.waiting) / double(aReport.limit);
    upstream.utilization += kUtilizationWeight * (utilization - upstream.utilization);
  }
}

std::optional<double> placement::Utilization(const std::string& aVm, common::boot_time aNow) const
{
  auto found = mUpstreams.find(aVm);
  bool isRecent = found != mUpstreams.end() && aNow - found->second.reportedAt < kMaxReportAge;
  return isRecent ? std::optional(found->second.utilization) : std::nullopt;
}

void placement::OnFailure(const std::string& aVm, common::boot_time aNow)
{
  upstream_state& upstream = mUpstreams[aVm];
  unsigned doublings = std::min(upstream.failures, kMaxDoublings);
  ++upstream.failures;
  upstream.avoidUntil = aNow + kInitialBackoff * (1U << doublings);
}

void placement::OnSuccess(const std::string& aVm)
{
  upstream_state& upstream = mUpstreams[aVm];
  upstream.failures = 0;
  upstream.avoidUntil = {};
}

bool placement::IsAvoided(const std::string& aVm, common::boot_time aNow) const
{
  auto found = mUpstreams.find(aVm);
  return found != mUpstreams.end() && found->second.avoidUntil > aNow;
}

void placement::OnFreeSlotQuery(bool aFree)
{
  mFreeSlotShare += kQueryWeight * ((aFree ? 1.0 : 0.0) - mFreeSlotShare);
}

bool placement::FreeSlotsAreRare() const
{
  return mFreeSlotShare < kRareFreeShare;
}

} // namespace bamboograde::request
