// Until when the configuration of this daemon is known to have been the newest one, and when to ask
// the platform for a new proof.
//
// A feed on a connection that went silent looks like one without changes, so a daemon needs a
// recent proof of its own or of a peer. A proof is a time of the platform's clock, so that it has
// the same meaning at every daemon. Daemons ask the platform in turn, at random times at a rate of
// the whole fleet, and pass the latest proof on with their comparisons. One that hears of none in
// time asks without waiting for its turn.
#pragma once

#include "common/clock.h"
#include "common/ids.h"
#include "common/random.h"

#include <cstdint>
#include <optional>

namespace bamboograde::process::sidecar {

// A time of the platform's clock in milliseconds; 0: none. After a return from an older copy the
// clock may have gone back, so times of different eras can not be compared.
struct platform_time
{
  common::store_era era;
  uint64_t ms = 0;
};

class config_freshness
{
public:
  // aApplyTime: a change must be in force this long after the platform has acknowledged it.
  config_freshness(common::random_source& aRandom, common::milliseconds aApplyTime);

  // The platform has answered a call that was sent at aSentAt. aPlatform: its clock at the answer;
  // 0 when it does not say. Answers of earlier eras than the last one are ignored.
  void OnAnswer(common::boot_time aSentAt, const platform_time& aPlatform, common::boot_time aNow);
  // A peer whose configuration is not newer than this daemon's has this proof. It counts only if
  // the platform has answered this daemon in the same era.
  void OnPeerProof(const platform_time& aProof, common::boot_time aNow);
  // Number of daemons that ask in turn.
  void SetFleetSize(size_t aSize) { mFleetSize = aSize; }
  // The platform is being asked.
  void OnAsked(common::boot_time aNow);

  // The latest proof, for peers; 0 without one.
  const platform_time& Proof() const { return mProof; }
  // Empty before the first answer of the platform.
  std::optional<common::boot_time> ProvenAt() const { return mProvenAt; }
  // When to ask the platform unless there is a newer proof by then; empty before its first answer.
  std::optional<common::boot_time> AskAt() const;

private:
  // The time of a proof by this daemon's clock, or an earlier one.
  common::boot_time LocalTime(uint64_t aPlatformMs, common::boot_time aNow) const;
  void DrawTurn(common::boot_time aNow);

  common::random_source& mRandom;
  common::milliseconds mMaxAge;
  size_t mFleetSize = 1;
  platform_time mProof;
  std::optional<common::boot_time> mProvenAt;
  common::boot_time mAskedAt;
  common::boot_time mTurnAt;
  // Upper bound of the platform's clock minus this daemon's clock, and when it was determined.
  std::optional<common::milliseconds> mClockOffset;
  common::boot_time mClockOffsetAt;
};

} // namespace bamboograde::process::sidecar
