// Conditional changes of a service's key map in the platform, one at a time.
#pragma once

#include "connection/platform_store.h"
#include "process/sidecar/change_broadcast.h"

namespace bamboograde::process::sidecar {

// "keys/SERVICE".
constexpr char kKeyRowPrefix[] = "keys/";

enum class edit_outcome
{
  kCommitted,
  // Nothing was changed; the newest map has been read.
  kConflict,
  // It may take effect later, unless another change comes first.
  kUnknown,
};

class key_map_editor
{
public:
  // Changes the map; false when there is nothing to change any more.
  using edit = std::function<bool(version::key_map&)>;
  using edit_callback = std::function<void(edit_outcome)>;

  key_map_editor(runtime& aRuntime, connection::platform_store& aStore,
                 change_broadcast& aBroadcast)
    : mRuntime(aRuntime)
    , mStore(aStore)
    , mBroadcast(aBroadcast)
  {
  }
  // Applies the edit to the newest known map and commits it. False when another change is under
  // way.
  bool Edit(const common::service_name& aService, const edit& aEdit, edit_callback aCallback);
  bool Busy() const { return mBusy; }
  // No call failed lately, so that a change is likely to get an answer.
  bool Healthy() const { return mRuntime.Now() >= mHealthyAt; }

private:
  void OnAnswer(const version::key_map_ptr& aBefore,
                const boost::intrusive_ptr<version::key_map>& aMap,
                const connection::commit_result& aResult, const edit_callback& aCallback);
  void OnCommitted(const version::key_map& aMap, const edit_callback& aCallback);
  // Applies a map that the platform has told; null when the row holds none.
  version::key_map_ptr ApplyRow(const connection::platform_row& aRow);
  // Finds out what became of a change.
  void Reread(const boost::intrusive_ptr<version::key_map>& aSubmitted, edit_outcome aOutcome,
              const edit_callback& aCallback);

  runtime& mRuntime;
  connection::platform_store& mStore;
  change_broadcast& mBroadcast;
  bool mBusy = false;
  // A change that was committed without an answer may be one that nobody has been told.
  bool mMayBeUntold = false;
  common::boot_time mHealthyAt;
};

} // namespace bamboograde::process::sidecar
