// Claims and constants for tests of the limit allocator.
#pragma once

#include "process/control/limit_allocator.h"

namespace bamboograde::tests {

using process::control::kShareTerm;
using process::control::limit_allocator;
using process::control::limit_claim;

inline const common::row_id kRow("r");
constexpr double kLimit = 1000;

inline common::boot_time AtMs(int64_t aMs)
{
  return common::FromMicros(aMs * 1000);
}

inline limit_claim Claim(int aSession, double aDemand, uint64_t aSequence = 0,
                         uint64_t aApplied = 0)
{
  common::session_id session("s" + std::to_string(aSession));
  return { session, aSequence, aApplied, aDemand, 0, {} };
}

inline std::set<common::session_id> Sessions(int aCount)
{
  std::set<common::session_id> all;
  for (int i = 0; i < aCount; ++i) {
    all.insert(common::session_id("s" + std::to_string(i)));
  }
  return all;
}

} // namespace bamboograde::tests
