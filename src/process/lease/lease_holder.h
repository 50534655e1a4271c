// The session owner's side of a lease that is renewed by witnesses: computes when the lease ends.
//
// The lease is valid while a majority of the witnesses has renewed it within the term. While a
// change of the witness set is pending, it has to be valid under both the old and the new set.
#pragma once

#include "process/lease/lease_terms.h"
#include "version/session_row.h"

#include <map>
#include <optional>

namespace bamboograde::process::lease {

using witness_set = std::vector<version::witness_ref>;

class lease_holder
{
public:
  explicit lease_holder(lease_terms aTerms);

  // Sets the witnesses that the session's row names. Renewals received so far are kept.
  void SetWitnesses(witness_set aWitnesses);
  // Must be called before the change is submitted to the platform.
  void BeginChange(witness_set aNext);
  // Whether the lease is valid under the next set at least until aGrantedUntil, the latest lease
  // end that the holder has passed on as a grant. If the change were committed earlier, a majority
  // of the next set could give the keys to another owner while those grants still hold.
  bool MayCommitChange(common::boot_time aGrantedUntil) const;
  // Must be called once the platform has reported the outcome of the change.
  void EndChange(bool aCommitted);
  bool ChangePending() const { return mNext.has_value(); }

  // aSentAt: time on the holder's clock before it sent the renewal.
  void OnRenewed(const version::witness_ref& aWitness, common::boot_time aSentAt);
  // The witness has promised a takeover never to renew this session again.
  void OnRevoked(const version::witness_ref& aWitness);

  // The lease is valid before this time.
  common::boot_time LeaseEnd() const;
  const witness_set& Witnesses() const { return mCurrent; }
  // All witnesses of the current and the next set, without duplicates.
  witness_set RenewalTargets() const;
  // Members of the current set whose last renewal has expired or that have revoked the lease.
  witness_set LostWitnesses(common::boot_time aNow) const;

private:
  common::boot_time LeaseEndUnder(const witness_set& aSet) const;

  lease_terms mTerms;
  witness_set mCurrent;
  std::optional<witness_set> mNext;
  // End of the last renewal by each witness.
  std::map<version::witness_ref, common::boot_time> mRenewedUntil;
};

} // namespace bamboograde::process::lease
