// States of forwarded attempts, which an entry daemon queries when its connection to the owner
// broke before the answer.
#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <deque>
#include <unordered_map>

namespace bamboograde::request {

enum class attempt_state
{
  // The attempt has not arrived, and is refused if it does, so that the request can be forwarded
  // again.
  kClosed,
  // Queued or running.
  kOpen,
  // Ended before the request reached an upstream.
  kNotRun,
  // The request reached an upstream, and may have run.
  kRan,
};

enum class attempt_begin
{
  kNew,
  // Its entry daemon had it closed before it arrived.
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
