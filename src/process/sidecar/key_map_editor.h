// Conditional writes of key maps to the platform, one at a time.
//
// The map of a service has a row for each era of the platform. A write of an earlier era that is
// performed late therefore changes a row that is not in use any more, whatever version it expects.
#pragma once

#include "connection/platform_store.h"
#include "process/sidecar/change_broadcast.h"

namespace bamboograde::process::sidecar {

// The set of owners must be unchanged for this long before unowned keys are assigned.
constexpr common::milliseconds kOwnersStableTime{ 1200 };

// Name of the row that holds the key map of a service in an era: "keys/SERVICE" in era 0, otherwise
// "keys/SERVICE/ERA".
std::string KeyRowName(const common::service_name& aService, common::store_era aEra);
// The map in a row, with the version that the row has in the era of its name; null if it holds
// none.
version::key_map_ptr DecodeKeyRow(const connection::platform_row& aRow);

enum class edit_outcome
{
  kCommitted,
  // The row had changed, so nothing was written. The current map has been applied, unless the
  // platform could not be read.
  kConflict,
  // The platform refused the write, so nothing was written.
  kRefused,
  // The platform has returned from an older copy since the write was submitted, and did not perform
  // it before. If it did afterwards, it changed the row of a former era, which counts only until
  // there is one of the present era.
  kNotInItsEra,
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
    , mStartedAt(aRuntime.Now())
  {
  }
  // Must be called when the platform's era is known for the first time.
  void OnFirstEra();
  // Applies the edit to the newest known map and submits it. Returns false, without calling back,
  // when another change is pending, the edit returns false, or the newest known map is not of the
  // present era.
  bool Edit(const common::service_name& aService, const edit& aEdit, edit_callback aCallback);
  // Writes the first map of the present era, from the newest known one of an earlier era. Returns
  // false, without calling back, when another change is pending.
  bool Restore(const common::service_name& aService, edit_callback aCallback);
  // Removes the rows of earlier eras, which a copy may have brought back. Calls back with true when
  // there are none left.
  void RemoveFormerRows(const common::service_name& aService, std::function<void(bool)> aCallback);
  // Reads the newest map and applies it.
  void Refresh(const common::service_name& aService);
  bool Busy() const { return mBusy; }
  // Whether none of this editor's platform calls has failed recently.
  bool Healthy() const { return mRuntime.Now() >= mHealthyFrom; }

private:
  // A removal of the rows of earlier eras.
  struct row_removal
  {
    common::service_name service;
    // The rows of the service that have been read, with the eras of their names.
    std::vector<connection::row_condition> rows;
    std::function<void(bool)> callback;
  };

  // aBefore: the map to which peers apply the change; null if there is none.
  void Submit(const version::key_map_ptr& aBefore,
              const boost::intrusive_ptr<version::key_map>& aMap, edit_callback aCallback);
  bool IsOfPresentEra(common::row_version aVersion) const
  {
    return mRuntime.fleet.Era() == aVersion.Era();
  }
  void OnCommitResult(common::boot_time aSentAt, const version::key_map_ptr& aBefore,
                      const boost::intrusive_ptr<version::key_map>& aMap,
                      const connection::commit_result& aResult, const edit_callback& aCallback);
  void OnCommitted(const version::key_map& aMap, const edit_callback& aCallback);
  // Applies the map in a row that the platform returned for a call sent at aSentAt; returns null
  // when the row holds none of the present era.
  version::key_map_ptr ApplyRow(const connection::platform_row& aRow, common::boot_time aSentAt);
  // Adds the rows after aAfter, and removes those of earlier eras once it has all.
  void ScanRows(row_removal aRemoval, const std::string& aAfter);
  void RemoveFormerRows(const row_removal& aRemoval);
  // Reads the row to determine whether a change was committed, then calls back.
  void ReadAfter(const boost::intrusive_ptr<version::key_map>& aSubmitted, edit_outcome aOutcome,
                 const edit_callback& aCallback);

  runtime& mRuntime;
  connection::platform_store& mStore;
  change_broadcast& mBroadcast;
  common::boot_time mStartedAt;
  // The platform's era was first known so early that no daemon of a first start can have held keys
  // in the one before.
  bool mKnowsFirstEra = false;
  bool mBusy = false;
  // A write with unknown outcome may have been committed without being broadcast.
  bool mMayHaveUnbroadcastCommit = false;
  common::boot_time mHealthyFrom;
};

} // namespace bamboograde::process::sidecar
