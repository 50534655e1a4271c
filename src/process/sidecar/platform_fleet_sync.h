// Fleet state in the platform: writes this daemon's member record at startup and reads all member
// records and key maps.
//
// Later changes come from peers. The platform is read again when no peer responds, and otherwise
// rarely, in case the fleet has split into parts that do not know of each other. The number of
// calls therefore does not grow with the number of changes.
#pragma once

#include "connection/platform_store.h"
#include "process/sidecar/gossip.h"

#include <optional>
#include <set>

namespace bamboograde::process::sidecar {

class platform_fleet_sync
{
public:
  // aOnRead is called when all rows have been read and applied.
  platform_fleet_sync(runtime& aRuntime, connection::platform_store& aStore, const gossip& aGossip,
                      std::function<void()> aOnRead);
  // Writes this daemon's member record, then reads all rows.
  void Start(const version::member& aSelf);
  // Must be called when the platform has returned from an older copy.
  void OnPlatformReturned();
  // Must be called every few tens of milliseconds.
  void Tick();

private:
  void Write();
  // Reads all rows after aAfter. aEra: the platform's era when the first of them were read.
  void Read(const std::string& aAfter, std::optional<common::store_era> aEra);
  void ReadAll() { Read("", mRuntime.fleet.Era()); }
  // Writes this daemon's member record again if the platform has lost it.
  void CheckMember();
  void OnRow(const connection::platform_row& aRow);
  // Whether others may have written a map of the local service before the platform returned, which
  // this daemon does not know.
  bool MayLackKeyMap() const;

  runtime& mRuntime;
  connection::platform_store& mStore;
  const gossip& mGossip;
  std::function<void()> mOnRead;
  version::member mSelf;
  // Rows that could not be decoded and were logged.
  std::set<std::string> mIgnoredRows;
  bool mWritten = false;
  bool mCallInFlight = false;
  common::boot_time mWriteAt;
  common::boot_time mReadAt;
  // When to look whether the member record is still there; unset if there is no need.
  std::optional<common::boot_time> mCheckAt;
  // When to read again if this daemon may lack a key map; unset before the first return.
  std::optional<common::boot_time> mReadAgainAt;
  // When to read again if no peer responds.
  common::boot_time mIsolatedReadAt;
};

} // namespace bamboograde::process::sidecar
