#include "soak/soak.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <cstdlib>
#include <sstream>

using namespace bamboograde;

namespace {

constexpr char kSeedsVariable[] = "BAMBOOGRADE_SOAK_SEEDS";
constexpr common::milliseconds kLength{ 8000 };

// Seeds that failed once, with the cause.
const std::vector<uint64_t> kRegressions = {
  // Daemons that were back stayed avoided for up to 3.2 s.
  11, 22,
  // A daemon that started while the table service was down knew no members yet. Allowed: it knows
  // them
  // well within the recovery time.
  17,
  // Not the daemons: a process that was being started kept a listener of the rig open.
  24
};

// Seeds 1 and 2 and the regressions, or those that the variable names: "FIRST LAST", both included.
std::vector<uint64_t> Seeds()
{
  uint64_t first = 1;
  uint64_t last = 2;
  std::vector<uint64_t> seeds;
  if (const char* text = std::getenv(kSeedsVariable); text != nullptr) {
    std::istringstream(text) >> first >> last;
  } else {
    seeds = kRegressions;
  }
  for (uint64_t seed = first; seed <= last; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

} // namespace

Test(soak, promises_hold_under_random_faults, .timeout = 3600)
{
  for (uint64_t seed : Seeds()) {
    tests::soak run(seed, kLength);
    auto violations = run.Run();
    cr_log_info("seed %lu: %s, %s", seed, run.Summary().c_str(),
                violations.empty() ? "held" : "broken");
    for (const std::string& line : violations) {
      cr_log_error("seed %lu: %s", seed, line.c_str());
    }
    cr_expect(violations.empty(), "seed %lu", seed);
  }
}
