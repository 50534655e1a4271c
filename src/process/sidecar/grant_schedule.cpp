#include "process/sidecar/grant_schedule.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kGrantTimeout{ 300 };
// A release without a response by then is called again on another connection.
constexpr common::milliseconds kReleaseTimeout{ 1000 };
constexpr common::milliseconds kGrantRetryDelay{ 50 };
constexpr common::milliseconds kReleaseRetryDelay{ 250 };
// A higher fencing token comes from a newer key map, which will arrive soon.
constexpr common::milliseconds kSupersededDelay{ 500 };
// A grant is renewed after this part of its hold time.
constexpr int kRenewalsPerHoldTime = 2;
// After this part of the hold time without an announcement, the upstream may have been replaced by
// another incarnation, which must not get the grants of the former one.
constexpr double kMaxSilence = 1.2;

common::microseconds Scaled(common::milliseconds aTime, double aFactor)
{
  return common::microseconds(int64_t(double(common::microseconds(aTime).count()) * aFactor));
}

// The parts of aRange that aCovering does not contain.
std::vector<version::key_range> Without(const version::key_range& aRange,
                                        const std::vector<version::key_range>& aCovering)
{
  version::key_owner rest;
  rest.ranges.push_back({ aRange, {}, "" });
  for (const version::key_range& covering : aCovering) {
    version::RemoveRange(&rest, covering);
  }
  return version::RangesOf(rest);
}

bool Covers(const version::key_range& aOuter, const version::key_range& aInner)
{
  return aOuter.first <= aInner.first && aInner.last <= aOuter.last;
}

} // namespace

grant_schedule::grant_schedule(common::milliseconds aHoldTime)
  : mHoldTime(aHoldTime)
{
}

void grant_schedule::OnStarted(common::boot_time aInheritedUntil)
{
  mTargets.clear();
  mExposures.clear();
  mReleased.clear();
  // Calls to the former incarnation are ignored when they end.
  mPending.clear();
  mReleaseAt = {};
  if (aInheritedUntil != common::boot_time()) {
    exposure& inherited = mExposures.emplace_back();
    inherited.range = { 0, version::kKeyPositions - 1 };
    inherited.until = aInheritedUntil;
    inherited.released = true;
  }
}

void grant_schedule::OnAnnouncement(common::boot_time aNow)
{
  mHeardAt = aNow;
  mDisconnected = false;
}

std::vector<grant_call> grant_schedule::Due(const std::vector<version::held_range>& aRanges,
                                            common::boot_time aLeaseEnd, common::boot_time aNow)
{
  std::vector<grant_call> calls;
  DropExpired(aNow);
  SetTargets(aRanges);
  AddReleases(aNow, &calls);
  if (MayGrant(aNow)) {
    AddGrants(aLeaseEnd, aNow, &calls);
  }
  return calls;
}

void grant_schedule::SetTargets(const std::vector<version::held_range>& aRanges)
{
  bool unchanged = aRanges.size() == mTargets.size() &&
                   std::equal(aRanges.begin(), aRanges.end(), mTargets.begin(),
                              [](const version::held_range& aRange, const target& aTarget) {
                                return aRange == aTarget.held;
                              });
  if (unchanged) {
    return;
  }
  std::vector<target> targets;
  targets.reserve(aRanges.size());
  for (const version::held_range& range : aRanges) {
    targets.push_back(MakeTarget(range));
  }
  mTargets = std::move(targets);
}

// A range that was divided stays in use until its grant ends, and is renewed with that grant.
grant_schedule::target grant_schedule::MakeTarget(const version::held_range& aRange) const
{
  for (const target& known : mTargets) {
    if (known.held.token == aRange.token && Covers(known.held.range, aRange.range)) {
      return { aRange, known.heldUntil, known.callAt };
    }
  }
  return { aRange, {}, {} };
}

void grant_schedule::DropExpired(common::boot_time aNow)
{
  std::erase_if(mExposures, [&](const exposure& aItem) {
    return aItem.until <= aNow && mPending.count(aItem.call) == 0;
  });
}

bool grant_schedule::MayGrant(common::boot_time aNow) const
{
  return !mDisconnected && aNow < mHeardAt + Scaled(mHoldTime, kMaxSilence);
}

