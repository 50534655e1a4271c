#include "request/retry_budget.h"

#include <algorithm>

namespace bamboograde::request {

void retry_budget::OnRequest()
{
  mTokens = std::min(kMaxTokens, mTokens + kRetriesPerRequest);
}

bool retry_budget::TryRetry()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace bamboograde::request
