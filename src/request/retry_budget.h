// Limits retries to a share of the requests, so that retries can not amplify an overload.
#pragma once

namespace bamboograde::request {

class retry_budget
{
public:
  void OnRequest();
  // Takes one retry from the budget; false when it is used up.
  bool TryRetry();

private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxTokens = 100;
  // One token pays for one retry.
  double mTokens = 10;
};

} // namespace bamboograde::request