bool grant_schedule::IsBusy(const version::key_range& aRange, grant_call::kind aPurpose) const
{
  return std::any_of(mPending.begin(), mPending.end(), [&](const auto& aItem) {
    const grant_call& call = aItem.second.call;
    bool same = call.range.range == aRange;
    bool concerns = version::Intersection(call.range.range, aRange).has_value();
    bool conflicts =
      aPurpose == grant_call::kind::kRelease || call.purpose == grant_call::kind::kRelease || same;
    return concerns && conflicts;
  });
}

void grant_schedule::AddGrants(common::boot_time aLeaseEnd, common::boot_time aNow,
                               std::vector<grant_call>* aCalls)
{
  // The grant must end before the lease even if it arrives just before the call's deadline.
  auto left = std::chrono::duration_cast<common::microseconds>(aLeaseEnd - aNow - kGrantTimeout);
  auto safe = common::microseconds(int64_t(double(left.count()) * (1 - 2 * kMaxClockDrift)));
  common::milliseconds hold = std::min(mHoldTime, std::chrono::floor<common::milliseconds>(safe));
  if (hold < kMinHoldTime) {
    return;
  }
  for (const target& item : mTargets) {
    if (aNow < item.callAt || IsBusy(item.held.range, grant_call::kind::kGrant)) {
      continue;
    }
    const grant_call& call =
      Add({ {}, grant_call::kind::kGrant, item.held, hold, aNow + kGrantTimeout }, aNow, aCalls);
    exposure& possible = mExposures.emplace_back();
    possible.range = item.held.range;
    possible.token = item.held.token;
    possible.until = EndOfGrant(hold, call.deadline);
    possible.call = call.id;
  }
}

grant_call& grant_schedule::Add(const grant_call& aCall, common::boot_time aNow,
                                std::vector<grant_call>* aCalls)
{
  grant_call& call = aCalls->emplace_back(aCall);
  mLastCall = mLastCall.Next();
  call.id = mLastCall;
  mPending[call.id] = { call, aNow };
  return call;
}

// The ranges that the upstream may hold but shall not, by token.
std::vector<version::held_range> grant_schedule::RangesToRelease() const
{
  std::vector<version::key_range> wanted;
  for (const target& item : mTargets) {
    wanted.push_back(item.held.range);
  }
  std::map<version::fencing_token, version::key_owner> byToken;
  for (const exposure& item : mExposures) {
    if (!item.released) {
      for (const version::key_range& range : Without(item.range, wanted)) {
        version::AddRange(&byToken[item.token], { range, item.token, "" });
      }
    }
  }
  std::vector<version::held_range> ranges;
  for (const auto& [token, unwanted] : byToken) {
    ranges.insert(ranges.end(), unwanted.ranges.begin(), unwanted.ranges.end());
  }
  return ranges;
}

void grant_schedule::AddReleases(common::boot_time aNow, std::vector<grant_call>* aCalls)
{
  if (aNow < mReleaseAt || mExposures.empty()) {
    return;
  }
  for (const version::held_range& range : RangesToRelease()) {
    // A grant that is on its way could be applied after the release.
    if (!IsBusy(range.range, grant_call::kind::kRelease)) {
      Add({ {}, grant_call::kind::kRelease, range, {}, aNow + kReleaseTimeout }, aNow, aCalls);
    }
  }
}

void grant_schedule::OnResult(grant_call_id aCall, grant_call_result aResult,
                              const std::string& aHandover, common::boot_time aNow)
{
  auto found = mPending.find(aCall);
  if (found == mPending.end()) {
    return;
  }
  pending_call ended = found->second;
  mPending.erase(found);
  if (ended.call.purpose == grant_call::kind::kGrant) {
    OnGrantResult(ended, aResult, aNow);
  } else if (aResult == grant_call_result::kDone) {
    OnReleased(ended.call.range, aHandover);
  } else {
    mReleaseAt = aNow + kReleaseRetryDelay;
  }
}

