#include "process/sidecar/key_departures.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

bool Holds(const announcement& aAnnouncement, const version::key_range& aRange)
{
  return std::any_of(aAnnouncement.holds.begin(), aAnnouncement.holds.end(),
                     [&aRange](const version::held_range& aHeld) {
                       return version::Common(aHeld.range, aRange).has_value();
                     });
}

} // namespace

void key_departures::Add(const std::vector<version::key_assignment>& aPlan)
{
  for (const version::key_assignment& planned : aPlan) {
    mParts.push_back({ planned.range, planned.vm, "" });
  }
}

void key_departures::OnLeftOut()
{
  for (part& item : mParts) {
    item.leftOut = true;
  }
}

std::vector<key_departures::part> key_departures::Split(const part& aPart,
                                                        const announcement& aAnnouncement)
{
  std::vector<part> pieces;
  // Each key goes into one piece, however often the upstream names it.
  version::key_owner rest;
  rest.ranges.push_back({ aPart.range, {}, "" });
  for (const released_range& released : aAnnouncement.released) {
    for (const version::key_range& open : version::RangesOf(rest)) {
      auto cut = version::Common(open, released.range);
      if (cut.has_value() && !Holds(aAnnouncement, *cut)) {
        pieces.push_back({ *cut, aPart.target, released.handover, true, aPart.leftOut });
        version::TakeRange(&rest, *cut);
      }
    }
  }
  for (const version::key_range& left : version::RangesOf(rest)) {
    bool released = !Holds(aAnnouncement, left);
    pieces.push_back({ left, aPart.target, "", released, aPart.leftOut });
  }
  return pieces;
}

void key_departures::OnAnnouncement(const announcement& aAnnouncement)
{
  std::vector<part> pieces;
  for (const part& item : mParts) {
    if (item.released && !Holds(aAnnouncement, item.range)) {
      pieces.push_back(item);
      continue;
    }
    auto split = Split(item, aAnnouncement);
    pieces.insert(pieces.end(), split.begin(), split.end());
  }
  mParts = std::move(pieces);
}

bool key_departures::Ready(bool aGrantsLapsed) const
{
  return !mParts.empty() && std::all_of(mParts.begin(), mParts.end(), [&](const part& aItem) {
    return aItem.released || aGrantsLapsed;
  });
}

std::vector<version::key_range> key_departures::HeldBack() const
{
  std::vector<version::key_range> ranges;
  for (const part& item : mParts) {
    if (item.leftOut || item.released) {
      ranges.push_back(item.range);
    }
  }
  return ranges;
}

std::set<std::string> key_departures::Targets() const
{
  std::set<std::string> targets;
  for (const part& item : mParts) {
    targets.insert(item.target);
  }
  return targets;
}

std::vector<version::held_range> key_departures::Remaining(const version::key_owner& aOwner) const
{
  version::key_owner kept = aOwner;
  for (const part& item : mParts) {
    version::TakeRange(&kept, item.range);
  }
  return kept.ranges;
}

void key_departures::Commit(version::key_map* aMap, const std::string& aOwner) const
{
  version::key_owner* own = aMap->Owner(aOwner);
  if (own == nullptr) {
    return;
  }
  aMap->lastFence = aMap->lastFence.Next();
  for (const part& item : mParts) {
    version::key_owner* target = aMap->Owner(item.target);
    for (version::key_owner& other : aMap->owners) {
      target = target == nullptr && other.vm != own->vm ? &other : target;
    }
    if (target == nullptr) {
      continue;
    }
    for (const version::key_range& owned : version::RangesOf(*own)) {
      if (auto moved = version::Common(owned, item.range); moved.has_value()) {
        version::TakeRange(own, *moved);
        version::GiveRange(target, { *moved, aMap->lastFence, item.handover });
      }
    }
  }
}

void key_departures::DropDeparted(const version::key_map& aMap, const std::string& aOwner)
{
  std::erase_if(mParts, [&](const part& aItem) {
    const version::key_owner* owner = aMap.Find(aItem.range.first);
    return owner == nullptr || owner->vm != aOwner;
  });
}

} // namespace bamboograde::process::sidecar
