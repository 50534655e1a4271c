#include "process/lease/suspicion_lease.h"

#include <algorithm>

namespace bamboograde::process::lease {

void suspicion_lease::OnPeerResponse(const std::string& aVm, common::row_version aVersion,
                                     common::boot_time aSentAt)
{
  map_confirmation& response = mResponses[aVm];
  if (aSentAt >= response.at) {
    response = { aVersion, aSentAt };
  }
}

void suspicion_lease::OnUnsuspected(common::row_version aKnown,
                                    const map_confirmation& aConfirmation,
                                    const std::vector<std::string>& aPeers, common::boot_time aNow)
{
  if (aConfirmation.version <= aKnown) {
    mConfirmedAt = std::max(mConfirmedAt, aConfirmation.at);
  }
  common::boot_time allRespondedAt = aNow;
  for (const std::string& vm : aPeers) {
    auto found = mResponses.find(vm);
    if (found == mResponses.end() || found->second.version > aKnown) {
      return;
    }
    allRespondedAt = std::min(allRespondedAt, found->second.at);
  }
  mConfirmedAt = std::max(mConfirmedAt, allRespondedAt);
}

void suspicion_watch::OnMap(const std::vector<suspicion_id>& aSuspicions, common::boot_time aNow)
{
  std::map<suspicion_id, common::boot_time> knownSince;
  for (const suspicion_id& suspicion : aSuspicions) {
    auto found = mKnownSince.find(suspicion);
    knownSince[suspicion] = found == mKnownSince.end() ? aNow : found->second;
  }
  mKnownSince = std::move(knownSince);
}

bool suspicion_watch::MayTake(const suspicion_id& aSuspicion, common::boot_time aNow) const
{
  auto found = mKnownSince.find(aSuspicion);
  return found != mKnownSince.end() && aNow >= found->second + mTerms.TakerTerm();
}

common::boot_time suspicion_watch::KnownSince(const suspicion_id& aSuspicion) const
{
  auto found = mKnownSince.find(aSuspicion);
  return found == mKnownSince.end() ? common::boot_time() : found->second;
}

} // namespace bamboograde::process::lease
