// Decides when what the platform or a peer says of the operator's evacuations counts.
//
// After the platform has returned from an older copy, a row may be missing, or be back, until the
// operator writes it again. A difference between what was known before and the rows that are read
// first in the new era therefore counts only some time later, if it is still there. So does a
// difference that a peer reports before this daemon has read the rows itself.
#pragma once

#include "process/sidecar/fleet_state.h"

#include <set>

namespace bamboograde::process::sidecar {

class evacuation_sync
{
public:
  explicit evacuation_sync(fleet_state& aFleet)
    : mFleet(aFleet)
  {
  }
  // The platform has reported the present state of a row.
  void OnRow(const common::zone_name& aZone, const zone_evacuation& aEvacuation,
             common::boot_time aNow);
  // All rows have been read and reported, as of aVersion or later: those of aZones and no others.
  void OnRowsRead(const std::set<common::zone_name>& aZones, common::row_version aVersion,
                  common::boot_time aNow);
  // A peer knows this of the zone.
  void OnPeerReport(const common::zone_name& aZone, const zone_evacuation& aEvacuation,
                    common::boot_time aNow);
  // Must be called often.
  void Tick(common::boot_time aNow);

private:
  std::optional<zone_evacuation> Known(const common::zone_name& aZone) const;
  // Whether the rows of this era have not been read completely yet.
  bool IsUnread(common::store_era aEra) const { return !mRead.has_value() || mRead->Era() < aEra; }
  void Apply(const common::zone_name& aZone, const zone_evacuation& aEvacuation);
  void Hold(const common::zone_name& aZone, const zone_evacuation& aEvacuation,
            common::boot_time aNow);

  fleet_state& mFleet;
  // Version of the table when all rows were first read in the latest era.
  std::optional<common::row_version> mRead;
  // States that do not count yet.
  std::map<common::zone_name, zone_evacuation> mHeld;
  // When the held states count.
  common::boot_time mCountsAt;
};

} // namespace bamboograde::process::sidecar
