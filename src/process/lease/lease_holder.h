// The owner's side of a witnessed lease: until when may it serve?
//
// The lease holds while a majority of the witnesses has renewed it within the term. While a change
// of the witnesses is under way and its outcome unknown, it must hold under the old and the new
// set.
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

  // The set that the session's row names. Renewals of members that stay are kept.
  void SetWitnesses(witness_set aWitnesses);
  // Call before the change is submitted to the platform.
  void BeginChange(witness_set aNext);
  // Whether the next set vouches for everything that was granted until aGrantedUntil. A change that
  // is committed earlier would let the next set give the keys away while they are still held.
  bool MayCommitChange(common::boot_time aGrantedUntil) const;
  // Call once the platform has told the outcome of the change.
  void EndChange(bool aCommitted);
  bool Changing() const { return mNext.has_value(); }

  // aSentAt: the holder's time before it sent the renewal.
  void OnRenewed(const version::witness_ref& aWitness, common::boot_time aSentAt);
  // The witness will not renew this session again.
  void OnRevoked(const version::witness_ref& aWitness);

  // The lease is held before this time.
  common::boot_time LeaseEnd() const;
  const witness_set& Witnesses() const { return mCurrent; }
  // Everyone to renew with.
  witness_set Targets() const;
  // Members that have not renewed for longer than the term, or have revoked.
  witness_set Lost(common::boot_time aNow) const;

private:
  common::boot_time EndUnder(const witness_set& aSet) const;

  lease_terms mTerms;
  witness_set mCurrent;
  std::optional<witness_set> mNext;
  // Until when each witness's last renewal counts.
  std::map<version::witness_ref, common::boot_time> mRenewedUntil;
};

} // namespace bamboograde::process::lease
