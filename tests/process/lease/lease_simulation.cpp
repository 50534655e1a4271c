#include "process/lease/lease_simulation.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kRenewPeriodUs = 500 * kMs;
// Largest drift of a clock, as a fraction of the tolerated drift.
constexpr double kUsedDriftFraction = 0.9;
constexpr size_t kSetSize = 3;

} // namespace

lease_simulation::lease_simulation(uint64_t aSeed, size_t aProcesses, lease_guard aDisabledGuard,
                                   double aMaxDrift)
  : mRandom(aSeed)
  , mDisabledGuard(aDisabledGuard)
  , mProcesses(aProcesses)
  , mRows(aProcesses)
{
  mTerms.maxDrift = mDisabledGuard == lease_guard::kDriftMargin ? 0 : aMaxDrift;
  for (size_t i = 0; i < aProcesses; ++i) {
    mProcesses[i].clockRate = 1 + (2 * mRandom.Unit() - 1) * kUsedDriftFraction * aMaxDrift;
    mProcesses[i].holder = std::make_unique<process::lease::lease_holder>(mTerms);
    Start(i);
  }
  for (size_t i = 0; i < aProcesses; ++i) {
    mRows[i].witnesses = RandomSet(i);
    mProcesses[i].holder->SetWitnesses(mRows[i].witnesses);
    At(Random(kRenewPeriodUs), [this, i] { Renew(i); });
    At(1000 * kMs + Random(3000 * kMs), [this, i] { ChangeWitnesses(i); });
    At(2500 * kMs + Random(500 * kMs), [this, i] { TakeOver(i); });
  }
  At(500 * kMs, [this] { Fault(); });
}

common::boot_time lease_simulation::Local(size_t aProcess) const
{
  return common::FromMicros(int64_t(double(mNowUs) * mProcesses[aProcess].clockRate));
}

version::witness_ref lease_simulation::RefOf(size_t aProcess) const
{
  return { common::endpoint("p" + std::to_string(aProcess)), mProcesses[aProcess].boot };
}

size_t lease_simulation::ProcessOf(const version::witness_ref& aRef) const
{
  return std::stoul(aRef.control.Str().substr(1));
}

common::session_id lease_simulation::SessionOf(size_t aProcess) const
{
  return common::session_id("s" + std::to_string(aProcess));
}

void lease_simulation::At(int64_t aAtUs, std::function<void()> aAction)
{
  mEvents.push({ aAtUs, mOrder++, std::move(aAction) });
}

void lease_simulation::SendTo(size_t aProcess, const std::function<void()>& aAction)
{
  int copies = Random(100) < 95 ? 1 : 2;
  for (int i = 0; i < copies; ++i) {
    if (Random(100) < 12) {
      continue;
    }
    int64_t delay = Random(30 * kMs) + (Random(100) < 6 ? Random(4000 * kMs) : 0);
    At(mNowUs + delay, [=, this] {
      int64_t until = mProcesses[aProcess].pausedUntilUs;
      if (until > mNowUs) {
        At(until, aAction);
      } else {
        aAction();
      }
    });
  }
}

void lease_simulation::SendToPlatform(const std::function<void()>& aAction)
{
  if (Random(100) < 88) {
    At(mNowUs + Random(100 * kMs) + (Random(100) < 6 ? Random(4000 * kMs) : 0), aAction);
  }
}

void lease_simulation::Start(size_t aProcess)
{
  process_state& state = mProcesses[aProcess];
  unsigned start = ++state.starts;
  if (mDisabledGuard == lease_guard::kNewBootPerStart) {
    start = 1;
  }
  state.boot = common::boot_id("b" + std::to_string(start));
  common::boot_time startedAt = Local(aProcess);
  if (mDisabledGuard == lease_guard::kWaitForEarlierBoot) {
    startedAt -= std::chrono::hours(1);
  }
  state.witness = std::make_unique<process::lease::lease_witness>(mTerms, state.boot, startedAt);
}

process::lease::witness_set lease_simulation::RandomSet(size_t aHolder)
{
  std::vector<size_t> others;
  for (size_t i = 0; i < mProcesses.size(); ++i) {
    if (i != aHolder) {
      others.push_back(i);
    }
  }
  process::lease::witness_set chosen;
  for (size_t i = 0; i < std::min(kSetSize, others.size()); ++i) {
    std::swap(others[i], others[i + size_t(Random(int64_t(others.size() - i)))]);
    chosen.push_back(RefOf(others[i]));
  }
  return chosen;
}

void lease_simulation::Renew(size_t aHolder)
{
  process_state& state = mProcesses[aHolder];
  if (state.lost) {
    return;
  }
  common::boot_time sentAt = Local(aHolder);
  for (const version::witness_ref& witness : state.holder->RenewalTargets()) {
    SendTo(ProcessOf(witness), [=, this] { ReceiveRenewal(aHolder, witness, sentAt); });
  }
  At(std::max(mNowUs + kRenewPeriodUs, state.pausedUntilUs), [this, aHolder] { Renew(aHolder); });
}

