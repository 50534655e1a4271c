#include "process/lease/lease_holder.h"

#include <algorithm>

namespace bamboograde::process::lease {

lease_holder::lease_holder(lease_terms aTerms)
  : mTerms(aTerms)
{
}

void lease_holder::SetWitnesses(witness_set aWitnesses)
{
  mCurrent = std::move(aWitnesses);
  mNext.reset();
}

void lease_holder::BeginChange(witness_set aNext)
{
  mNext = std::move(aNext);
}

bool lease_holder::MayCommitChange(common::boot_time aGrantedUntil) const
{
  return mNext.has_value() && LeaseEndUnder(*mNext) >= aGrantedUntil;
}

void lease_holder::EndChange(bool aCommitted)
{
  if (aCommitted && mNext.has_value()) {
    mCurrent = *std::move(mNext);
  }
  mNext.reset();
}

void lease_holder::OnRenewed(const version::witness_ref& aWitness, common::boot_time aSentAt)
{
  common::boot_time& until = mRenewedUntil[aWitness];
  until = std::max(until, aSentAt + mTerms.HolderTerm());
}

void lease_holder::OnRevoked(const version::witness_ref& aWitness)
{
  mRenewedUntil.erase(aWitness);
}

common::boot_time lease_holder::LeaseEndUnder(const witness_set& aSet) const
{
  std::vector<common::boot_time> ends;
  for (const version::witness_ref& witness : aSet) {
    auto found = mRenewedUntil.find(witness);
    ends.push_back(found == mRenewedUntil.end() ? common::boot_time() : found->second);
  }
  if (ends.empty()) {
    return {};
  }
  // The majority-th latest end: until then the renewals of a majority are valid.
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[ends.size() / 2];
}

common::boot_time lease_holder::LeaseEnd() const
{
  common::boot_time end = LeaseEndUnder(mCurrent);
  return mNext.has_value() ? std::min(end, LeaseEndUnder(*mNext)) : end;
}

witness_set lease_holder::RenewalTargets() const
{
  witness_set targets = mCurrent;
  if (mNext.has_value()) {
    for (const version::witness_ref& witness : *mNext) {
      if (std::find(targets.begin(), targets.end(), witness) == targets.end()) {
        targets.push_back(witness);
      }
    }
  }
  return targets;
}

witness_set lease_holder::LostWitnesses(common::boot_time aNow) const
{
  witness_set lost;
  for (const version::witness_ref& witness : mCurrent) {
    auto found = mRenewedUntil.find(witness);
    if (found == mRenewedUntil.end() || found->second <= aNow) {
      lost.push_back(witness);
    }
  }
  return lost;
}

} // namespace bamboograde::process::lease
