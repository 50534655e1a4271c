// What the platform keeps of the fleet: this daemon's record is written there at its start, and
// everybody's records and the key maps are read from there once.
//
// Everything later comes from the other daemons. The platform is read again only when none of them
// answers, and seldom otherwise, in case the fleet has fallen into parts that do not know each
// other. So the number of calls grows with the daemons that start, not with the changes that they
// make.
#pragma once

#include "connection/platform_store.h"
#include "process/sidecar/gossip.h"

namespace bamboograde::process::sidecar {

class stored_fleet
{
public:
  // aOnRead: all rows have been read and applied.
  stored_fleet(runtime& aRuntime, connection::platform_store& aStore, const gossip& aGossip,
               std::function<void()> aOnRead);
  // Stores the record of this start, then reads.
  void Start(const version::member& aSelf);
  // Call every few dozen milliseconds.
  void Tick();

private:
  void Write();
  void Read(const std::string& aAfter);
  void OnRow(const connection::platform_row& aRow);

  runtime& mRuntime;
  connection::platform_store& mStore;
  const gossip& mGossip;
  std::function<void()> mOnRead;
  version::member mSelf;
  bool mWritten = false;
  bool mCalling = false;
  common::boot_time mWriteAt;
  common::boot_time mReadAt;
  // When to read again if no other daemon answers.
  common::boot_time mReadAloneAt;
};

} // namespace bamboograde::process::sidecar
