#include "process/lease/takeover.h"

#include <algorithm>

namespace bamboograde::process::lease {

takeover::takeover(version::session_row_ptr aRow, common::row_version aVersion)
  : mRow(std::move(aRow))
  , mVersion(aVersion)
{
}

void takeover::OnPromise(const version::witness_ref& aWitness)
{
  const auto& members = mRow->witnesses;
  if (std::find(members.begin(), members.end(), aWitness) != members.end()) {
    mPromised.insert(aWitness);
  }
}

bool takeover::Ready() const
{
  // The row of a released session has no witnesses; no daemon serves its slices.
  bool released = mRow->witnesses.empty();
  return released || mPromised.size() * 2 > mRow->witnesses.size();
}

std::vector<std::vector<version::owned_slice>> DivideSlices(
  const std::vector<version::owned_slice>& aSlices, const std::vector<size_t>& aSliceCounts)
{
  std::vector<std::vector<version::owned_slice>> parts(aSliceCounts.size());
  std::vector<size_t> counts = aSliceCounts;
  for (version::owned_slice slice : aSlices) {
    auto smallest = std::min_element(counts.begin(), counts.end()) - counts.begin();
    slice.epoch = slice.epoch.Next();
    parts[size_t(smallest)].push_back(slice);
    ++counts[size_t(smallest)];
  }
  return parts;
}

} // namespace bamboograde::process::lease
