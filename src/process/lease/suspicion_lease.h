// Bounds an owner's lease by suspicions in the key map, so that its keys can be taken over even if
// its witnesses are lost.
//
// A daemon that finds an owner silent commits a suspicion of the owner's session to the key map.
// The owner relies on its lease only for a bounded time after the last moment at which no owner can
// have acted on a suspicion of it. The other owners wait for longer than that before they assign
// its keys, and they do so only if the suspicion is still in the map.
#pragma once

#include "common/clock.h"
#include "version/key_map.h"

#include <map>
#include <string>
#include <vector>

namespace bamboograde::process::lease {

using version::suspicion_id;

struct suspicion_terms
{
  // Nominal time from the commit of a suspicion to the takeover.
  common::milliseconds term{ 6000 };
  // Largest tolerated deviation of a clock's rate from real time, as a fraction.
  double maxDrift = 0.02;

  // Time for which an owner relies on a confirmation, by its clock.
  common::microseconds HolderTerm() const
  {
    return common::microseconds(int64_t(double(term.count()) * 1000 * (1 - maxDrift)));
  }
  // Time for which a daemon waits after it has learned of a suspicion, by its clock.
  common::microseconds TakerTerm() const
  {
    return common::microseconds(int64_t(double(term.count()) * 1000 * (1 + maxDrift)));
  }
  // Upper bound, on this daemon's clock, of an age that another daemon has measured on its own.
  common::microseconds RelayedAge(common::microseconds aAge) const
  {
    return common::microseconds(int64_t(double(aAge.count()) * (1 + maxDrift) / (1 - maxDrift)));
  }
};

// At some moment not before `at`, `version` was the newest version of a key map in the platform.
struct map_confirmation
{
  common::row_version version;
  common::boot_time at;
};

// The owner's side: until when no other owner can have taken its keys because of a suspicion.
//
// A confirmation counts only if the known map is at least as new and has no suspicion of the owner.
// When the platform is unreachable, responses of all daemons that may take keys take its place: a
// daemon whose map is not newer has learned of no suspicion yet, and would have to wait for the
// whole term.
class suspicion_lease
{
public:
  explicit suspicion_lease(suspicion_terms aTerms)
    : mTerms(aTerms)
  {
  }
  // Another daemon, which knew aVersion of the map, responded to a message sent at aSentAt.
  void OnPeerResponse(const std::string& aVm, common::row_version aVersion,
                      common::boot_time aSentAt);
  // Must be called while the known map, of version aKnown, has no suspicion of this owner.
  // aPeers: VMs of the other owners in that map, and of all daemons that may become owners.
  void OnUnsuspected(common::row_version aKnown, const map_confirmation& aConfirmation,
                     const std::vector<std::string>& aPeers, common::boot_time aNow);
  common::boot_time ConfirmedAt() const { return mConfirmedAt; }
  common::boot_time End() const { return mConfirmedAt + mTerms.HolderTerm(); }

private:
  // `at`: when the message was sent that the owner responded to.
  std::map<std::string, map_confirmation> mResponses;
  suspicion_terms mTerms;
  common::boot_time mConfirmedAt;
};

// The side of the daemons that may take the keys: how long each suspicion has been known here.
class suspicion_watch
{
public:
  explicit suspicion_watch(suspicion_terms aTerms)
    : mTerms(aTerms)
  {
  }
  // Must be called for each version of the map. aSuspicions: those in the map; the wait for any
  // other one starts again if it comes back.
  void OnMap(const std::vector<suspicion_id>& aSuspicions, common::boot_time aNow);
  bool MayTake(const suspicion_id& aSuspicion, common::boot_time aNow) const;
  // When the suspicion became known here.
  common::boot_time KnownSince(const suspicion_id& aSuspicion) const;

private:
  suspicion_terms mTerms;
  std::map<suspicion_id, common::boot_time> mKnownSince;
};

} // namespace bamboograde::process::lease
