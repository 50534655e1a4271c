#include "process/lease/suspicion_simulation.h"

#include <algorithm>

namespace bamboograde::tests {

namespace lease = process::lease;

namespace {

constexpr int64_t kStepUs = 60'000;
// Longest time after which a write is performed.
constexpr int64_t kLateWriteUs = 5'000'000;
constexpr int64_t kLongUs = 16'000'000;
// Time for which a grant holds, unless the lease ends before.
constexpr common::milliseconds kHoldTime{ 2000 };

} // namespace

suspicion_simulation::node::node()
  : ownLease(lease::suspicion_terms())
  , watch(lease::suspicion_terms())
{
}

suspicion_simulation::suspicion_simulation(uint64_t aSeed, suspicion_guard aDisabledGuard)
  : mRandom(aSeed)
  , mDisabledGuard(aDisabledGuard)
  , mNodes(kNodes)
  , mSide(kNodes)
{
  double drift = IsOff(suspicion_guard::kDrift) ? 0.2 : 0.02;
  for (size_t i = 0; i < kNodes; ++i) {
    mRow.keys.push_back(i);
    mNodes[i].rate = 1 + drift * (double(Random(2001)) / 1000 - 1);
  }
  for (node& self : mNodes) {
    self.map = mRow;
  }
}

common::boot_time suspicion_simulation::Now(const node& aNode) const
{
  return common::boot_time(common::microseconds(int64_t(double(mNowUs) * aNode.rate)));
}

void suspicion_simulation::At(int64_t aDelayUs, std::function<void()> aAction)
{
  mEvents.push({ mNowUs + aDelayUs, ++mOrder, std::move(aAction) });
}

void suspicion_simulation::AtNode(size_t aNode, int64_t aDelayUs, std::function<void()> aAction)
{
  At(aDelayUs, [this, aNode, boot = mNodes[aNode].boot, aAction] {
    const node& self = mNodes[aNode];
    if (self.boot != boot) {
      return;
    }
    if (mNowUs < self.pausedUntilUs) {
      AtNode(aNode, self.pausedUntilUs - mNowUs, aAction);
      return;
    }
    aAction();
  });
}

int64_t suspicion_simulation::NetworkDelay()
{
  return Chance(10) ? Random(kLateWriteUs) : Random(5000);
}

bool suspicion_simulation::Connected(size_t aLeft, size_t aRight) const
{
  return mNowUs >= mSplitUntilUs || mSide[aLeft] == mSide[aRight];
}

void suspicion_simulation::Learn(size_t aNode, const map_row& aMap)
{
  node& self = mNodes[aNode];
  if (aMap.version <= self.map.version) {
    return;
  }
  self.map = aMap;
  std::vector<lease::suspicion_id> suspicions;
  for (const owner_entry& owner : aMap.owners) {
    if (owner.listed && !owner.suspicion.Empty()) {
      suspicions.push_back(owner.suspicion);
    }
  }
  self.watch.OnMap(suspicions, Now(self));
}

void suspicion_simulation::ReadPlatform(size_t aNode)
{
  node& self = mNodes[aNode];
  if (mNowUs < self.cutUntilUs || Chance(10)) {
    return;
  }
  common::boot_time sentAt = Now(self);
  At(NetworkDelay(), [this, aNode, sentAt, boot = self.boot] {
    if (mNodes[aNode].boot != boot) {
      return;
    }
    map_row row = mRow;
    AtNode(aNode, NetworkDelay(), [this, aNode, sentAt, row] {
      node& reader = mNodes[aNode];
      Learn(aNode, row);
      common::boot_time at = IsOff(suspicion_guard::kSentAt) ? Now(reader) : sentAt;
      if (at > reader.confirmation.at) {
        reader.confirmation = { row.version, at };
        reader.platformReadUs = mNowUs;
      }
    });
  });
}

void suspicion_simulation::Compare(size_t aNode, size_t aPeer)
{
  if (aNode == aPeer || !Connected(aNode, aPeer) || Chance(10)) {
    return;
  }
  common::boot_time sentAt = Now(mNodes[aNode]);
  AtNode(aPeer, NetworkDelay(), [this, aNode, aPeer, sentAt, boot = mNodes[aNode].boot] {
    const node& peer = mNodes[aPeer];
    if (!Connected(aNode, aPeer) || mNodes[aNode].boot != boot) {
      return;
    }
    map_row map = peer.map;
    lease::map_confirmation confirmed = peer.confirmation;
    auto age = std::chrono::duration_cast<common::microseconds>(Now(peer) - confirmed.at);
    // The whole map may follow later or be lost.
    bool withMap = Chance(12);
    bool settled =
      IsOff(suspicion_guard::kConfirmedSinceStart) ||
      (peer.confirmation.at > peer.startedAt && peer.confirmation.version <= map.version);
    AtNode(
      aNode, NetworkDelay(), [this, aNode, aPeer, sentAt, map, confirmed, age, withMap, settled] {
        node& self = mNodes[aNode];
        if (withMap) {
          Learn(aNode, map);
        }
        auto version = IsOff(suspicion_guard::kOwnersMap) ? common::row_version() : map.version;
        if (settled) {
          self.ownLease.OnPeerResponse(std::to_string(aPeer), version,
                                       IsOff(suspicion_guard::kSentAt) ? Now(self) : sentAt);
        }
        common::boot_time at = sentAt;
        if (!IsOff(suspicion_guard::kRelayedAge)) {
          at -= lease::suspicion_terms().RelayedAge(age);
        }
        if (confirmed.version != common::row_version() && at > self.confirmation.at) {
          self.confirmation = { confirmed.version, at };
        }
      });
  });
}

void suspicion_simulation::Commit(size_t aNode, const std::function<void(map_row*)>& aChange)
{
  node& self = mNodes[aNode];
  if (mNowUs < self.cutUntilUs) {
    return;
  }
  map_row next = self.map;
  common::row_version expected = next.version;
  aChange(&next);
  common::boot_time sentAt = Now(self);
  // A write may be performed seconds after it was sent, also when its sender has ended.
  At(NetworkDelay(), [this, aNode, next, expected, sentAt, boot = self.boot]() mutable {
    if (mRow.version != expected && !IsOff(suspicion_guard::kCondition)) {
      return;
    }
    next.version = mRow.version.Next();
    for (size_t key = 0; key < kNodes; ++key) {
      mResult.takeovers += next.keys[key] == mRow.keys[key] ? 0 : 1;
    }
    mRow = next;
    if (mNodes[aNode].boot != boot || Chance(5)) {
      return;
    }
    AtNode(aNode, NetworkDelay(), [this, aNode, next, sentAt] {
      node& writer = mNodes[aNode];
      Learn(aNode, next);
      if (sentAt > writer.confirmation.at) {
        writer.confirmation = { next.version, sentAt };
      }
    });
  });
}

void suspicion_simulation::Suspect(size_t aNode)
{
  auto suspect = size_t(Random(kNodes));
  const owner_entry& owner = mNodes[aNode].map.owners[suspect];
  if (suspect == aNode || !owner.listed || !owner.suspicion.Empty()) {
    return;
  }
  uint64_t number = IsOff(suspicion_guard::kUniqueId) ? suspect : ++mLastSuspicion + kNodes;
  Commit(aNode, [&](map_row* aMap) {
    aMap->owners[suspect].suspicion = lease::suspicion_id(std::to_string(number));
  });
}

void suspicion_simulation::TakeOver(size_t aNode)
{
  node& self = mNodes[aNode];
  for (size_t lost = 0; lost < kNodes; ++lost) {
    const owner_entry& owner = self.map.owners[lost];
    bool due = IsOff(suspicion_guard::kTakerTerm) || self.watch.MayTake(owner.suspicion, Now(self));
    if (lost != aNode && owner.listed && !owner.suspicion.Empty() && due) {
      Commit(aNode, [&](map_row* aMap) {
        aMap->owners[lost] = { false, {} };
        for (size_t& keyOwner : aMap->keys) {
          keyOwner = keyOwner == lost ? aNode : keyOwner;
        }
      });
      if (Chance(3)) {
        Restart(self);
      }
      return;
    }
  }
}

void suspicion_simulation::Step(size_t aNode)
{
  node& self = mNodes[aNode];
  if (mNowUs < self.pausedUntilUs) {
    return;
  }
  common::boot_time now = Now(self);
  const owner_entry own = self.map.owners[aNode];
  if (own.listed && (own.suspicion.Empty() || IsOff(suspicion_guard::kUnsuspected))) {
    std::vector<std::string> others;
    for (size_t i = 0; i < kNodes; ++i) {
      if (i != aNode) {
        others.push_back(std::to_string(i));
      }
    }
    if (IsOff(suspicion_guard::kAllOwners) && !others.empty()) {
      others.resize(1);
    }
    lease::map_confirmation confirmation = self.confirmation;
    if (IsOff(suspicion_guard::kKnownMap)) {
      confirmation.version = common::row_version();
    }
    self.ownLease.OnUnsuspected(self.map.version, confirmation, others, now);
  }
  common::boot_time end =
    IsOff(suspicion_guard::kHolderTerm) ? now + kHoldTime : self.ownLease.End();
  for (size_t key = 0; key < kNodes; ++key) {
    if (own.listed && self.map.keys[key] == aNode && now < end) {
      self.holds[key] = std::max(self.holds[key], std::min(end, now + kHoldTime));
      bool away = mNowUs > self.platformReadUs + 8'000'000;
      mResult.heldWithoutPlatform += away ? 1 : 0;
    }
  }
  if (Chance(10)) {
    ReadPlatform(aNode);
  }
  if (Chance(4)) {
    Compare(aNode, size_t(Random(kNodes)));
  }
  if (!own.listed && Chance(10)) {
    Commit(aNode, [&](map_row* aMap) { aMap->owners[aNode] = {}; });
  } else if (!own.suspicion.Empty() && Chance(10)) {
    ++mResult.withdrawals;
    Commit(aNode, [&](map_row* aMap) { aMap->owners[aNode].suspicion = {}; });
  } else if (own.listed && Chance(15)) {
    TakeOver(aNode);
  } else if (own.listed && Chance(60)) {
    Suspect(aNode);
  }
}

void suspicion_simulation::Restart(node& aNode)
{
  ++aNode.boot;
  aNode.startedAt = Now(aNode);
  aNode.ownLease = lease::suspicion_lease(lease::suspicion_terms());
  aNode.watch = lease::suspicion_watch(lease::suspicion_terms());
  aNode.map = map_row();
  aNode.map.version = common::row_version();
  aNode.map.keys.assign(kNodes, kNodes);
  aNode.map.owners.assign(kNodes, { false, {} });
  aNode.confirmation = {};
}

void suspicion_simulation::Fault()
{
  node& self = mNodes[size_t(Random(kNodes))];
  switch (Random(4)) {
    case 0:
      self.pausedUntilUs = mNowUs + Random(kLongUs);
      break;
    case 1:
      self.cutUntilUs = mNowUs + Random(kLongUs);
      break;
    case 2:
      mSplitUntilUs = mNowUs + Random(kLongUs);
      for (size_t i = 0; i < kNodes; ++i) {
        mSide[i] = Chance(2);
        if (mSide[i] && Chance(2)) {
          mNodes[i].cutUntilUs = mSplitUntilUs;
        }
      }
      break;
    default:
      Restart(self);
      break;
  }
}

void suspicion_simulation::CheckHolders()
{
  for (size_t key = 0; key < kNodes; ++key) {
    auto holders = std::count_if(mNodes.begin(), mNodes.end(),
                                 [&](const node& aNode) { return Now(aNode) < aNode.holds[key]; });
    mResult.twoHolders += holders > 1 ? 1 : 0;
  }
}

suspicion_exploration suspicion_simulation::Run(size_t aSteps)
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
    for (size_t i = 0; i < kNodes; ++i) {
      Step(i);
    }
    if (Chance(100)) {
      Fault();
    }
    CheckHolders();
    ++mResult.steps;
  }
  return mResult;
}

} // namespace bamboograde::tests
