// Times of the lease protocol.
#pragma once

#include "common/clock.h"

namespace bamboograde::process::lease {

struct lease_terms
{
  // Nominal duration of a lease after each renewal.
  common::milliseconds term{ 2000 };
  common::milliseconds renewPeriod{ 500 };
  // Largest tolerated deviation of a clock's rate from real time, as a fraction: 0.01 is 1 %. The
  // holder shortens the term by it and the witness lengthens the term by it, so that the holder's
  // term does not end after the witness's, even if the holder's clock is slow and the witness's is
  // fast.
  double maxDrift = 0.01;

  // Time for which the holder relies on a renewal, counted from before it sent the request.
  common::microseconds HolderTerm() const
  {
    return common::microseconds(int64_t(double(term.count()) * 1000 * (1 - maxDrift)));
  }
  // Time for which a witness honours a renewal, counted from the receipt of the request.
  common::microseconds WitnessTerm() const
  {
    return common::microseconds(int64_t(double(term.count()) * 1000 * (1 + maxDrift)));
  }
};

} // namespace bamboograde::process::lease
