// Divides the rate limits of table rows among the daemons, according to their demand.
//
// Each row has one allocator at a time: the daemon that owns the row's position in the hash space.
// It grants shares for a fixed term; their sum never exceeds the limit. A daemon that can not reach
// the allocator keeps its share until the term ends, and then admits no more requests of the row.
#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <map>
#include <set>
#include <vector>

namespace bamboograde::process::control {

// Longer than a takeover, so that shares stay valid until a lost allocator has been replaced.
constexpr common::milliseconds kShareTerm{ 4000 };
// Longer than a claim and its response usually take.
constexpr common::milliseconds kMinPromptInterval{ 20 };

// Whether a claimant whose share was reduced should claim again at once. The allocator can grant
// the difference to other sessions only after a claim has confirmed that the lower share is in use.
bool ShouldConfirmReduction(double aFormerPerSecond, double aPerSecond);

struct limit_claim
{
  common::session_id session;
  // Increases with every claim of the session.
  uint64_t sequence = 0;
  // Sequence of the claim whose share the session uses now. The session ignores responses to
  // earlier claims.
  uint64_t applied = 0;
  double demandPerSecond = 0;
  // Share that the session holds now, and the rest of its term.
  double heldPerSecond = 0;
  common::microseconds heldFor{ 0 };
};

class limit_allocator
{
public:
  // Returns the claimant's share, in requests per second, valid for kShareTerm from the sending of
  // the claim. aSessions: all sessions that may hold shares granted by an earlier allocator. No
  // share is raised before each of them has reported what it holds or its share must have expired.
  double Grant(const common::row_id& aRow, double aLimitPerSecond, const limit_claim& aClaim,
               const std::set<common::session_id>& aSessions, common::boot_time aNow);
  // Returns the sessions, other than the claimant, whose shares are considerably above their fair
  // share, or below it while a part of the limit is not granted. They should be prompted to claim
  // again at once. A session is returned at most once per kMinPromptInterval.
  std::vector<common::session_id> SessionsToPrompt(const common::row_id& aRow,
                                                   double aLimitPerSecond,
                                                   const common::session_id& aClaimant,
                                                   common::boot_time aNow);
  // Must be called when this daemon is no longer the row's allocator.
  void RemoveRow(const common::row_id& aRow) { mRows.erase(aRow); }

private:
  struct grant
  {
    uint64_t sequence = 0;
    double perSecond = 0;
    common::boot_time until;
  };
  struct share
  {
    double demand = 0;
    common::boot_time claimedAt;
    common::boot_time promptedAt;
    // Each of these may be in use, because responses with later grants can be lost.
    std::vector<grant> grants;
    double LargestGrant() const;
    double NewestGrant() const { return grants.empty() ? 0 : grants.back().perSecond; }
  };
  struct row_state
  {
    // Until this time a session that has not claimed yet may hold a share of an earlier allocator.
    common::boot_time learningUntil;
    bool learning = true;
    std::set<common::session_id> claimed;
    std::map<common::session_id, share> shares;
  };

  static void RemoveExpired(row_state* aState, common::boot_time aNow);
  static bool IsLearning(const row_state& aState, const std::set<common::session_id>& aSessions,
                         common::boot_time aNow);
  static double FairShare(const row_state& aState, double aLimit, const share& aOwn);

  std::map<common::row_id, row_state> mRows;
};

} // namespace bamboograde::process::control
