// Simulates daemons that share a row's limit. The limiters and the allocator are the production
// code; messages take a millisecond each way and may be lost.
#pragma once

#include "common/event_queue.h"
#include "common/random.h"
#include "process/control/limit_claims.h"
#include "request/row_limiter.h"

namespace bamboograde::tests {

class limit_simulation
{
public:
  // aLossInterval: on average one of this many messages is lost; 0: no message is lost.
  limit_simulation(size_t aDaemons, uint64_t aSeed, unsigned aLossInterval);
  // Simulates the next millisecond, in which the daemon aReceiver gets aRequests of the row.
  void Step(size_t aReceiver, unsigned aRequests);
  int64_t NowMs() const { return mMs; }
  uint64_t Passed() const { return mPassed; }
  // Claims that the allocator has answered.
  uint64_t Claims() const { return mClaims; }
  // Sum of the shares that are in use now.
  double SharesInUse() const;

private:
  struct daemon
  {
    request::row_limiter limiter;
    request::limit_report report;
    double share = 0;
    common::boot_time until;
    uint64_t applied = 0;
  };

  void Send(std::function<void()> aMessage);
  void Claim(size_t aWho);
  void OnClaim(size_t aWho, const limit_claim& aClaim, common::boot_time aClaimedAt);
  void UseShare(size_t aWho, double aShare, uint64_t aSequence, common::boot_time aClaimedAt);

  common::seeded_random mRandom;
  unsigned mLossInterval;
  int64_t mMs = 0;
  uint64_t mSequence = 0;
  uint64_t mPassed = 0;
  uint64_t mClaims = 0;
  limit_allocator mAllocator;
  std::vector<daemon> mDaemons;
  event_queue mMessages;
};

} // namespace bamboograde::tests
