#include "process/lease/lease_witness.h"

#include <algorithm>

namespace bamboograde::process::lease {

const char* NameOf(renewal_answer aAnswer)
{
  switch (aAnswer) {
    case renewal_answer::kRenewed:
      return "renewed";
    case renewal_answer::kWrongBoot:
      return "wrong_boot";
    case renewal_answer::kRevoked:
      return "revoked";
    case renewal_answer::kStaleTable:
      return "stale_table";
  }
  return "";
}

lease_witness::lease_witness(lease_terms aTerms, common::boot_id aBoot,
                             common::boot_time aStartedAt)
  : mTerms(aTerms)
  , mBoot(std::move(aBoot))
  , mStartedAt(aStartedAt)
{
}

renewal_answer lease_witness::OnRenew(const common::session_id& aSession,
                                      const common::boot_id& aExpectedBoot,
                                      common::table_version aHolderTable,
                                      common::table_version aKnownTable, common::boot_time aNow)
{
  if (aExpectedBoot != mBoot) {
    return renewal_answer::kWrongBoot;
  }
  if (aHolderTable < aKnownTable) {
    return renewal_answer::kStaleTable;
  }
  session_state& state = mSessions[aSession];
  if (state.revoked) {
    return renewal_answer::kRevoked;
  }
  state.expiresAt = std::max(state.expiresAt, aNow + mTerms.WitnessTerm());
  state.ignored = false;
  return renewal_answer::kRenewed;
}

revocation_answer lease_witness::OnRevoke(const common::session_id& aSession,
                                          const common::boot_id& aExpectedBoot,
                                          common::boot_time aNow)
{
  if (!MayPromise(aSession, aExpectedBoot, aNow)) {
    return revocation_answer::kStillHeld;
  }
  if (aExpectedBoot == mBoot) {
    mSessions[aSession].revoked = true;
  }
  return revocation_answer::kPromised;
}

bool lease_witness::MayPromise(const common::session_id& aSession,
                               const common::boot_id& aExpectedBoot, common::boot_time aNow) const
{
  if (aExpectedBoot != mBoot) {
    return mStartedAt + mTerms.WitnessTerm() <= aNow;
  }
  auto found = mSessions.find(aSession);
  return found == mSessions.end() || found->second.expiresAt <= aNow;
}

void lease_witness::IgnoreUntilRenewed(const common::session_id& aSession)
{
  auto found = mSessions.find(aSession);
  if (found != mSessions.end()) {
    found->second.ignored = true;
  }
}

std::vector<common::session_id> lease_witness::ExpiredSessions(common::boot_time aNow) const
{
  std::vector<common::session_id> expired;
  for (const auto& [session, state] : mSessions) {
    if (state.expiresAt <= aNow && !state.ignored) {
      expired.push_back(session);
    }
  }
  return expired;
}

} // namespace bamboograde::process::lease
