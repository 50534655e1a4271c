#include "process/sidecar/key_handoffs.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

bool IsHeld(const key_report& aReport, const version::key_range& aRange)
{
  return std::any_of(aReport.holds.begin(), aReport.holds.end(),
                     [&aRange](const version::held_range& aHeld) {
                       return version::Intersection(aHeld.range, aRange).has_value();
                     });
}

} // namespace

void key_handoffs::Add(const std::vector<version::key_assignment>& aPlan)
{
  for (const version::key_assignment& planned : aPlan) {
    mRanges.push_back({ planned.range, planned.vm, "" });
  }
}

void key_handoffs::OnExcludedFromGrant()
{
  for (moving_range& item : mRanges) {
    item.excludedFromGrant = true;
  }
}

std::vector<key_handoffs::moving_range> key_handoffs::Split(const moving_range& aPart,
                                                            const key_report& aReport)
{
  std::vector<moving_range> pieces;
  // Each key belongs to exactly one piece, even if released ranges overlap.
  version::key_owner rest;
  rest.ranges.push_back({ aPart.range, {}, "" });
  for (const released_range& released : aReport.released) {
    for (const version::key_range& open : version::RangesOf(rest)) {
      auto cut = version::Intersection(open, released.range);
      if (cut.has_value() && !IsHeld(aReport, *cut)) {
        pieces.push_back({ *cut, aPart.target, released.handover, true, aPart.excludedFromGrant });
        version::RemoveRange(&rest, *cut);
      }
    }
  }
  for (const version::key_range& left : version::RangesOf(rest)) {
    bool released = !IsHeld(aReport, left);
    pieces.push_back({ left, aPart.target, "", released, aPart.excludedFromGrant });
  }
  return pieces;
}

void key_handoffs::OnReport(const key_report& aReport)
{
  std::vector<moving_range> pieces;
  for (const moving_range& item : mRanges) {
    if (item.released && !IsHeld(aReport, item.range)) {
      pieces.push_back(item);
      continue;
    }
    auto split = Split(item, aReport);
    pieces.insert(pieces.end(), split.begin(), split.end());
  }
  mRanges = std::move(pieces);
}

bool key_handoffs::ReadyToCommit(bool aGrantsExpired) const
{
  return !mRanges.empty() &&
         std::all_of(mRanges.begin(), mRanges.end(),
                     [&](const moving_range& aItem) { return aItem.released || aGrantsExpired; });
}

std::vector<version::key_range> key_handoffs::PausedKeys() const
{
  std::vector<version::key_range> ranges;
  for (const moving_range& item : mRanges) {
    if (item.excludedFromGrant || item.released) {
      ranges.push_back(item.range);
    }
  }
  return ranges;
}

std::set<std::string> key_handoffs::Targets() const
{
  std::set<std::string> targets;
  for (const moving_range& item : mRanges) {
    targets.insert(item.target);
  }
  return targets;
}

std::vector<version::held_range> key_handoffs::Remaining(const version::key_owner& aOwner) const
{
  version::key_owner kept = aOwner;
  for (const moving_range& item : mRanges) {
    version::RemoveRange(&kept, item.range);
  }
  return kept.ranges;
}

void key_handoffs::ApplyTo(version::key_map* aMap, const std::string& aOwner) const
{
  version::key_owner* own = aMap->Owner(aOwner);
  if (own == nullptr) {
    return;
  }
  aMap->lastFence = aMap->lastFence.Next();
  for (const moving_range& item : mRanges) {
    version::key_owner* target = aMap->Owner(item.target);
    for (version::key_owner& other : aMap->owners) {
      target = target == nullptr && other.vm != own->vm ? &other : target;
    }
    if (target == nullptr) {
      continue;
    }
    for (const version::key_range& owned : version::RangesOf(*own)) {
      if (auto moved = version::Intersection(owned, item.range); moved.has_value()) {
        version::RemoveRange(own, *moved);
        version::AddRange(target, { *moved, aMap->lastFence, item.handover });
      }
    }
  }
}

void key_handoffs::DropMovedRanges(const version::key_map& aMap, const std::string& aOwner)
{
  std::erase_if(mRanges, [&](const moving_range& aItem) {
    const version::key_owner* owner = aMap.Find(aItem.range.first);
    return owner == nullptr || owner->vm != aOwner;
  });
}

} // namespace bamboograde::process::sidecar
