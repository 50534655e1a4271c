// Takeover of a lost session: collects the promises of its witnesses, which allow its slices to be
// assigned to new owners.
#pragma once

#include "version/session_row.h"

#include <set>

namespace bamboograde::process::lease {

// Valid for one version of the session's row: the commit must be conditional on that version.
class takeover
{
public:
  takeover(version::session_row_ptr aRow, common::row_version aVersion);

  void OnPromise(const version::witness_ref& aWitness);
  // Whether a majority of the row's witnesses has promised, or the holder has released the session.
  bool Ready() const;
  const version::session_row& Row() const { return *mRow; }
  common::row_version RowVersion() const { return mVersion; }

private:
  version::session_row_ptr mRow;
  common::row_version mVersion;
  std::set<version::witness_ref> mPromised;
};

// Divides the slices, at their next epochs, so that the successors' slice counts become as even as
// possible. aSliceCounts: current slice count of each successor. Returns one list per successor, in
// the same order.
std::vector<std::vector<version::owned_slice>> DivideSlices(
  const std::vector<version::owned_slice>& aSlices, const std::vector<size_t>& aSliceCounts);

} // namespace bamboograde::process::lease
