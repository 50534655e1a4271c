#include "process/sidecar/evacuation_sync.h"

#include <utility>

namespace bamboograde::process::sidecar {

namespace {

// Time for the operator to write its rows again after the platform has returned from an older copy.
constexpr common::milliseconds kRewriteTime{ 2000 };

bool NamesReturns(common::row_version aVersion)
{
  return aVersion.Era() != common::store_era();
}

} // namespace

std::optional<zone_evacuation> evacuation_sync::Known(const common::zone_name& aZone) const
{
  auto found = mFleet.Evacuations().find(aZone);
  return found == mFleet.Evacuations().end() ? std::nullopt : std::optional(found->second);
}

void evacuation_sync::Apply(const common::zone_name& aZone, const zone_evacuation& aEvacuation)
{
  auto held = mHeld.find(aZone);
  if (held != mHeld.end() && held->second.version <= aEvacuation.version) {
    mHeld.erase(held);
  }
  mFleet.ApplyEvacuation(aZone, aEvacuation);
}

void evacuation_sync::Hold(const common::zone_name& aZone, const zone_evacuation& aEvacuation,
                           common::boot_time aNow)
{
  auto held = mHeld.find(aZone);
  bool isNew = held == mHeld.end() || held->second.version.Era() < aEvacuation.version.Era();
  if (isNew) {
    mCountsAt = aNow + kRewriteTime;
  }
  if (isNew || held->second.version < aEvacuation.version) {
    mHeld[aZone] = aEvacuation;
  }
}

void evacuation_sync::OnRow(const common::zone_name& aZone, const zone_evacuation& aEvacuation,
                            common::boot_time aNow)
{
  common::store_era era = aEvacuation.version.Era();
  auto held = mHeld.find(aZone);
  if (!IsUnread(era)) {
    bool isReadAgain = held != mHeld.end() && held->second.active == aEvacuation.active &&
                       aEvacuation.version <= *mRead;
    if (!isReadAgain) {
      Apply(aZone, aEvacuation);
    }
    return;
  }
  std::optional<zone_evacuation> known = Known(aZone);
  bool isUnknown = !mRead.has_value() && !known.has_value();
  bool isKnownInEra = known.has_value() && known->version.Era() == era;
  bool contradicts = mFleet.IsEvacuated(aZone) != aEvacuation.active;
  if (!contradicts || isKnownInEra || !NamesReturns(aEvacuation.version)) {
    Apply(aZone, aEvacuation);
    return;
  }
  if (isUnknown) {
    // A process that has just started goes by the row, unless a peer knows anything else.
    mFleet.ApplyEvacuation(
      aZone, { common::row_version(aEvacuation.version.Value()), aEvacuation.active });
  }
  Hold(aZone, aEvacuation, aNow);
}

void evacuation_sync::OnRowsRead(const std::set<common::zone_name>& aZones,
                                 common::row_version aVersion, common::boot_time aNow)
{
  bool isFirstInEra = IsUnread(aVersion.Era());
  std::erase_if(mHeld, [&](const auto& aItem) {
    const zone_evacuation& held = aItem.second;
    bool isRemoved = held.active && aZones.count(aItem.first) == 0 && held.version <= aVersion;
    return held.version.Era() < aVersion.Era() || isRemoved;
  });
  auto known = mFleet.Evacuations();
  for (const auto& [zone, evacuation] : known) {
    bool isRemoved = evacuation.active && aZones.count(zone) == 0 && evacuation.version < aVersion;
    bool isHeld = !isFirstInEra && mHeld.count(zone) > 0;
    if (isRemoved && !isHeld) {
      OnRow(zone, { aVersion, false }, aNow);
    }
  }
  if (isFirstInEra) {
    mRead = aVersion;
    mCountsAt = aNow + kRewriteTime;
  }
}

void evacuation_sync::OnPeerReport(const common::zone_name& aZone,
                                   const zone_evacuation& aEvacuation, common::boot_time aNow)
{
  std::optional<zone_evacuation> known = Known(aZone);
  if (known.has_value() && known->version >= aEvacuation.version) {
    return;
  }
  bool contradicts = mFleet.IsEvacuated(aZone) != aEvacuation.active;
  bool isOlderThanRead = mRead.has_value() && NamesReturns(*mRead) && aEvacuation.version <= *mRead;
  if (!isOlderThanRead) {
    common::store_era era = aEvacuation.version.Era();
    bool knewBefore = known.has_value() ? known->version.Era() < era : mRead.has_value();
    if (contradicts && knewBefore && IsUnread(era)) {
      Hold(aZone, aEvacuation, aNow);
    } else {
      Apply(aZone, aEvacuation);
    }
    return;
  }
  // The platform may have lost this before its return; what it has now counts later.
  bool mayBeLost = NamesReturns(aEvacuation.version) && aEvacuation.version.Era() < mRead->Era() &&
                   aNow < mCountsAt;
  if (mayBeLost) {
    if (aEvacuation.active && mHeld.count(aZone) == 0) {
      mHeld[aZone] = { *mRead, false };
    }
    mFleet.ApplyEvacuation(aZone, aEvacuation);
  }
}

void evacuation_sync::Tick(common::boot_time aNow)
{
  if (mHeld.empty() || aNow < mCountsAt) {
    return;
  }
  for (const auto& [zone, evacuation] : std::exchange(mHeld, {})) {
    // Otherwise the platform has returned once more, and its rows are being read again.
    if (evacuation.version.Era() == mFleet.Era()) {
      mFleet.ApplyEvacuation(zone, evacuation);
    }
  }
}

} // namespace bamboograde::process::sidecar
