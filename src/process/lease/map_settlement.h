// When an owner may settle a key map that was restored after the platform returned from an older
// copy, so that keys may be given to other owners again.
//
// Changes of owners that were lost may be missing in the map, and an owner that has not heard of
// the return may go on by them. Either all keys have been reported by those that the map names as
// their owners, each of which is then the only one; or the owners that have not heard of the map
// have ended, as their leases are confirmed only by daemons that have not heard of it either (see
// suspicion_lease).
#pragma once

#include "process/lease/suspicion_lease.h"

#include <optional>
#include <set>

namespace bamboograde::process::lease {

class map_settlement
{
public:
  explicit map_settlement(suspicion_terms aTerms)
    : mTerms(aTerms)
  {
  }
  // Must be called for each known map.
  void OnMap(const version::key_map& aMap, common::boot_time aNow);
  // An owner retains all keys of its entry in aMap, or in an earlier map of that era, that have
  // tokens of earlier eras.
  void OnRetained(const std::string& aVm, common::row_version aMap);
  bool HasReported(const std::string& aVm) const { return mRetaining.count(aVm) > 0; }
  bool MaySettle(const version::key_map& aMap, common::boot_time aNow) const;

private:
  bool AllRetained(const version::key_map& aMap) const;

  suspicion_terms mTerms;
  std::optional<common::store_era> mEra;
  // When every owner that has not heard of the map of this era has ended.
  common::boot_time mOthersEndedAt;
  // Owners that have reported in this era.
  std::set<std::string> mRetaining;
};

} // namespace bamboograde::process::lease
