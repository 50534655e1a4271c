// Conditional writes of key maps to the platform, one at a time.
#pragma once

#include "connection/platform_store.h"
#include "process/sidecar/change_broadcast.h"

namespace bamboograde::process::sidecar {

// Row names are "keys/SERVICE".
constexpr char kKeyRowPrefix[] = "keys/";

enum class edit_outcome
{
  kCommitted,
  // The row had changed, so nothing was written. The current map has been applied, unless the
  // platform could not be read.
  kConflict,
  // The write may still take effect, unless another change is committed first.
  kUnknown,
};

class key_map_editor
{
public:
  // Modifies the map; returns false when no change is needed any more.
  using edit = std::function<bool(version::key_map&)>;
  using edit_callback = std::function<void(edit_outcome)>;

  key_map_editor(runtime& aRuntime, connection::platform_store& aStore,
                 change_broadcast& aBroadcast)
    : mRuntime(aRuntime)
    , mStore(aStore)
    , mBroadcast(aBroadcast)
  {
  }
  // Applies the edit to the newest known map and submits it. Returns false, without calling back,
  // when another change is pending or the edit returns false.
  bool Edit(const common::service_name& aService, const edit& aEdit, edit_callback aCallback);
  // Reads the newest map and applies it.
  void Refresh(const common::service_name& aService);
  bool Busy() const { return mBusy; }
  // Whether none of this editor's platform calls has failed recently.
  bool Healthy() const { return mRuntime.Now() >= mHealthyFrom; }

private:
  void OnCommitResult(common::boot_time aSentAt, const version::key_map_ptr& aBefore,
                      const boost::intrusive_ptr<version::key_map>& aMap,
                      const connection::commit_result& aResult, const edit_callback& aCallback);
  void OnCommitted(const version::key_map& aMap, const edit_callback& aCallback);
  // Applies the map in a row that the platform returned for a call sent at aSentAt; returns null
  // when the row holds none.
  version::key_map_ptr ApplyRow(const connection::platform_row& aRow, common::boot_time aSentAt);
  // Reads the row to determine whether a change was committed, then calls back.
  void ReadAfter(const boost::intrusive_ptr<version::key_map>& aSubmitted, edit_outcome aOutcome,
                 const edit_callback& aCallback);

  runtime& mRuntime;
  connection::platform_store& mStore;
  change_broadcast& mBroadcast;
  bool mBusy = false;
  // A write with unknown outcome may have been committed without being broadcast.
  bool mMayHaveUnbroadcastCommit = false;
  common::boot_time mHealthyFrom;
};

} // namespace bamboograde::process::sidecar
