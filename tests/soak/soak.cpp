#include "soak/soak.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace bamboograde::tests {

namespace {

const std::vector<std::string> kServices = { "keyed", "keyed", "keyed", "keyed", "plain", "plain" };
constexpr common::milliseconds kStep{ 10 };
constexpr unsigned kRequestsPerStep = 3;
constexpr common::milliseconds kStartTime{ 8000 };
// The target: nine tenths are served again within 5 s of the last fault; all of it with the time
// that leases of killed daemons need on top.
constexpr common::milliseconds kRecoveryTime{ 8000 };
constexpr uint64_t kCheckedKeys = 64;

} // namespace

soak::soak(uint64_t aSeed, common::milliseconds aLength)
  : mRandom(aSeed)
  , mLength(aLength)
  , mFleet(kServices)
  , mTraffic(mFleet, mRandom)
  , mVms(kServices.size())
{
}

common::milliseconds soak::Between(uint64_t aLeastMs, uint64_t aMostMs)
{
  return common::milliseconds(int64_t(aLeastMs + mRandom.Below(aMostMs - aLeastMs + 1)));
}

void soak::Note(const std::string& aWhat)
{
  auto at = std::chrono::duration_cast<common::milliseconds>(mFleet.loop.Now() - mStartedAt);
  mHistory.push_back(fmt::format("{:>6} ms  {}", at.count(), aWhat));
}

std::vector<std::string> soak::Run()
{
  mFleet.RunUntil([this] { return mFleet.WholeSpaceHeld(); }, kStartTime, "all keys held");
  mStartedAt = mFleet.loop.Now();
  mNextFault = mStartedAt;
  while (mFleet.loop.Now() < mStartedAt + mLength) {
    Step();
  }
  EndFaults(true);
  Note("all faults have ended");
  CheckRecovery();
  mTraffic.CheckRuns();
  mViolations.insert(mViolations.end(), mTraffic.Violations().begin(), mTraffic.Violations().end());
  if (!mViolations.empty()) {
    mViolations.insert(mViolations.end(), mHistory.begin(), mHistory.end());
  }
  return mViolations;
}

std::string soak::Summary() const
{
  return fmt::format("sent {} served {} faults {}", mTraffic.Sent(), mTraffic.Served(),
                     mHistory.size());
}

void soak::Step()
{
  mFleet.RunFor(kStep);
  CheckHolders();
  EndFaults(false);
  if (mFleet.loop.Now() >= mNextFault) {
    mNextFault = mFleet.loop.Now() + Between(50, 900);
    Inject();
  }
  for (unsigned i = 0; i < kRequestsPerStep; ++i) {
    size_t vm = size_t(mRandom.Below(mVms.size()));
    if (mVms[vm].daemon != daemon_state::kDown) {
      mTraffic.Send(vm);
    }
  }
}

void soak::Inject()
{
  size_t vm = size_t(mRandom.Below(mVms.size()));
  switch (mRandom.Below(6)) {
    case 0:
    case 1:
    case 2:
      InjectDaemonFault(vm);
      return;
    case 3:
    case 4:
      InjectUpstreamFault(vm);
      return;
    default:
      InjectTableFault();
  }
}

void soak::InjectDaemonFault(size_t aVm)
{
  vm_state& state = mVms[aVm];
  if (state.daemon != daemon_state::kRunning) {
    return;
  }
  common::boot_time now = mFleet.loop.Now();
  switch (mRandom.Below(3)) {
    case 0:
      mFleet.vms[aVm]->KillDaemon();
      state.daemon = daemon_state::kDown;
      state.daemonUntil = now + Between(0, 1500);
      Note(fmt::format("daemon {} killed", aVm));
      return;
    case 1:
      mFleet.vms[aVm]->PauseDaemon();
      state.daemon = daemon_state::kPaused;
      state.daemonUntil = now + Between(100, 3000);
      Note(fmt::format("daemon {} paused", aVm));
      return;
    default:
      mFleet.vms[aVm]->StopDaemon();
      state.daemon = daemon_state::kStopping;
      Note(fmt::format("daemon {} terminated", aVm));
  }
}

void soak::InjectUpstreamFault(size_t aVm)
{
  vm_state& state = mVms[aVm];
  if (!state.upstreamUp || state.upstreamLeaving) {
    return;
  }
  common::boot_time now = mFleet.loop.Now();
  if (mRandom.Below(2) == 0) {
    mFleet.vms[aVm]->upstream->Crash();
    state.upstreamUp = false;
    state.upstreamUntil = now + Between(100, 2000);
    Note(fmt::format("upstream {} crashed", aVm));
  } else {
    mFleet.vms[aVm]->upstream->Leave();
    state.upstreamLeaving = true;
    state.upstreamUntil = now + Between(2200, 3000);
    Note(fmt::format("upstream {} leaves", aVm));
  }
}

