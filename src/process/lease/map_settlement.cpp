#include "process/lease/map_settlement.h"

#include "version/key_map_restore.h"

#include <algorithm>

namespace bamboograde::process::lease {

void map_settlement::OnMap(const version::key_map& aMap, common::boot_time aNow)
{
  if (mEra.has_value() && aMap.version.Era() <= *mEra) {
    return;
  }
  mEra = aMap.version.Era();
  mOthersEndedAt = aNow + mTerms.TakerTerm();
  mRetaining.clear();
}

void map_settlement::OnRetained(const std::string& aVm, common::row_version aMap)
{
  if (mEra == aMap.Era()) {
    mRetaining.insert(aVm);
  }
}

bool map_settlement::MaySettle(const version::key_map& aMap, common::boot_time aNow) const
{
  return mEra == aMap.version.Era() && (aNow >= mOthersEndedAt || AllRetained(aMap));
}

bool map_settlement::AllRetained(const version::key_map& aMap) const
{
  auto isFromBefore = [&aMap](const version::held_range& aRange) {
    return !version::IsIssuedSince(aMap.version.Era(), aRange.token);
  };
  return aMap.Unowned().empty() &&
         std::all_of(aMap.owners.begin(), aMap.owners.end(), [&](const version::key_owner& aOwner) {
           return HasReported(aOwner.vm) ||
                  std::none_of(aOwner.ranges.begin(), aOwner.ranges.end(), isFromBefore);
         });
}

} // namespace bamboograde::process::lease
