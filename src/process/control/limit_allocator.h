// Divides the limits of rows among the daemons that need them.
//
// One daemon at a time allocates a row: the owner of the row's position in the hash space. It
// grants shares for a term, and never more in sum than the limit. A daemon that is cut off keeps
// what it was granted until the term ends, and then admits nothing of the row.
#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <map>
#include <set>
#include <vector>

namespace bamboograde::process::control {

// Longer than a takeover, so that a row goes on under its held shares when its allocator is lost.
constexpr common::milliseconds kLimitTerm{ 4000 };
// A claim and its answer are through by then.
constexpr common::milliseconds kPromptPause{ 20 };

// A claimant whose share falls so much claims again at once: others can have the rest as soon as
// the allocator knows that the lower share is in use.
bool GivesBack(double aFormerPerSecond, double aPerSecond);

struct limit_claim
{
  common::session_id session;
  // Rises with every claim of the session.
  uint64_t sequence = 0;
  // Claim whose share the session uses now. It ignores answers to earlier claims from then on.
  uint64_t applied = 0;
  double demandPerSecond = 0;
  // What an earlier allocator granted it, and for how long that still holds.
  double heldPerSecond = 0;
  common::microseconds heldFor{ 0 };
};

class limit_allocator
{
public:
  // Returns the share a second that the claimant may use for kLimitTerm from the sending of its
  // claim. aSessions: all sessions that may hold shares of an earlier allocator. No share is raised
  // before each has told what it holds, or could hold it no longer.
  double Grant(const common::row_id& aRow, double aLimitPerSecond, const limit_claim& aClaim,
               const std::set<common::session_id>& aSessions, common::boot_time aNow);
  // Sessions other than the claimant whose shares should change much now that its demand is known.
  // They are to claim again at once; a session is named once per kPromptPause at most.
  std::vector<common::session_id> Prompts(const common::row_id& aRow, double aLimitPerSecond,
                                          const common::session_id& aClaimant,
                                          common::boot_time aNow);
  // This daemon is no longer the row's allocator.
  void Forget(const common::row_id& aRow) { mRows.erase(aRow); }

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
    // Any of these may be in use, because the answer with a later one can be lost.
    std::vector<grant> grants;
    double Largest() const;
    double Newest() const { return grants.empty() ? 0 : grants.back().perSecond; }
  };
  struct row_state
  {
    // Until then a session that has not claimed yet may hold a share of an earlier allocator.
    common::boot_time learningUntil;
    bool learning = true;
    std::set<common::session_id> claimed;
    std::map<common::session_id, share> shares;
  };

  static void Expire(row_state* aState, common::boot_time aNow);
  static bool IsLearning(const row_state& aState, const std::set<common::session_id>& aSessions,
                         common::boot_time aNow);
  static double FairShare(const row_state& aState, double aLimit, const share& aOwn);

  std::map<common::row_id, row_state> mRows;
};

} // namespace bamboograde::process::control