void lease_simulation::ReceiveRenewal(size_t aHolder, const version::witness_ref& aWitness,
                                      common::boot_time aSentAt)
{
  size_t index = ProcessOf(aWitness);
  auto answer =
    mProcesses[index].witness->OnRenew(SessionOf(aHolder), aWitness.boot, {}, {}, Local(index));
  if (answer != process::lease::renewal_answer::kRenewed) {
    return;
  }
  SendTo(aHolder, [=, this] {
    bool fromReceipt = mDisabledGuard == lease_guard::kCountFromSending;
    mProcesses[aHolder].holder->OnRenewed(aWitness, fromReceipt ? Local(aHolder) : aSentAt);
  });
}

void lease_simulation::ChangeWitnesses(size_t aHolder)
{
  process_state& state = mProcesses[aHolder];
  if (!state.lost && !state.holder->ChangePending()) {
    auto next = RandomSet(aHolder);
    if (mDisabledGuard != lease_guard::kHoldUnderBothSets) {
      state.holder->BeginChange(next);
    } else {
      state.holder->SetWitnesses(next);
    }
    SubmitChange(aHolder, next);
  }
  int64_t again = mNowUs + 500 * kMs + Random(3500 * kMs);
  At(std::max(again, state.pausedUntilUs), [this, aHolder] { ChangeWitnesses(aHolder); });
}

void lease_simulation::SubmitChange(size_t aHolder, const process::lease::witness_set& aNext)
{
  uint64_t version = mProcesses[aHolder].rowVersion;
  // The operation is retried until its outcome is known, as after a lost response.
  auto resolved = std::make_shared<bool>(false);
  auto submit = std::make_shared<std::function<void()>>();
  *submit = [=, this] {
    process_state& state = mProcesses[aHolder];
    if (*resolved || state.lost) {
      return;
    }
    SendToPlatform([=, this] {
      platform_session& row = mRows[aHolder];
      if (!row.takenOver && row.version == version) {
        row.witnesses = aNext;
        ++row.version;
      }
      bool takenOver = row.takenOver;
      SendTo(aHolder, [=, this] {
        process_state& holder = mProcesses[aHolder];
        if (*resolved) {
          return;
        }
        *resolved = true;
        holder.lost = holder.lost || takenOver;
        if (!takenOver) {
          holder.rowVersion = version + 1;
          holder.holder->EndChange(true);
        }
      });
    });
    At(std::max(mNowUs + 300 * kMs, state.pausedUntilUs), *submit);
  };
  (*submit)();
}

void lease_simulation::TakeOver(size_t aTaker)
{
  size_t lost = size_t(Random(int64_t(mRows.size())));
  platform_session& row = mRows[lost];
  if (!row.takenOver && lost != aTaker) {
    boost::intrusive_ptr<version::session_row> copy(new version::session_row());
    copy->witnesses = row.witnesses;
    auto attempt =
      std::make_shared<process::lease::takeover>(copy, common::row_version(row.version));
    for (const version::witness_ref& witness : row.witnesses) {
      size_t index = ProcessOf(witness);
      SendTo(index, [=, this] {
        auto answer =
          mProcesses[index].witness->OnRevoke(SessionOf(lost), witness.boot, Local(index));
        if (answer != process::lease::revocation_answer::kPromised) {
          return;
        }
        if (mDisabledGuard == lease_guard::kKeepPromise) {
          // The witness loses its promises but keeps its boot id.
          mProcesses[index].witness = std::make_unique<process::lease::lease_witness>(
            mTerms, mProcesses[index].boot, Local(index));
        }
        SendTo(aTaker, [=, this] {
          attempt->OnPromise(witness);
          if (!attempt->Ready()) {
            return;
          }
          SendToPlatform([=, this] {
            platform_session& target = mRows[lost];
            bool unchanged = target.version == attempt->RowVersion().Value();
            bool allowed = unchanged || mDisabledGuard == lease_guard::kConditionalCommit;
            if (!target.takenOver && allowed) {
              target.takenOver = true;
              ++mResult.takeovers;
            }
          });
        });
      });
    }
  }
  int64_t again = mNowUs + 200 * kMs + Random(1500 * kMs);
  At(std::max(again, mProcesses[aTaker].pausedUntilUs), [this, aTaker] { TakeOver(aTaker); });
}

void lease_simulation::Fault()
{
  size_t index = size_t(Random(int64_t(mProcesses.size())));
  if (Random(100) < 60) {
    mProcesses[index].pausedUntilUs = mNowUs + 500 * kMs + Random(5500 * kMs);
  } else {
    // The restarted process goes on as a witness only; its session is lost.
    Start(index);
    mProcesses[index].lost = true;
    mProcesses[index].holder = std::make_unique<process::lease::lease_holder>(mTerms);
  }
  At(mNowUs + 500 * kMs + Random(4000 * kMs), [this] { Fault(); });
}

void lease_simulation::CheckOwners()
{
  for (size_t i = 0; i < mProcesses.size(); ++i) {
    const process_state& state = mProcesses[i];
    if (mRows[i].takenOver && !state.lost && state.holder->LeaseEnd() > Local(i)) {
      ++mResult.twoOwners;
    }
  }
}

exploration lease_simulation::Run(size_t aSteps)
{
  for (size_t i = 0; i < aSteps && !mEvents.empty(); ++i) {
    event next = mEvents.top();
    mEvents.pop();
    mNowUs = next.atUs;
    next.action();
    CheckOwners();
    ++mResult.steps;
  }
  return mResult;
}

} // namespace bamboograde::tests
