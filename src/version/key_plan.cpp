#include "version/key_plan.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

// Weight of a key that nobody asked for lately, against one request.
constexpr double kIdleWeight = 0.001;

double Weight(uint32_t aKey, const key_load* aLoad)
{
  return aLoad == nullptr ? 1 : kIdleWeight + double(aLoad->Sum({ aKey, aKey }));
}

} // namespace

std::vector<key_assignment> SpreadKeys(const std::vector<key_range>& aRanges,
                                       const std::vector<heir>& aHeirs, const key_load* aLoad)
{
  double total = 0;
  for (const key_range& range : aRanges) {
    for (uint32_t key = range.first; key <= range.last; ++key) {
      total += Weight(key, aLoad);
    }
  }
  double slots = 0;
  for (const heir& candidate : aHeirs) {
    slots += candidate.slots;
  }
  std::vector<key_assignment> plan;
  size_t current = 0;
  double given = 0;
  double allowance = total * aHeirs[0].slots / slots;
  for (const key_range& range : aRanges) {
    uint32_t first = range.first;
    for (uint32_t key = range.first; key <= range.last; ++key) {
      given += Weight(key, aLoad);
      // Cut where the piece comes out nearest to its share.
      double next = key < range.last ? Weight(key + 1, aLoad) : 0;
      bool full = given + next / 2 >= allowance && current + 1 < aHeirs.size();
      if (full || key == range.last) {
        plan.push_back({ { first, key }, aHeirs[current].vm });
        first = key + 1;
      }
      if (full) {
        ++current;
        allowance += total * aHeirs[current].slots / slots;
      }
    }
  }
  return plan;
}

std::vector<heir> LeastUsed(std::vector<heir> aHeirs, size_t aMost)
{
  std::stable_sort(aHeirs.begin(), aHeirs.end(),
                   [](const heir& aLeft, const heir& aRight) { return aLeft.use < aRight.use; });
  if (aHeirs.size() > aMost) {
    aHeirs.resize(aMost);
  }
  return aHeirs;
}

} // namespace bamboograde::version
