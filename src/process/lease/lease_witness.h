// The witness's side of a lease: records the renewals that it granted and the sessions that it has
// promised not to renew again.
#pragma once

#include "process/lease/lease_terms.h"
#include "version/session_row.h"

#include <map>

namespace bamboograde::process::lease {

enum class renewal_answer
{
  kRenewed,
  // The boot id in the request is not that of this start of the witness's process.
  kWrongBoot,
  // This witness has promised a takeover never to renew the session again.
  kRevoked,
  // The holder uses an older table version than this witness knows.
  kStaleTable,
};

// Name of the answer in the response to a renewal.
const char* NameOf(renewal_answer aAnswer);

enum class revocation_answer
{
  // The last renewal has expired, and this witness will not renew the session again.
  kPromised,
  // A renewal by this witness may still be valid; the caller should try again later.
  kStillHeld,
};

class lease_witness
{
public:
  lease_witness(lease_terms aTerms, common::boot_id aBoot, common::boot_time aStartedAt);

  // aExpectedBoot: boot id of the witness as the holder knows it. aKnownTable: newest table version
  // that this daemon knows.
  renewal_answer OnRenew(const common::session_id& aSession, const common::boot_id& aExpectedBoot,
                         common::table_version aHolderTable, common::table_version aKnownTable,
                         common::boot_time aNow);
  // aExpectedBoot: boot id of the witness in the session's row. After a restart, the witness may
  // promise on behalf of an earlier start once every renewal by that start must have expired.
  revocation_answer OnRevoke(const common::session_id& aSession,
                             const common::boot_id& aExpectedBoot, common::boot_time aNow);
  // Whether OnRevoke() would return kPromised now.
  bool MayPromise(const common::session_id& aSession, const common::boot_id& aExpectedBoot,
                  common::boot_time aNow) const;
  // The session needs no takeover by this witness, because it was released, was taken over, or has
  // other witnesses. ExpiredSessions() omits it until it is renewed here again.
  void IgnoreUntilRenewed(const common::session_id& aSession);
  // Sessions whose last renewal here has expired, except those passed to IgnoreUntilRenewed().
  std::vector<common::session_id> ExpiredSessions(common::boot_time aNow) const;
  size_t Size() const { return mSessions.size(); }

private:
  struct session_state
  {
    common::boot_time expiresAt;
    bool revoked = false;
    bool ignored = false;
  };

  lease_terms mTerms;
  common::boot_id mBoot;
  common::boot_time mStartedAt;
  // Revoked sessions are never removed: their holder may send another renewal at any later time.
  std::map<common::session_id, session_state> mSessions;
};

} // namespace bamboograde::process::lease
