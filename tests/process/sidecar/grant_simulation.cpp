#include "process/sidecar/grant_simulation.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

using process::sidecar::grant_call;
using process::sidecar::grant_call_id;
using process::sidecar::grant_call_result;
using process::sidecar::grant_schedule;

constexpr size_t kNodes = 3;
constexpr size_t kRanges = 6;
constexpr uint32_t kRangeSize = 100;
constexpr common::milliseconds kHoldTime{ 2000 };
constexpr common::milliseconds kInheritedTime{ 2150 };
constexpr int64_t kLeaseUs = 2'800'000;
constexpr int64_t kAnnouncePeriodUs = 900'000;
constexpr int64_t kMaxLateUs = 4'000'000;
constexpr int64_t kStepUs = 40'000;

version::key_range RangeAt(size_t aIndex)
{
  auto first = uint32_t(aIndex) * kRangeSize;
  return { first, first + kRangeSize - 1 };
}

int64_t MicrosOf(common::boot_time aTime)
{
  return std::chrono::duration_cast<common::microseconds>(aTime.time_since_epoch()).count();
}

} // namespace

grant_simulation::grant_simulation(uint64_t aSeed, grant_guard aDisabledGuard)
  : mRandom(aSeed)
  , mDisabledGuard(aDisabledGuard)
  , mNodes(kNodes)
  , mLastToken(1)
{
  for (size_t range = 0; range < kRanges; ++range) {
    mOwner.push_back(range % kNodes);
    mTokens.push_back(mLastToken);
  }
  double slowest = mDisabledGuard == grant_guard::kDriftMargin ? 0.25 : 0.019;
  for (size_t index = 0; index < kNodes; ++index) {
    mNodes[index].clockStretch = 1 + slowest * (double(Random(2001)) / 1000 - 1);
    StartDaemon(index);
  }
}

void grant_simulation::At(int64_t aAtUs, std::function<void()> aAction)
{
  mEvents.push({ std::max(aAtUs, mNowUs), ++mOrder, std::move(aAction) });
}

void grant_simulation::StartDaemon(size_t aNode)
{
  node& self = mNodes[aNode];
  ++self.boot;
  self.schedule = std::make_unique<grant_schedule>(kHoldTime);
  self.knownIncarnation = 0;
  self.announceAtUs = mNowUs + Random(kAnnouncePeriodUs);
}

void grant_simulation::Announce(size_t aNode)
{
  node& self = mNodes[aNode];
  if (self.knownIncarnation != self.incarnation + 1) {
    bool first = self.knownIncarnation == 0 && mDisabledGuard != grant_guard::kWaitForInherited;
    self.schedule->OnStarted(first ? Now() + kInheritedTime : common::boot_time());
    self.knownIncarnation = self.incarnation + 1;
  }
  self.schedule->OnAnnouncement(Now());
}

std::vector<version::held_range> grant_simulation::RangesOf(size_t aNode) const
{
  std::vector<version::held_range> ranges;
  for (size_t range = 0; range < kRanges; ++range) {
    bool moving = std::any_of(mMoves.begin(), mMoves.end(),
                              [&](const moving_range& aMove) { return aMove.range == range; });
    if (mOwner[range] == aNode && !moving) {
      ranges.push_back({ RangeAt(range), mTokens[range], "" });
    }
  }
  return ranges;
}

void grant_simulation::StepDaemon(size_t aNode)
{
  node& self = mNodes[aNode];
  if (mNowUs < self.pausedUntilUs) {
    return;
  }
  if (mNowUs >= self.announceAtUs) {
    self.announceAtUs = mNowUs + kAnnouncePeriodUs;
    Announce(aNode);
  }
  bool reachable = mNowUs >= self.cutUntilUs;
  if (reachable && (mNowUs < self.leaseEndUs || !self.hasSession)) {
    // The witnesses renew the lease of a running daemon, and a lost session is replaced.
    self.hasSession = true;
    self.leaseEndUs = mNowUs + kLeaseUs;
  }
  if (self.knownIncarnation == 0 || mNowUs >= self.leaseEndUs) {
    return;
  }
  int64_t leaseUs =
    self.leaseEndUs + (mDisabledGuard == grant_guard::kWithinLease ? kLeaseUs / 2 : 0);
  auto leaseEnd = common::boot_time(std::chrono::microseconds(leaseUs));
  for (const grant_call& call : self.schedule->Due(RangesOf(aNode), leaseEnd, Now())) {
    Send(aNode, call);
  }
}

