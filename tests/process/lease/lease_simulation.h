// Simulates several processes that run the decision code of the lease protocol, under a seeded
// schedule of faults: messages are lost, duplicated and delayed, processes pause and restart,
// clocks run at different rates, witness sets change, responses of the platform are lost, and
// takeovers race.
#pragma once

#include "common/random.h"
#include "process/lease/lease_holder.h"
#include "process/lease/lease_witness.h"
#include "process/lease/takeover.h"

#include <functional>
#include <memory>
#include <queue>

namespace bamboograde::tests {

// Rules of the protocol, each of which a run can disable.
enum class lease_guard
{
  // No rule is disabled.
  kNone,
  // The holder counts the term from the sending of a renewal, not from the receipt of the response.
  kCountFromSending,
  // A witness keeps its promises as long as it keeps its boot id.
  kKeepPromise,
  // While a change of the witness set is pending, the lease must be valid under both sets.
  kHoldUnderBothSets,
  // A takeover is committed only if the session's row is unchanged.
  kConditionalCommit,
  // Each start of a process has a new boot id.
  kNewBootPerStart,
  // After a restart, a witness promises on behalf of an earlier start only after a full term.
  kWaitForEarlierBoot,
  // The terms of holder and witness allow for the drift of their clocks.
  kDriftMargin,
};

struct exploration
{
  uint64_t steps = 0;
  uint64_t takeovers = 0;
  // Steps after which a holder still relied on the lease of a session that had been taken over.
  uint64_t twoOwners = 0;
};

class lease_simulation
{
public:
  // aMaxDrift: relative drift that the protocol tolerates. The clocks use most of it.
  lease_simulation(uint64_t aSeed, size_t aProcesses, lease_guard aDisabledGuard, double aMaxDrift);
  exploration Run(size_t aSteps);

private:
  struct platform_session
  {
    process::lease::witness_set witnesses;
    uint64_t version = 1;
    bool takenOver = false;
  };
  struct process_state
  {
    common::boot_id boot;
    unsigned starts = 0;
    int64_t pausedUntilUs = 0;
    // Rate of the process's clock relative to simulated time.
    double clockRate = 1;
    std::unique_ptr<process::lease::lease_witness> witness;
    std::unique_ptr<process::lease::lease_holder> holder;
    uint64_t rowVersion = 1;
    bool lost = false;
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

  common::boot_time Local(size_t aProcess) const;
  version::witness_ref RefOf(size_t aProcess) const;
  size_t ProcessOf(const version::witness_ref& aRef) const;
  common::session_id SessionOf(size_t aProcess) const;
  void At(int64_t aAtUs, std::function<void()> aAction);
  // Sends a message to a process. It may be lost, duplicated or delayed, and waits while the
  // process is paused.
  void SendTo(size_t aProcess, const std::function<void()>& aAction);
  void SendToPlatform(const std::function<void()>& aAction);
  void Start(size_t aProcess);
  void Renew(size_t aHolder);
  void ReceiveRenewal(size_t aHolder, const version::witness_ref& aWitness,
                      common::boot_time aSentAt);
  void ChangeWitnesses(size_t aHolder);
  void SubmitChange(size_t aHolder, const process::lease::witness_set& aNext);
  void TakeOver(size_t aTaker);
  void Fault();
  void CheckOwners();
  int64_t Random(int64_t aBelow) { return int64_t(mRandom.Below(uint64_t(aBelow))); }
  process::lease::witness_set RandomSet(size_t aHolder);

  common::seeded_random mRandom;
  lease_guard mDisabledGuard;
  process::lease::lease_terms mTerms;
  std::vector<process_state> mProcesses;
  std::vector<platform_session> mRows;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  int64_t mNowUs = 0;
  uint64_t mOrder = 0;
  exploration mResult;
};

} // namespace bamboograde::tests
