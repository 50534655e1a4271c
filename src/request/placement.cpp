#include "request/placement.h"

#include <algorithm>
#include <cmath>

namespace bamboograde::request {

namespace {

// What a longer way is worth in time: the way itself and the traffic between zones.
constexpr common::microseconds kSameZoneCost{ 1000 };
constexpr common::microseconds kOtherZoneCost{ 15000 };
// A report counts for less the older it is; after this time by half.
constexpr common::milliseconds kReportHalfLife{ 300 };
// Upstreams slow down as they fill; from this share of their slots on the expected time rises.
constexpr double kBusyShare = 0.7;
constexpr double kBusyPenalty = 1.5;
// Time that an upstream is avoided after its first failure; it doubles with each further one.
constexpr common::milliseconds kAvoidTime{ 200 };
constexpr unsigned kMaxDoublings = 4;
// Weight of the newest report in the smoothed use of an upstream.
constexpr double kUseWeight = 0.05;
constexpr common::milliseconds kRecent{ 2000 };
// Weight of the newest question for a free slot.
constexpr double kAskedWeight = 0.05;
// Below this share of free gates, two questions find the shorter wait as well as six.
constexpr double kRareShare = 0.15;
// Assumed for an upstream that has not reported yet.
constexpr common::microseconds kDefaultServiceTime{ 50000 };

common::microseconds DistanceCost(distance aAway)
{
  switch (aAway) {
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
  auto found = mPeers.find(aCandidate.vm);
  if (found != mPeers.end()) {
    const peer_state& peer = found->second;
    if (peer.report.limit > 0) {
      limit = peer.report.limit;
      auto age = std::chrono::duration_cast<common::microseconds>(aNow - peer.reportedAt);
      double weight =
        std::exp2(-double(age.count()) / double(common::microseconds(kReportHalfLife).count()));
      busy = weight * double(peer.report.running + peer.report.waiting);
    }
    busy = std::max(busy, double(peer.outstanding));
    if (peer.report.serviceTime.count() > 0) {
      service = double(peer.report.serviceTime.count());
    }
  }
  double share = (busy + 1) / limit;
  double slowDown = 1 + kBusyPenalty * std::clamp(share - kBusyShare, 0.0, 1.0);
  double wait = std::max(0.0, busy + 1 - limit) / limit * service;
  return common::microseconds(int64_t(service * slowDown + wait)) + DistanceCost(aCandidate.away);
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
  // Two random ones, which differ, and the nearest.
  size_t first = size_t(mRandom.Below(usable.size()));
  size_t second =
    (first + 1 + size_t(mRandom.Below(std::max<size_t>(usable.size() - 1, 1)))) % usable.size();
  size_t best = usable[first];
  std::vector<size_t> rivals = { usable[second] };
  rivals.push_back(
    *std::min_element(usable.begin(), usable.end(), [&](size_t aLeft, size_t aRight) {
      return aCandidates[aLeft].away < aCandidates[aRight].away;
    }));
  for (size_t rival : rivals) {
    if (ExpectedLatency(aCandidates[rival], aNow) < ExpectedLatency(aCandidates[best], aNow)) {
      best = rival;
    }
  }
  return best;
}

void placement::OnSent(const std::string& aVm)
{
  ++mPeers[aVm].outstanding;
}

void placement::OnEnded(const std::string& aVm)
{
  unsigned& outstanding = mPeers[aVm].outstanding;
  outstanding -= outstanding > 0 ? 1 : 0;
}

void placement::OnReport(const std::string& aVm, const load_report& aReport, common::boot_time aNow)
{
  peer_state& peer = mPeers[aVm];
  peer.report = aReport;
  peer.reportedAt = aNow;
  if (aReport.limit > 0) {
    double use = double(aReport.running + aReport.waiting) / double(aReport.limit);
    peer.use += kUseWeight * (use - peer.use);
  }
}

std::optional<double> placement::Use(const std::string& aVm, common::boot_time aNow) const
{
  auto found = mPeers.find(aVm);
  bool recent = found != mPeers.end() && aNow - found->second.reportedAt < kRecent;
  return recent ? std::optional(found->second.use) : std::nullopt;
}

void placement::OnFailure(const std::string& aVm, common::boot_time aNow)
{
  peer_state& peer = mPeers[aVm];
  unsigned doublings = std::min(peer.failures, kMaxDoublings);
  ++peer.failures;
  peer.avoidUntil = aNow + kAvoidTime * (1U << doublings);
}

void placement::OnSuccess(const std::string& aVm)
{
  peer_state& peer = mPeers[aVm];
  peer.failures = 0;
  peer.avoidUntil = {};
}

bool placement::IsAvoided(const std::string& aVm, common::boot_time aNow) const
{
  auto found = mPeers.find(aVm);
  return found != mPeers.end() && found->second.avoidUntil > aNow;
}

void placement::OnAsked(bool aFree)
{
  mFreeShare += kAskedWeight * ((aFree ? 1.0 : 0.0) - mFreeShare);
}

bool placement::FreeIsRare() const
{
  return mFreeShare < kRareShare;
}

} // namespace bamboograde::request
