#include "soak/soak.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <cstdlib>
#include <sstream>

using namespace bamboograde;

namespace {

constexpr char kSeedsVariable[] = "BAMBOOGRADE_SOAK_SEEDS";
constexpr common::milliseconds kLength{ 8000 };

// "FIRST LAST", both included.
std::pair<uint64_t, uint64_t> Seeds()
{
  std::pair<uint64_t, uint64_t> seeds{ 1, 2 };
  if (const char* text = std::getenv(kSeedsVariable); text != nullptr) {
    std::istringstream(text) >> seeds.first >> seeds.second;
  }
  return seeds;
}

} // namespace

Test(soak, promises_hold_under_random_faults, .timeout = 3600)
{
  auto [first, last] = Seeds();
  for (uint64_t seed = first; seed <= last; ++seed) {
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
