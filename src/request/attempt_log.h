// States of forwarded attempts, which an entry daemon queries when its connection to the owner
// broke before the response.
#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <deque>
#include <unordered_map>

namespace bamboograde::request {

enum class attempt_state
{
  // The attempt had not arrived when the entry daemon queried its state. It is refused if it
  // arrives later, so that the request can be forwarded again.
  kClosed,
  // Queued or running.
  kOpen,
  // Ended, and the request provably did not run; see run_outcome::kNotRun.
  kNotRun,
  // Ended, and the request ran or may have run.
  kRan,
};

enum class attempt_begin
{
  kNew,
  // The entry daemon queried the state of the attempt before the attempt arrived, which closed it.
  kClosed,
  // The same attempt has arrived before, and may have run.
  kRepeated,
};

class attempt_log
{
public:
  // Records the arrival of an attempt. It may be admitted only if the result is kNew.
  attempt_begin Begin(const common::attempt_id& aAttempt, common::boot_time aNow);
  void End(const common::attempt_id& aAttempt, bool aRan);
  // Returns the state of an attempt, and closes one that has not arrived.
  attempt_state Resolve(const common::attempt_id& aAttempt, common::boot_time aNow);
  void Expire(common::boot_time aNow);

private:
  struct expiry_entry
  {
    common::attempt_id attempt;
    common::boot_time expiresAt;
  };
  void Record(const common::attempt_id& aAttempt, attempt_state aState, common::boot_time aNow);

  std::unordered_map<common::attempt_id, attempt_state, common::id_hash> mStates;
  // In order of expiry.
  std::deque<expiry_entry> mExpiryQueue;
};

} // namespace bamboograde::request
