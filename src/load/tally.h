// Counters and latencies of a load run.
#pragma once

#include "common/histogram.h"
#include "request/refusal.h"

#include <map>
#include <string>

namespace bamboograde::load {

// Groups refusals by their reason and table row.
struct refusal_key
{
  std::string reason;
  std::string row;
  auto operator<=>(const refusal_key&) const = default;
};

struct tally
{
  uint64_t sent = 0;
  uint64_t served = 0;
  uint64_t replayed = 0;
  uint64_t refused = 0;
  // Responses that belong to another request or are incomplete.
  uint64_t wrong = 0;
  // Refusals because the key had no owner or its owner could not be reached.
  uint64_t unowned = 0;
  // Requests without a response.
  uint64_t lost = 0;
  // Refusals that name no table row.
  uint64_t untraced = 0;
  std::map<refusal_key, uint64_t> refusals;
  // The id of one refused request per reason, for the explain command of bamboogradectl.
  std::map<std::string, std::string> refusedIds;
  // Time from the due time of a request to its response.
  common::histogram latency;

  void Merge(const tally& aOther);
  // Lines of name=value; aSeconds is the duration of the run.
  std::string Format(double aSeconds) const;
};

} // namespace bamboograde::load
