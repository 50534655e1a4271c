// Simulates daemons that grant keys to their upstreams by calls, under a seeded schedule of faults:
// calls are lost, applied late, answered late or not at all; daemons pause, restart and lose their
// leases; upstreams restart; clocks run at different rates; ranges move between the daemons.
#pragma once

#include "common/random.h"
#include "process/sidecar/grant_schedule.h"

#include <functional>
#include <memory>
#include <queue>

namespace bamboograde::tests {

// Rules of the channel, each of which a run can disable.
enum class grant_guard
{
  // No rule is disabled.
  kNone,
  // A grant without a response counts as possibly applied.
  kCountUnanswered,
  // A new daemon process waits for the grants of the former one to end.
  kWaitForInherited,
  // The upstream's clock is at most 2 % slow.
  kDriftMargin,
  // The connection of a call without a response is closed at its deadline.
  kCloseAtDeadline,
  // Only a complete response shows that keys were released.
  kCompleteRelease,
  // Grants end before the lease.
  kWithinLease,
  // After its connection was closed, an upstream is granted nothing until it announces itself.
  kDisconnect,
};

struct grant_exploration
{
  uint64_t steps = 0;
  uint64_t moves = 0;
  uint64_t takeovers = 0;
  // Steps after which two upstreams held the same key.
  uint64_t twoHolders = 0;
  // Grants and releases that were sent.
  uint64_t calls = 0;
};

class grant_simulation
{
public:
  grant_simulation(uint64_t aSeed, grant_guard aDisabledGuard);
  grant_exploration Run(size_t aSteps);

private:
  // A grant that an upstream has applied.
  struct applied_grant
  {
    version::key_range range;
    version::fencing_token token;
    int64_t untilUs;
  };
  struct node
  {
    std::unique_ptr<process::sidecar::grant_schedule> schedule;
    // Number of the daemon process and of the upstream's incarnation.
    unsigned boot = 0;
    unsigned incarnation = 0;
    // The incarnation that the daemon knows.
    unsigned knownIncarnation = 0;
    int64_t pausedUntilUs = 0;
    // Until then the daemon does not reach its witnesses.
    int64_t cutUntilUs = 0;
    int64_t announceAtUs = 0;
    int64_t leaseEndUs = 0;
    bool hasSession = true;
    // Real duration of a second by the upstream's clock.
    double clockStretch = 1;
    std::vector<applied_grant> applied;
  };
  struct moving_range
  {
    size_t from;
    size_t to;
    size_t range;
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
  common::boot_time Now() const { return common::boot_time(std::chrono::microseconds(mNowUs)); }
  void At(int64_t aAtUs, std::function<void()> aAction);
  void StartDaemon(size_t aNode);
  void StepDaemon(size_t aNode);
  void Announce(size_t aNode);
  void Send(size_t aNode, const process::sidecar::grant_call& aCall);
  void Arrive(size_t aNode, const process::sidecar::grant_call& aCall, int64_t aClosedAtUs);
  void Apply(size_t aNode, const process::sidecar::grant_call& aCall, int64_t aArrivedUs);
  void Release(size_t aNode, const process::sidecar::grant_call& aCall);
  void Answer(size_t aNode, process::sidecar::grant_call_id aCall,
              process::sidecar::grant_call_result aResult, int64_t aAtUs);
  std::vector<version::held_range> RangesOf(size_t aNode) const;
  bool MayHoldRange(size_t aNode, size_t aRange) const;
  void CommitMoves();
  void TakeOver();
  void Fault();
  void CheckHolders();

  common::seeded_random mRandom;
  grant_guard mDisabledGuard;
  std::vector<node> mNodes;
  // Owner and token of each range.
  std::vector<size_t> mOwner;
  std::vector<version::fencing_token> mTokens;
  version::fencing_token mLastToken;
  std::vector<moving_range> mMoves;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  int64_t mNowUs = 1'000'000;
  uint64_t mOrder = 0;
  grant_exploration mResult;
};

} // namespace bamboograde::tests
