// Runs real daemons as processes under random faults, and checks their promises meanwhile.
//
// Faults overlap: daemons are killed, paused, terminated and started again; upstreams crash, leave
// and return; the platform's table service is down, loses answers and forgets its history; the
// configuration changes. Checked at every step: no key has two holders; at the end: a booking ran
// once at most, what was answered as not run did not run, every answer is that of its own request;
// and after the last fault everything is served again in time.
#pragma once

#include "soak/soak_traffic.h"

namespace bamboograde::tests {

class soak
{
public:
  soak(uint64_t aSeed, common::milliseconds aLength);
  // Broken promises, one line each; empty when all held.
  std::vector<std::string> Run();
  std::string Summary() const;

private:
  enum class daemon_state
  {
    kRunning,
    kPaused,
    kStopping,
    kDown,
  };
  struct vm_state
  {
    daemon_state daemon = daemon_state::kRunning;
    bool upstreamUp = true;
    bool upstreamLeaving = false;
    // When the present fault of the daemon or the upstream ends.
    common::boot_time daemonUntil;
    common::boot_time upstreamUntil;
  };

  void Step();
  void Inject();
  void InjectDaemonFault(size_t aVm);
  void InjectUpstreamFault(size_t aVm);
  void InjectTableFault();
  void EndFaults(bool aAll);
  void RestoreDaemon(size_t aVm);
  void RestoreUpstream(size_t aVm);
  void CheckHolders();
  void CheckRecovery();
  bool EverythingServes();
  common::milliseconds Between(uint64_t aLeastMs, uint64_t aMostMs);
  void Note(const std::string& aWhat);

  common::seeded_random mRandom;
  common::milliseconds mLength;
  fleet_fixture mFleet;
  soak_traffic mTraffic;
  std::vector<vm_state> mVms;
  common::boot_time mTableUntil;
  common::boot_time mNextFault;
  uint64_t mConfigVersion = 1;
  std::vector<std::string> mViolations;
  // What was done when, for the trace of a failure.
  std::vector<std::string> mHistory;
  common::boot_time mStartedAt;
};

} // namespace bamboograde::tests
