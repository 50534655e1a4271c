#include "process/control/limit_simulation.h"

#include "version/table_rows.h"

namespace bamboograde::tests {

namespace {

constexpr int64_t kReportPeriodMs = 200;
constexpr int64_t kOneWayDelayMs = 1;

} // namespace

limit_simulation::limit_simulation(size_t aDaemons, uint64_t aSeed, unsigned aLossInterval)
  : mRandom(aSeed)
  , mLossInterval(aLossInterval)
  , mDaemons(aDaemons)
{
  auto table = MakeTable({ MakeRow(kRow.Str().c_str(), "*", 1, kLimit) });
  for (daemon& item : mDaemons) {
    item.limiter.SetTable(*table, common::service_name("routes"));
  }
}

void limit_simulation::Step(size_t aReceiver, unsigned aRequests)
{
  ++mMs;
  mMessages.RunUntil(AtMs(mMs));
  for (unsigned i = 0; i < aRequests; ++i) {
    mPassed += mDaemons[aReceiver].limiter.TryTake(kRow, AtMs(mMs)) ? 1 : 0;
  }
  for (size_t who = 0; who < mDaemons.size(); ++who) {
    bool changed = mDaemons[who].limiter.SampleDemand(AtMs(mMs));
    // Daemons report at different times.
    if (changed || (mMs + int64_t(who) * 37) % kReportPeriodMs == 0) {
      mDaemons[who].report = mDaemons[who].limiter.TakeReports(AtMs(mMs)).front();
      Claim(who);
    }
  }
}

double limit_simulation::SharesInUse() const
{
  double sum = 0;
  for (const daemon& item : mDaemons) {
    sum += item.until > AtMs(mMs) ? item.share : 0;
  }
  return sum;
}

void limit_simulation::Send(std::function<void()> aMessage)
{
  if (mLossInterval == 0 || mRandom.Below(mLossInterval) > 0) {
    mMessages.At(AtMs(mMs + kOneWayDelayMs), std::move(aMessage));
  }
}

void limit_simulation::Claim(size_t aWho)
{
  limit_claim claim = tests::Claim(int(aWho), mDaemons[aWho].report.demandPerSecond, ++mSequence,
                                   mDaemons[aWho].applied);
  Send([this, aWho, claim, now = AtMs(mMs)] { OnClaim(aWho, claim, now); });
}

void limit_simulation::OnClaim(size_t aWho, const limit_claim& aClaim, common::boot_time aClaimedAt)
{
  ++mClaims;
  double share = mAllocator.Grant(kRow, kLimit, aClaim, Sessions(int(mDaemons.size())), AtMs(mMs));
  Send([this, aWho, share, sequence = aClaim.sequence, aClaimedAt] {
    UseShare(aWho, share, sequence, aClaimedAt);
  });
  for (const common::session_id& session :
       mAllocator.SessionsToPrompt(kRow, kLimit, aClaim.session, AtMs(mMs))) {
    auto who = size_t(std::stoul(session.Str().substr(1)));
    Send([this, who] { Claim(who); });
  }
}

void limit_simulation::UseShare(size_t aWho, double aShare, uint64_t aSequence,
                                common::boot_time aClaimedAt)
{
  daemon& own = mDaemons[aWho];
  if (aSequence <= own.applied) {
    return;
  }
  bool confirmReduction = process::control::ShouldConfirmReduction(own.share, aShare);
  own.applied = aSequence;
  own.share = aShare;
  own.until = aClaimedAt + kShareTerm;
  own.limiter.SetShare(kRow, aShare, own.until);
  if (confirmReduction) {
    Claim(aWho);
  }
}

} // namespace bamboograde::tests
