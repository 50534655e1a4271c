// Requests that were running when an upstream crashed, so that a request which crashes upstreams is
// not run again and again.
//
// A crash does not show which request caused it, so every request in flight becomes a suspect.
// Suspects run one at a time. A second crash then has only one suspect, and a request with two
// crashes is refused.
#pragma once

#include "common/clock.h"
#include "common/json.h"

#include <unordered_map>

namespace bamboograde::request {

class suspect_list
{
public:
  static constexpr unsigned kMaxCrashes = 2;

  // Records a crash while the request was in flight. Returns its number of crashes so far.
  unsigned Add(uint64_t aFingerprint, common::boot_time aNow);
  // Merges another daemon's entry: the higher count wins, and a request cleared by either is
  // cleared.
  void Merge(uint64_t aFingerprint, unsigned aCrashes, common::boot_time aNow,
             bool aCleared = false);
  // The request has completed: it is no longer a suspect, here and on daemons that merge this list.
  void Clear(uint64_t aFingerprint);
  unsigned Crashes(uint64_t aFingerprint) const;
  bool IsSuspect(uint64_t aFingerprint) const { return Crashes(aFingerprint) > 0; }
  bool IsRefused(uint64_t aFingerprint) const { return Crashes(aFingerprint) >= kMaxCrashes; }
  void Expire(common::boot_time aNow);
  bool Empty() const { return mEntries.empty(); }
  // Format: [{"fingerprint": hex, "crashes": n, "cleared": bool}]
  common::json Export() const;
  void Import(const common::json& aList, common::boot_time aNow);

private:
  struct entry
  {
    unsigned crashes = 0;
    // The request has completed since it became a suspect, so it did not cause the crash.
    bool cleared = false;
    common::boot_time expiresAt;
  };
  // By fingerprint.
  std::unordered_map<uint64_t, entry> mEntries;
};

} // namespace bamboograde::request
