#include "version/key_plan.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

// Weight of a key that nobody asked for lately, against one request.
constexpr double kIdleWeight = 0.001;
// Keys with this much more load than wanted are still chosen.
constexpr float kMostExcess = 1.5F;
// A move costs its keys a pause and a cold start: it is made in few parts, each with at least this
// share of the wanted load.
constexpr size_t kMostParts = 4;
constexpr float kLeastPart = 0.1F;

double Weight(uint32_t aKey, const key_load* aLoad)
{
  return aLoad == nullptr ? 1 : kIdleWeight + double(aLoad->Sum({ aKey, aKey }));
}

std::optional<key_range> Narrowest(const std::vector<key_range>& aRanges, const key_load& aLoad,
                                   float aWanted)
{
  std::optional<key_range> best;
  for (const key_range& range : aRanges) {
    auto found = aLoad.Narrowest(range, aWanted, aWanted * kMostExcess);
    if (found.has_value() && (!best.has_value() || found->Size() < best->Size())) {
      best = found;
    }
  }
  return best;
}

std::optional<key_range> Heaviest(const std::vector<key_range>& aRanges, const key_load& aLoad,
                                  float aMost)
{
  std::optional<key_range> best;
  for (const key_range& range : aRanges) {
    auto found = aLoad.Heaviest(range, aMost);
    if (found.has_value() && (!best.has_value() || aLoad.Sum(*found) > aLoad.Sum(*best))) {
      best = found;
    }
  }
  return best;
}

} // namespace

std::vector<key_range> ChooseRanges(const std::vector<key_range>& aRanges, const key_load& aLoad,
                                    float aWanted)
{
  if (aWanted <= 0) {
    return {};
  }
  if (auto single = Narrowest(aRanges, aLoad, aWanted); single.has_value()) {
    return { *single };
  }
  std::vector<key_range> chosen;
  key_owner rest;
  for (const key_range& range : aRanges) {
    rest.ranges.push_back({ range, {}, "" });
  }
  float missing = aWanted;
  while (chosen.size() < kMostParts && missing > aWanted * kLeastPart) {
    auto part = Heaviest(RangesOf(rest), aLoad, missing * kMostExcess);
    float load = part.has_value() ? aLoad.Sum(*part) : 0;
    if (load < aWanted * kLeastPart) {
      break;
    }
    chosen.push_back(*part);
    TakeRange(&rest, *part);
    missing -= load;
  }
  return chosen;
}

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
