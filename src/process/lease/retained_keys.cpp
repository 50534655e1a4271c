#include "process/lease/retained_keys.h"

#include <algorithm>
#include <utility>

namespace bamboograde::process::lease {

namespace {

// The parts of aRange that are in aHolder with the same token.
std::vector<version::held_range> CommonParts(const version::key_owner& aHolder,
                                             const version::held_range& aRange)
{
  std::vector<version::held_range> parts;
  for (const version::held_range& held : aHolder.ranges) {
    auto part = version::Intersection(held.range, aRange.range);
    if (part.has_value() && held.token == aRange.token) {
      parts.push_back({ *part, aRange.token, aRange.handover });
    }
  }
  return parts;
}

} // namespace

void retained_keys::OnReturn(std::optional<version::key_owner> aHolder,
                             std::vector<version::held_range> aUndecided)
{
  mHolder = std::move(aHolder);
  mEntered = false;
  mUndecided.ranges.clear();
  if (mHolder.has_value()) {
    mUndecided.ranges = std::move(aUndecided);
  }
}

void retained_keys::OnNotHandedOff()
{
  for (const version::held_range& range : std::exchange(mUndecided.ranges, {})) {
    version::AddRange(&*mHolder, range);
    mEntered = false;
  }
}

void retained_keys::OnMap(const version::key_map& aMap)
{
  if (!mHolder.has_value()) {
    return;
  }
  for (const version::key_owner& owner : aMap.owners) {
    for (const version::held_range& range : owner.ranges) {
      if (version::IsIssuedSince(aMap.version.Era(), range.token)) {
        version::RemoveRange(&*mHolder, range.range);
        version::RemoveRange(&mUndecided, range.range);
      }
    }
  }
  mEntered = mEntered || IsIn(aMap);
}

bool retained_keys::IsIn(const version::key_map& aMap) const
{
  const version::key_owner* entry = aMap.Owner(mHolder->vm);
  if (entry == nullptr || entry->session != mHolder->session ||
      entry->upstream != mHolder->upstream || entry->witnesses != mHolder->witnesses) {
    return false;
  }
  version::key_owner missing = *mHolder;
  for (const version::held_range& range : entry->ranges) {
    for (const version::held_range& part : CommonParts(*mHolder, range)) {
      version::RemoveRange(&missing, part.range);
    }
  }
  return missing.ranges.empty();
}

bool retained_keys::MayGrant(const version::held_range& aRange, common::store_era aEra) const
{
  version::key_owner entry;
  entry.ranges.push_back(aRange);
  return Grantable(entry, aEra) == entry.ranges;
}

std::vector<version::held_range> retained_keys::Grantable(const version::key_owner& aEntry,
                                                          common::store_era aEra) const
{
  std::vector<version::held_range> grantable;
  for (const version::held_range& range : aEntry.ranges) {
    // Joins the parts of this range only: the upstream holds the others as they are.
    version::key_owner whole;
    if (version::IsIssuedSince(aEra, range.token)) {
      whole.ranges.push_back(range);
    } else if (mHolder.has_value()) {
      for (const version::held_range& part : CommonParts(*mHolder, range)) {
        version::AddRange(&whole, part);
      }
    }
    grantable.insert(grantable.end(), whole.ranges.begin(), whole.ranges.end());
  }
  return grantable;
}

} // namespace bamboograde::process::lease
