// The witness's side: renewals that it has promised to honour, and sessions that it has given up.
#pragma once

#include "process/lease/lease_terms.h"
#include "version/session_row.h"

#include <map>

namespace bamboograde::process::lease {

enum class renewal_answer
{
  kRenewed,
  // Another start of this witness was meant.
  kWrongBoot,
  // A takeover has begun; this session is never renewed here again.
  kRevoked,
  // The holder serves under an older table than this witness knows.
  kStaleTable,
};

// As it is told in the answer to a renewal.
const char* NameOf(renewal_answer aAnswer);

enum class revocation_answer
{
  // The last renewal has lapsed and none will follow.
  kPromised,
  // The session may still be held; ask again later.
  kStillHeld,
};

class lease_witness
{
public:
  lease_witness(lease_terms aTerms, common::boot_id aBoot, common::boot_time aStartedAt);

  // aKnownTable: newest table version that this daemon has heard of.
  renewal_answer OnRenew(const common::session_id& aSession, const common::boot_id& aMeantBoot,
                         common::table_version aHolderTable, common::table_version aKnownTable,
                         common::boot_time aNow);
  // aMeantBoot: the start of this witness that the session's row names. A later start can answer
  // for an earlier one, which is gone, once everything that the earlier one renewed must have
  // lapsed.
  revocation_answer OnRevoke(const common::session_id& aSession, const common::boot_id& aMeantBoot,
                             common::boot_time aNow);
  // Whether OnRevoke() would promise now.
  bool MayPromise(const common::session_id& aSession, const common::boot_id& aMeantBoot,
                  common::boot_time aNow) const;
  // The session was released in good order: it needs no takeover.
  void Forget(const common::session_id& aSession);
  // Sessions whose last renewal here has lapsed and that nobody has released.
  std::vector<common::session_id> Lapsed(common::boot_time aNow) const;
  size_t Size() const { return mSessions.size(); }

private:
  struct session_state
  {
    common::boot_time lapsesAt;
    bool revoked = false;
    bool released = false;
  };

  lease_terms mTerms;
  common::boot_id mBoot;
  common::boot_time mStartedAt;
  // Revoked sessions stay: their holder may return after any time.
  std::map<common::session_id, session_state> mSessions;
};

} // namespace bamboograde::process::lease
