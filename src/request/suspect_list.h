// Requests that were in flight when an upstream crashed, so that a request which crashes upstreams
// does not reach them again and again.
//
// A crash does not show which request caused it, so every request in flight becomes a suspect of
// it, once, however many equal requests were in flight. A request that completes caused none of the
// crashes known at that time; later crashes count again. A request that is suspected of several
// crashes is refused.
//
// A refused request can not complete and show that it is harmless. Therefore one of them at a time
// may run as a trial, after a delay that grows with each failed trial. After kMaxFailedTrials it is
// refused until the crashes expire.
#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "common/json.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace bamboograde::request {

class suspect_list
{
public:
  static constexpr unsigned kMaxCrashes = 2;
  static constexpr unsigned kMaxFailedTrials = 3;
  // How long it is a VM's turn to run the trial. The trial begins within kTrialWindow, so that the
  // next VM has heard of its failure before its own turn.
  static constexpr common::milliseconds kTrialTurn{ 5000 };
  static constexpr common::milliseconds kTrialWindow{ 3000 };

  // Records a crash while the request was in flight. Returns the number of crashes of which it is
  // suspected.
  unsigned Add(uint64_t aFingerprint, common::crash_id aCrash, common::boot_time aNow);
  // The request has completed: it is not suspected of the known crashes any more, here and on
  // daemons that merge this list. Returns whether it was suspected.
  bool Clear(uint64_t aFingerprint, common::boot_time aNow);
  unsigned Crashes(uint64_t aFingerprint) const;
  bool IsSuspect(uint64_t aFingerprint) const { return Crashes(aFingerprint) > 0; }
  bool IsRefused(uint64_t aFingerprint) const { return Crashes(aFingerprint) >= kMaxCrashes; }

  // The turn in which a trial of the refused request may begin now, counted from 0. Empty while
  // none is due or one is running on this daemon.
  std::optional<uint64_t> TrialTurn(uint64_t aFingerprint, common::boot_time aNow) const;
  void BeginTrial(uint64_t aFingerprint);
  // aFailed: the connection broke while the request was running.
  void EndTrial(uint64_t aFingerprint, bool aFailed, common::boot_time aNow);

  // Must be called at least every few seconds.
  void Expire(common::boot_time aNow);
  bool Empty() const { return mEntries.empty(); }
  size_t Size() const { return mEntries.size(); }
  // Format: [{"fingerprint": hex, "suspected": {crash id in hex: time left in ms}, "cleared": the
  // same, "failed_trials": n}]; empty members are omitted.
  common::json Export(common::boot_time aNow) const;
  // Merges another daemon's list. Returns the requests that have become suspects of a crash or
  // cleared of all by it.
  std::vector<uint64_t> Import(const common::json& aList, common::boot_time aNow);

private:
  struct crash
  {
    bool cleared = false;
    common::boot_time expiresAt;
  };
  struct entry
  {
    std::map<common::crash_id, crash> crashes;
    unsigned failedTrials = 0;
    bool onTrial = false;
    common::boot_time trialAt;
  };

  static unsigned Suspected(const entry& aEntry);
  static void Clear(crash* aCrash, common::boot_time aNow);
  // Merges one crash of another daemon's list; the crash expires there in aLeft.
  static void Merge(entry* aEntry, common::crash_id aCrash, bool aCleared,
                    common::milliseconds aLeft, common::boot_time aNow);
  // The entry of a fingerprint; the list is kept within its size.
  entry& Touch(uint64_t aFingerprint);

  // By fingerprint.
  std::unordered_map<uint64_t, entry> mEntries;
  common::boot_time mExpireAt;
};

// The VM that runs the trial in this turn: the same one on all daemons, so that trials do not run
// side by side. Empty if aVms is empty.
std::string ChooseTrialVm(std::vector<std::string> aVms, uint64_t aFingerprint, uint64_t aTurn);

} // namespace bamboograde::request