// A call arrives after a delay, if it does so before its connection is closed.
void grant_simulation::Send(size_t aNode, const grant_call& aCall)
{
  ++mResult.calls;
  int64_t closedAtUs = MicrosOf(aCall.deadline);
  bool closes = mDisabledGuard != grant_guard::kCloseAtDeadline;
  int64_t arrivesAtUs = mNowUs + (Chance(5) ? Random(closes ? 300'000 : 3'000'000) : Random(3000));
  unsigned incarnation = mNodes[aNode].incarnation;
  unsigned boot = mNodes[aNode].boot;
  if (!Chance(15) && (arrivesAtUs < closedAtUs || !closes)) {
    At(arrivesAtUs, [this, aNode, aCall, closedAtUs, incarnation, boot] {
      // The end of either process closes the connection.
      if (mNodes[aNode].incarnation == incarnation && mNodes[aNode].boot == boot) {
        Arrive(aNode, aCall, closedAtUs);
      }
    });
  }
  // Has no effect if the call was answered before.
  auto result = mDisabledGuard == grant_guard::kCountUnanswered
                  ? grant_call_result::kNotSent
                  : (aCall.purpose == grant_call::kind::kRelease &&
                         mDisabledGuard == grant_guard::kCompleteRelease
                       ? grant_call_result::kDone
                       : grant_call_result::kUnknown);
  Answer(aNode, aCall.id, result, closedAtUs);
}

void grant_simulation::Arrive(size_t aNode, const grant_call& aCall, int64_t aClosedAtUs)
{
  int64_t arrivedUs = mNowUs;
  int64_t appliedUs = mNowUs + (Chance(6) ? Random(kMaxLateUs) : 0);
  unsigned incarnation = mNodes[aNode].incarnation;
  At(appliedUs, [this, aNode, aCall, arrivedUs, aClosedAtUs, incarnation] {
    if (mNodes[aNode].incarnation != incarnation) {
      return;
    }
    if (aCall.purpose == grant_call::kind::kGrant) {
      Apply(aNode, aCall, arrivedUs);
    } else {
      Release(aNode, aCall);
    }
    int64_t answeredUs = mNowUs + Random(2000);
    if (!Chance(8) && answeredUs < aClosedAtUs) {
      Answer(aNode, aCall.id, grant_call_result::kDone, answeredUs);
    }
  });
}

void grant_simulation::Apply(size_t aNode, const grant_call& aCall, int64_t aArrivedUs)
{
  node& self = mNodes[aNode];
  auto holdUs = int64_t(double(aCall.holdTime.count()) * 1000 * self.clockStretch);
  self.applied.push_back({ aCall.range.range, aCall.range.token, aArrivedUs + holdUs });
}

void grant_simulation::Release(size_t aNode, const grant_call& aCall)
{
  std::vector<applied_grant>& applied = mNodes[aNode].applied;
  std::erase_if(applied, [&](const applied_grant& aGrant) {
    return version::Intersection(aGrant.range, aCall.range.range).has_value() &&
           aGrant.token <= aCall.range.token;
  });
}

void grant_simulation::Answer(size_t aNode, grant_call_id aCall, grant_call_result aResult,
                              int64_t aAtUs)
{
  At(aAtUs, [this, aNode, aCall, aResult, boot = mNodes[aNode].boot] {
    node& self = mNodes[aNode];
    if (self.boot != boot) {
      return;
    }
    if (mNowUs < self.pausedUntilUs) {
      Answer(aNode, aCall, aResult, self.pausedUntilUs);
      return;
    }
    self.schedule->OnResult(aCall, aResult, "", Now());
  });
}

bool grant_simulation::MayHoldRange(size_t aNode, size_t aRange) const
{
  const node& self = mNodes[aNode];
  // A daemon that has not heard of its upstream can not know what it holds.
  return self.knownIncarnation == 0 || self.schedule->MayHold(RangeAt(aRange).first, Now());
}

void grant_simulation::CommitMoves()
{
  std::erase_if(mMoves, [this](const moving_range& aMove) {
    bool paused = mNowUs < mNodes[aMove.from].pausedUntilUs;
    if (mOwner[aMove.range] != aMove.from) {
      return true;
    }
    if (paused || MayHoldRange(aMove.from, aMove.range)) {
      return false;
    }
    mLastToken = mLastToken.Next();
    mOwner[aMove.range] = aMove.to;
    mTokens[aMove.range] = mLastToken;
    ++mResult.moves;
    return true;
  });
}

// Gives the ranges of daemons whose leases have expired to another daemon.
void grant_simulation::TakeOver()
{
  for (size_t lost = 0; lost < kNodes; ++lost) {
    if (mNowUs < mNodes[lost].leaseEndUs || !mNodes[lost].hasSession || mNowUs < kLeaseUs * 2) {
      continue;
    }
    mNodes[lost].hasSession = false;
    mLastToken = mLastToken.Next();
    for (size_t range = 0; range < kRanges; ++range) {
      if (mOwner[range] == lost) {
        mOwner[range] = (lost + 1 + size_t(Random(kNodes - 1))) % kNodes;
        mTokens[range] = mLastToken;
        ++mResult.takeovers;
      }
    }
  }
}

void grant_simulation::Fault()
{
  auto index = size_t(Random(kNodes));
  node& self = mNodes[index];
  switch (Random(5)) {
    case 0:
      self.pausedUntilUs = mNowUs + Random(5'000'000);
      break;
    case 1:
      StartDaemon(index);
      break;
    case 3:
      self.cutUntilUs = mNowUs + Random(5'000'000);
      break;
    case 2:
      ++self.incarnation;
      self.applied.clear();
      if (mDisabledGuard != grant_guard::kDisconnect) {
        self.schedule->OnDisconnected();
      }
      break;
    default:
      mMoves.push_back({ mOwner[index], (mOwner[index] + 1) % kNodes, index });
      mMoves.push_back(
        { mOwner[index + kNodes], (mOwner[index + kNodes] + 1) % kNodes, index + kNodes });
      break;
  }
}

void grant_simulation::CheckHolders()
{
  for (size_t range = 0; range < kRanges; ++range) {
    uint32_t key = RangeAt(range).first;
    size_t holders = 0;
    for (const node& item : mNodes) {
      holders += std::any_of(item.applied.begin(), item.applied.end(),
                             [&](const applied_grant& aGrant) {
                               return aGrant.range.Contains(key) && mNowUs < aGrant.untilUs;
                             })
                   ? 1
                   : 0;
    }
    mResult.twoHolders += holders > 1 ? 1 : 0;
  }
}

grant_exploration grant_simulation::Run(size_t aSteps)
{
  for (size_t step = 0; step < aSteps; ++step) {
    int64_t untilUs = mNowUs + Random(kStepUs);
    while (!mEvents.empty() && mEvents.top().atUs <= untilUs) {
      event next = mEvents.top();
      mEvents.pop();
      mNowUs = next.atUs;
      next.action();
    }
    mNowUs = untilUs;
    for (size_t index = 0; index < kNodes; ++index) {
      StepDaemon(index);
    }
    CommitMoves();
    TakeOver();
    if (Chance(25)) {
      Fault();
    }
    CheckHolders();
    ++mResult.steps;
  }
  return mResult;
}

} // namespace bamboograde::tests