void soak::InjectTableFault()
{
  switch (mRandom.Below(4)) {
    case 0:
      mFleet.table.SetDown(true);
      mTableUntil = mFleet.loop.Now() + Between(100, 2500);
      Note("table service down");
      return;
    case 1:
      mFleet.table.LoseAnswers(unsigned(1 + mRandom.Below(3)));
      Note("table service loses answers");
      return;
    case 2:
      mFleet.table.DropHistory();
      Note("table service forgets its history");
      return;
    default:
      mFleet.Configure(++mConfigVersion);
      Note("configuration changed");
  }
}

void soak::EndFaults(bool aAll)
{
  common::boot_time now = mFleet.loop.Now();
  for (size_t vm = 0; vm < mVms.size(); ++vm) {
    vm_state& state = mVms[vm];
    bool stopped = state.daemon == daemon_state::kStopping && mFleet.vms[vm]->DaemonEnded();
    bool due = state.daemon != daemon_state::kStopping && (aAll || now >= state.daemonUntil);
    if (stopped || (due && state.daemon != daemon_state::kRunning)) {
      RestoreDaemon(vm);
    }
    if ((!state.upstreamUp || state.upstreamLeaving) && (aAll || now >= state.upstreamUntil)) {
      RestoreUpstream(vm);
    }
  }
  if (aAll || now >= mTableUntil) {
    mFleet.table.SetDown(false);
    mFleet.table.LoseAnswers(0);
  }
}

void soak::RestoreDaemon(size_t aVm)
{
  if (mVms[aVm].daemon == daemon_state::kPaused) {
    mFleet.vms[aVm]->ResumeDaemon();
  } else {
    mFleet.vms[aVm]->StartDaemon();
  }
  mVms[aVm].daemon = daemon_state::kRunning;
  Note(fmt::format("daemon {} runs again", aVm));
}

void soak::RestoreUpstream(size_t aVm)
{
  mFleet.vms[aVm]->upstream->Crash();
  if (!mFleet.vms[aVm]->upstream->Start().has_value()) {
    mViolations.push_back(fmt::format("upstream {} can not listen again", aVm));
  }
  mVms[aVm].upstreamUp = true;
  mVms[aVm].upstreamLeaving = false;
  Note(fmt::format("upstream {} runs again", aVm));
}

void soak::CheckHolders()
{
  for (uint64_t i = 0; i < kCheckedKeys; ++i) {
    auto key = uint32_t(mRandom.Below(version::kKeyPositions));
    auto holders = std::count_if(mFleet.vms.begin(), mFleet.vms.end(),
                                 [key](const auto& aVm) { return aVm->upstream->Holds(key); });
    if (holders > 1) {
      mViolations.push_back(fmt::format("key {} has {} holders", key, holders));
      Note(mViolations.back());
      return;
    }
  }
}

bool soak::EverythingServes()
{
  bool ended = std::all_of(mVms.begin(), mVms.end(), [](const vm_state& aState) {
    return aState.daemon == daemon_state::kRunning;
  });
  return ended && mTraffic.Idle() && mFleet.WholeSpaceHeld();
}

void soak::CheckRecovery()
{
  common::boot_time until = mFleet.loop.Now() + kRecoveryTime;
  while (!EverythingServes() && mFleet.loop.Now() < until) {
    mFleet.RunFor(kStep);
    CheckHolders();
    EndFaults(true);
  }
  if (!EverythingServes()) {
    mViolations.push_back("not everything is held again in time");
    return;
  }
  for (size_t vm = 0; vm < mVms.size(); ++vm) {
    for (bool keyed : { false, true }) {
      const char* path = keyed ? "/keyed/x" : "/plain/x";
      fleet_answer answer = mFleet.Ask(vm, "GET", path, keyed ? "4711" : "");
      while (answer.status != 200 && mFleet.loop.Now() < until) {
        mFleet.RunFor(kStep);
        answer = mFleet.Ask(vm, "GET", path, keyed ? "4711" : "");
      }
      if (answer.status != 200) {
        mViolations.push_back(
          fmt::format("VM {} answers {} to {} after all faults", vm, answer.status, path));
      }
    }
  }
}

} // namespace bamboograde::tests
