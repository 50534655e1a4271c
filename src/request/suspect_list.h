// Requests that were running when an upstream crashed.
//
// The crash names no culprit, so every request in flight becomes a suspect. Suspects run one at a
// time; a second crash then has one suspect, and a request with two crashes is not run again.
#pragma once

#include "common/clock.h"
#include "common/json.h"

#include <unordered_map>

namespace bamboograde::request {

class suspect_list
{
public:
  static constexpr unsigned kMaxCrashes = 2;

  // aFingerprint was in flight when an upstream crashed. Returns its crashes so far.
  unsigned Add(uint64_t aFingerprint, common::boot_time aNow);
  // Takes over another daemon's count when it is higher.
  void Merge(uint64_t aFingerprint, unsigned aCrashes, common::boot_time aNow,
             bool aCleared = false);
  // The request completed: it is no longer suspected, here or where this list is merged.
  void Clear(uint64_t aFingerprint);
  unsigned Crashes(uint64_t aFingerprint) const;
  bool IsSuspect(uint64_t aFingerprint) const { return Crashes(aFingerprint) > 0; }
  bool IsRefused(uint64_t aFingerprint) const { return Crashes(aFingerprint) >= kMaxCrashes; }
  void Expire(common::boot_time aNow);
  bool Empty() const { return mCrashes.empty(); }
  // [{"fingerprint": hex, "crashes": n, "cleared": bool}]
  common::json Export() const;
  void Import(const common::json& aList, common::boot_time aNow);

private:
  struct entry
  {
    unsigned crashes = 0;
    // It has completed since it became a suspect. One that crashes upstreams never does.
    bool cleared = false;
    common::boot_time expiresAt;
  };
  std::unordered_map<uint64_t, entry> mCrashes;
};

} // namespace bamboograde::request
