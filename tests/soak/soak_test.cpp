#include "soak/soak.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <cstdlib>
#include <sstream>

using namespace bamboograde;
using process::sidecar::grant_method;

namespace {

constexpr char kSeedsVariable[] = "BAMBOOGRADE_SOAK_SEEDS";
constexpr common::milliseconds kDuration{ 8000 };

// Seeds that have failed before, each with the cause.
const std::vector<uint64_t> kRegressionSeeds = {
  // Peers sent no requests to restarted daemons for up to 3.2 s.
  11, 22,
  // A daemon that started while the table service was down knew no members yet. This is allowed, as
  // it learns them well within the recovery time.
  17,
  // Fault of the test fixture: a child process before exec held a copy of its listening socket.
  24
};

struct soak_case
{
  uint64_t seed;
  grant_method grants;
};

// The regression seeds, and with both ways of granting keys seeds 1 and 2 or the range "FIRST LAST"
// (inclusive) from the environment.
std::vector<soak_case> Cases()
{
  uint64_t first = 1;
  uint64_t last = 2;
  std::vector<soak_case> cases;
  if (const char* text = std::getenv(kSeedsVariable); text != nullptr) {
    std::istringstream(text) >> first >> last;
  } else {
    for (uint64_t seed : kRegressionSeeds) {
      cases.push_back({ seed, grant_method::kResponse });
    }
  }
  for (uint64_t seed = first; seed <= last; ++seed) {
    cases.push_back({ seed, grant_method::kResponse });
    cases.push_back({ seed, grant_method::kDirect });
  }
  return cases;
}

} // namespace

Test(soak, guarantees_hold_under_random_faults, .timeout = 3600)
{
  for (auto [seed, grants] : Cases()) {
    const char* channel = grants == grant_method::kDirect ? "calls" : "responses";
    tests::soak run(seed, grants, kDuration);
    auto violations = run.Run();
    cr_log_info("seed %lu, grants in %s: %s, %s", seed, channel, run.Summary().c_str(),
                violations.empty() ? "held" : "broken");
    for (const std::string& line : violations) {
      cr_log_error("seed %lu, grants in %s: %s", seed, channel, line.c_str());
    }
    cr_expect(violations.empty(), "seed %lu, grants in %s", seed, channel);
  }
}
