// Has the daemon's bulk responses written at the pace that request::link_pacer decides.
#pragma once

#include "connection/http/event_loop.h"
#include "request/link_pacer.h"

#include <map>

namespace bamboograde::process::sidecar {

// Holds the bytes of one bulk response that wait.
class bulk_source
{
public:
  virtual ~bulk_source() = default;
  // Writes the next aBytes of the bytes that wait.
  virtual void WriteWaiting(size_t aBytes) = 0;
};

class bulk_writer
{
public:
  // Bytes that may wait for one response and for all of them; reading is paused beyond. They are
  // enough to free the upstream's slot before most responses are written, and small for a VM with
  // 160 MB.
  static constexpr size_t kMaxResponseBytes = size_t(256) * 1024;
  static constexpr size_t kMaxTotalBytes = size_t(2) * 1024 * 1024;
  // This long before a deadline, a response no longer waits. The link needs 330 ms for the largest
  // downloads (540 KB at 13 Mbit/s).
  static constexpr common::milliseconds kUnpacedTime{ 500 };

  bulk_writer(connection::http::event_loop& aLoop, double aLinkMbps);

  // Whether the rate of the link is known.
  bool Limited() const { return mPacer.Limited(); }
  uint64_t Open(bulk_source* aSource, common::boot_time aDeadline);
  void Close(uint64_t aResponse);
  // aBytes more wait. WriteWaiting() is called at the end of the loop iteration if some may be
  // written.
  void Add(uint64_t aResponse, size_t aBytes);
  void UnpaceAllFrom(common::boot_time aTime);
  // aWaiting: bytes of one response that wait. Whether its source should be paused.
  bool Full(size_t aWaiting) const;
  size_t WaitingBytes() const { return mPacer.WaitingBytes(); }

private:
  void ScheduleWrite();
  void Write();

  connection::http::event_loop& mLoop;
  request::link_pacer mPacer;
  std::map<uint64_t, bulk_source*> mSources;
  connection::http::loop_timer mTimer;
  bool mWriteScheduled = false;
};

} // namespace bamboograde::process::sidecar
