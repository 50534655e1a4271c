// Simulates owners that suspect each other and take over keys without witnesses, under a seeded
// schedule of faults: daemons pause and restart, the fleet splits into two groups, daemons do not
// reach the platform, messages and writes are late, clocks run at different rates. Daemons suspect
// others without reason, so that a takeover from a running owner is attempted often.
#pragma once

#include "common/random.h"
#include "process/lease/suspicion_lease.h"

#include <functional>
#include <optional>
#include <queue>

namespace bamboograde::tests {

// Rules of the takeover, each of which a run can disable.
enum class suspicion_guard
{
  // No rule is disabled.
  kNone,
  // An owner's lease ends some time after its last confirmation.
  kHolderTerm,
  // A taker waits after it has learned of the suspicion.
  kTakerTerm,
  // Each suspicion has its own id.
  kUniqueId,
  // A confirmation counts from when the call was sent.
  kSentAt,
  // A relayed confirmation counts from when the platform was read.
  kRelayedAge,
  // A confirmation of a newer map than the known one does not count.
  kKnownMap,
  // Without the platform, all other owners must have responded.
  kAllOwners,
  // An owner whose map is newer does not confirm the lease.
  kOwnersMap,
  // A daemon confirms the lease of others only if its map was confirmed since it started.
  kConfirmedSinceStart,
  // A suspected owner's lease is not confirmed.
  kUnsuspected,
  // A takeover is committed only if the map has not changed.
  kCondition,
  // Clocks are at most 2 % slow or fast.
  kDrift,
};

struct suspicion_exploration
{
  uint64_t steps = 0;
  uint64_t takeovers = 0;
  uint64_t withdrawals = 0;
  // Times at which an owner relied on its lease while it had not reached the platform for longer
  // than a term.
  uint64_t heldWithoutPlatform = 0;
  uint64_t twoHolders = 0;
};

class suspicion_simulation
{
public:
  suspicion_simulation(uint64_t aSeed, suspicion_guard aDisabledGuard);
  suspicion_exploration Run(size_t aSteps);

private:
  static constexpr size_t kNodes = 4;
  struct owner_entry
  {
    bool listed = true;
    process::lease::suspicion_id suspicion;
  };
  struct map_row
  {
    common::row_version version{ 1 };
    std::vector<owner_entry> owners = std::vector<owner_entry>(kNodes);
    // Owner of each key; there are as many keys as daemons.
    std::vector<size_t> keys;
  };
  struct node
  {
    node();
    process::lease::suspicion_lease ownLease;
    process::lease::suspicion_watch watch;
    map_row map;
    process::lease::map_confirmation confirmation;
    unsigned boot = 0;
    // On this daemon's clock.
    common::boot_time startedAt;
    double rate = 1;
    int64_t pausedUntilUs = 0;
    int64_t cutUntilUs = 0;
    int64_t platformReadUs = 0;
    // On this daemon's clock: until when its upstream may hold each key.
    std::vector<common::boot_time> holds = std::vector<common::boot_time>(kNodes);
  };
  struct event
  {
    int64_t atUs;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const event& aOther) const
    {
      return atUs != aOther.atUs ? atUs > aOther.atUs : order > aOther.order;
    }
  };

  int64_t Random(int64_t aBelow) { return int64_t(mRandom.Below(uint64_t(aBelow))); }
  bool Chance(int64_t aOneIn) { return Random(aOneIn) == 0; }
  bool IsOff(suspicion_guard aGuard) const { return aGuard == mDisabledGuard; }
  common::boot_time Now(const node& aNode) const;
  // Runs the action later, at a daemon once it is not paused; never if it restarts before.
  void AtNode(size_t aNode, int64_t aDelayUs, std::function<void()> aAction);
  void At(int64_t aDelayUs, std::function<void()> aAction);
  int64_t NetworkDelay();
  bool Connected(size_t aLeft, size_t aRight) const;
  void Step(size_t aNode);
  void ReadPlatform(size_t aNode);
  void Compare(size_t aNode, size_t aPeer);
  void Learn(size_t aNode, const map_row& aMap);
  // Changes the known map and commits it, if the daemon reaches the platform.
  void Commit(size_t aNode, const std::function<void(map_row*)>& aChange);
  void Suspect(size_t aNode);
  void TakeOver(size_t aNode);
  void Restart(node& aNode);
  void Fault();
  void CheckHolders();

  common::seeded_random mRandom;
  suspicion_guard mDisabledGuard;
  std::vector<node> mNodes;
  map_row mRow;
  uint64_t mLastSuspicion = 0;
  int64_t mSplitUntilUs = 0;
  std::vector<bool> mSide;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  int64_t mNowUs = 100'000'000;
  uint64_t mOrder = 0;
  suspicion_exploration mResult;
};

} // namespace bamboograde::tests
