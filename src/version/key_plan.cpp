#include "version/key_plan.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

// Added to the load of each key, in requests, so that keys without recent requests have a weight
// too and are divided among the successors.
constexpr double kIdleWeight = 0.001;
// Ranges are chosen up to this multiple of the target load.
constexpr float kMaxLoadFactor = 1.5F;
// A move interrupts the service of its keys and starts them cold at the new owner, so it consists
// of few ranges, each with at least a minimum share of the target load.
constexpr size_t kMaxRanges = 4;
constexpr float kMinRangeShare = 0.1F;

double Weight(uint32_t aKey, const key_load* aLoad)
{
  return aLoad == nullptr ? 1 : kIdleWeight + double(aLoad->Sum({ aKey, aKey }));
}

std::optional<key_range> NarrowestRange(const std::vector<key_range>& aRanges,
                                        const key_load& aLoad, float aTargetLoad)
{
  std::optional<key_range> best;
  for (const key_range& range : aRanges) {
    auto found = aLoad.NarrowestRange(range, aTargetLoad, aTargetLoad * kMaxLoadFactor);
    if (found.has_value() && (!best.has_value() || found->Size() < best->Size())) {
      best = found;
    }
  }
  return best;
}

std::optional<key_range> HeaviestRange(const std::vector<key_range>& aRanges, const key_load& aLoad,
                                       float aMaximum)
{
  std::optional<key_range> best;
  for (const key_range& range : aRanges) {
    auto found = aLoad.HeaviestRange(range, aMaximum);
    if (found.has_value() && (!best.has_value() || aLoad.Sum(*found) > aLoad.Sum(*best))) {
      best = found;
    }
  }
  return best;
}

} // namespace

std::vector<key_range> ChooseRangesToMove(const std::vector<key_range>& aRanges,
                                          const key_load& aLoad, float aTargetLoad)
{
  if (aTargetLoad <= 0) {
    return {};
  }
  if (auto single = NarrowestRange(aRanges, aLoad, aTargetLoad); single.has_value()) {
    return { *single };
  }
  std::vector<key_range> chosen;
  key_owner rest;
  for (const key_range& range : aRanges) {
    rest.ranges.push_back({ range, {}, "" });
  }
  float missing = aTargetLoad;
  while (chosen.size() < kMaxRanges && missing > aTargetLoad * kMinRangeShare) {
    auto part = HeaviestRange(RangesOf(rest), aLoad, missing * kMaxLoadFactor);
    float load = part.has_value() ? aLoad.Sum(*part) : 0;
    if (load < aTargetLoad * kMinRangeShare) {
      break;
    }
    chosen.push_back(*part);
    RemoveRange(&rest, *part);
    missing -= load;
  }
  return chosen;
}

std::vector<key_assignment> AssignKeys(const std::vector<key_range>& aRanges,
                                       const std::vector<successor>& aSuccessors,
                                       const key_load* aLoad)
{
  double total = 0;
  for (const key_range& range : aRanges) {
    for (uint32_t key = range.first; key <= range.last; ++key) {
      total += Weight(key, aLoad);
    }
  }
  double slots = 0;
  for (const successor& candidate : aSuccessors) {
    slots += candidate.slots;
  }
  std::vector<key_assignment> plan;
  size_t current = 0;
  double assigned = 0;
  double allowance = total * aSuccessors[0].slots / slots;
  for (const key_range& range : aRanges) {
    uint32_t first = range.first;
    for (uint32_t key = range.first; key <= range.last; ++key) {
      assigned += Weight(key, aLoad);
      // Ends the part at the key where the weight assigned so far is nearest to the sum of the
      // shares of the successors up to the current one.
      double next = key < range.last ? Weight(key + 1, aLoad) : 0;
      bool full = assigned + next / 2 >= allowance && current + 1 < aSuccessors.size();
      if (full || key == range.last) {
        plan.push_back({ { first, key }, aSuccessors[current].vm });
        first = key + 1;
      }
      if (full) {
        ++current;
        allowance += total * aSuccessors[current].slots / slots;
      }
    }
  }
  return plan;
}

bool ReplaceOwner(key_map* aMap, const std::string& aLostVm,
                  const std::vector<successor>& aSuccessors)
{
  const key_owner* lost = aMap->Owner(aLostVm);
  std::vector<key_range> ranges = lost == nullptr ? std::vector<key_range>() : RangesOf(*lost);
  if (lost == nullptr || (!ranges.empty() && aSuccessors.empty())) {
    return false;
  }
  aMap->RemoveOwner(aLostVm);
  aMap->lastFence = aMap->lastFence.Next();
  if (!ranges.empty()) {
    for (const key_assignment& part : AssignKeys(ranges, aSuccessors, nullptr)) {
      AddRange(aMap->Owner(part.vm), { part.range, aMap->lastFence, "" });
    }
  }
  return true;
}

std::vector<successor> LeastUsed(std::vector<successor> aSuccessors, size_t aMaximum)
{
  std::stable_sort(
    aSuccessors.begin(), aSuccessors.end(),
    [](const successor& aLeft, const successor& aRight) { return aLeft.use < aRight.use; });
  if (aSuccessors.size() > aMaximum) {
    aSuccessors.resize(aMaximum);
  }
  return aSuccessors;
}

} // namespace bamboograde::version