void grant_schedule::OnGrantResult(const pending_call& aCall, grant_call_result aResult,
                                   common::boot_time aNow)
{
  if (aResult == grant_call_result::kDone) {
    OnGranted(aCall, aNow);
    return;
  }
  bool notApplied =
    aResult == grant_call_result::kSuperseded || aResult == grant_call_result::kNotSent;
  for (exposure& item : mExposures) {
    if (item.call == aCall.call.id) {
      item.until = EndOfGrant(aCall.call.holdTime, aNow);
    }
  }
  if (notApplied) {
    std::erase_if(mExposures, [&](const exposure& aItem) { return aItem.call == aCall.call.id; });
  }
  for (target& item : mTargets) {
    if (item.held.range == aCall.call.range.range) {
      item.callAt =
        aNow + (aResult == grant_call_result::kSuperseded ? kSupersededDelay : kGrantRetryDelay);
    }
  }
}

void grant_schedule::OnGranted(const pending_call& aCall, common::boot_time aNow)
{
  const version::held_range& granted = aCall.call.range;
  common::boot_time until = EndOfGrant(aCall.call.holdTime, aNow);
  // An earlier grant of the same keys that was applied is included in the new one.
  std::erase_if(mExposures, [&](const exposure& aItem) {
    return aItem.confirmed && aItem.token <= granted.token && aItem.until <= until &&
           Covers(granted.range, aItem.range);
  });
  for (exposure& item : mExposures) {
    if (item.call == aCall.call.id) {
      item.until = until;
      item.confirmed = true;
    }
  }
  for (target& item : mTargets) {
    if (item.held.token == granted.token && Covers(granted.range, item.held.range)) {
      item.heldUntil =
        std::max(item.heldUntil, aCall.sentAt + Scaled(aCall.call.holdTime, 1 - kMaxClockDrift));
      item.callAt = aCall.sentAt + aCall.call.holdTime / kRenewalsPerHoldTime;
    }
  }
}

void grant_schedule::OnReleased(const version::held_range& aRange, const std::string& aHandover)
{
  std::vector<exposure> remaining;
  for (const exposure& item : mExposures) {
    auto common = version::Intersection(item.range, aRange.range);
    if (!common.has_value() || item.token > aRange.token) {
      remaining.push_back(item);
      continue;
    }
    for (const version::key_range& kept : Without(item.range, { *common })) {
      exposure part = item;
      part.range = kept;
      remaining.push_back(part);
    }
    if (!item.confirmed) {
      // It may still be applied.
      exposure late = item;
      late.range = *common;
      late.released = true;
      remaining.push_back(late);
    }
  }
  mExposures = std::move(remaining);
  mReleased.push_back({ aRange.range, aHandover });
}

common::boot_time grant_schedule::EndOfGrant(common::milliseconds aHoldTime,
                                             common::boot_time aArrivedBy) const
{
  return aArrivedBy + Scaled(aHoldTime, 1 + kMaxClockDrift);
}

std::vector<version::held_range> grant_schedule::Held(common::boot_time aNow,
                                                      common::boot_time* aUntil) const
{
  std::vector<version::held_range> held;
  *aUntil = common::boot_time::max();
  for (const target& item : mTargets) {
    if (aNow < item.heldUntil) {
      held.push_back(item.held);
      *aUntil = std::min(*aUntil, item.heldUntil);
    }
  }
  return held;
}

bool grant_schedule::MayHold(uint32_t aKey, common::boot_time aNow) const
{
  return std::any_of(mExposures.begin(), mExposures.end(), [&](const exposure& aItem) {
    return aItem.range.Contains(aKey) && (aNow < aItem.until || mPending.count(aItem.call) > 0);
  });
}

key_report grant_schedule::TakeReport(common::boot_time aNow)
{
  key_report report;
  for (const exposure& item : mExposures) {
    if (aNow < item.until || mPending.count(item.call) > 0) {
      report.holds.push_back({ item.range, item.token, "" });
    }
  }
  report.released.swap(mReleased);
  return report;
}

common::boot_time grant_schedule::GrantEnd(common::boot_time aNow) const
{
  common::boot_time end;
  for (const exposure& item : mExposures) {
    auto pending = mPending.find(item.call);
    // A call may end later than its deadline if the event loop is late.
    end = std::max(end, pending == mPending.end()
                          ? item.until
                          : std::max(item.until, EndOfGrant(pending->second.call.holdTime, aNow)));
  }
  return end;
}

} // namespace bamboograde::process::sidecar
