#include "process/lease/witness_choice.h"

#include <algorithm>
#include <set>

namespace bamboograde::process::lease {

namespace {

constexpr size_t kWitnessCount = 3;

// Lower is better.
struct candidate_rank
{
  bool otherRegion;
  size_t zoneUses;
  size_t load;
  uint64_t tieBreaker;
  auto operator<=>(const candidate_rank&) const = default;
};

class witness_selector
{
public:
  witness_selector(const witness_candidate& aSelf, const std::vector<witness_candidate>& aOthers,
                   common::random_source& aRandom)
    : mSelf(aSelf)
    , mOthers(aOthers)
    , mRandom(aRandom)
  {
    mZones.insert(aSelf.zone);
  }

  void KeepCurrent(const witness_set& aKeep)
  {
    for (const witness_candidate& candidate : mOthers) {
      bool keep = std::find(aKeep.begin(), aKeep.end(), candidate.ref) != aKeep.end();
      if (keep && mChosen.size() < kWitnessCount) {
        Add(candidate);
      }
    }
  }

  void AddBest()
  {
    while (mChosen.size() < kWitnessCount) {
      const witness_candidate* best = nullptr;
      candidate_rank bestRank{};
      for (const witness_candidate& candidate : mOthers) {
        bool taken = std::find(mChosen.begin(), mChosen.end(), candidate.ref) != mChosen.end();
        candidate_rank candidateRank{ candidate.region != mSelf.region,
                                      mZones.count(candidate.zone), candidate.load,
                                      mRandom.Below(UINT64_MAX) };
        if (!taken && (best == nullptr || candidateRank < bestRank)) {
          best = &candidate;
          bestRank = candidateRank;
        }
      }
      if (best == nullptr) {
        return;
      }
      Add(*best);
    }
  }

  witness_set TakeChosen() { return std::move(mChosen); }

private:
  void Add(const witness_candidate& aCandidate)
  {
    mChosen.push_back(aCandidate.ref);
    mZones.insert(aCandidate.zone);
  }

  const witness_candidate& mSelf;
  const std::vector<witness_candidate>& mOthers;
  common::random_source& mRandom;
  witness_set mChosen;
  std::multiset<common::zone_name> mZones;
};

} // namespace

witness_set ChooseWitnesses(const witness_candidate& aSelf,
                            const std::vector<witness_candidate>& aOthers, const witness_set& aKeep,
                            common::random_source& aRandom)
{
  if (aOthers.size() < kWitnessCount - 1) {
    return { aSelf.ref };
  }
  witness_selector selector(aSelf, aOthers, aRandom);
  selector.KeepCurrent(aKeep);
  selector.AddBest();
  witness_set chosen = selector.TakeChosen();
  if (chosen.size() < kWitnessCount) {
    chosen.push_back(aSelf.ref);
  }
  return chosen;
}

} // namespace bamboograde::process::lease
