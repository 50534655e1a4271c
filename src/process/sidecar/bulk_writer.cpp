#include "process/sidecar/bulk_writer.h"

#include <boost/scope_exit.hpp>

namespace bamboograde::process::sidecar {

bulk_writer::bulk_writer(connection::http::event_loop& aLoop, double aLinkMbps)
  : mLoop(aLoop)
  , mPacer(aLinkMbps)
  , mTimer(aLoop, [this] { Write(); })
{
}

uint64_t bulk_writer::Open(bulk_source* aSource, common::boot_time aDeadline)
{
  uint64_t response = mPacer.Open(aDeadline - kUnpacedTime);
  mSources[response] = aSource;
  return response;
}

void bulk_writer::Close(uint64_t aResponse)
{
  mPacer.Close(aResponse);
  mSources.erase(aResponse);
}

void bulk_writer::Add(uint64_t aResponse, size_t aBytes)
{
  mPacer.Add(aResponse, aBytes);
  ScheduleWrite();
}

void bulk_writer::UnpaceAllFrom(common::boot_time aTime)
{
  mPacer.UnpaceAllFrom(aTime);
  ScheduleWrite();
}

bool bulk_writer::Full(size_t aWaiting) const
{
  // A response with less than a part is never paused, since writing its next part resumes it.
  return aWaiting > kMaxResponseBytes ||
         (WaitingBytes() > kMaxTotalBytes && aWaiting > mPacer.PartBytes());
}

// Deferred, because writing may end other responses, while the caller is in a callback of its own.
void bulk_writer::ScheduleWrite()
{
  if (!mWriteScheduled) {
    mWriteScheduled = true;
    mLoop.Defer([this] { Write(); });
  }
}

void bulk_writer::Write()
{
  // Also after an exception, so that the other responses continue.
  BOOST_SCOPE_EXIT_ALL(this)
  {
    if (auto at = mPacer.NextAt(); at.has_value()) {
      mTimer.Arm(*at);
    } else {
      mTimer.Cancel();
    }
  };
  mWriteScheduled = false;
  common::boot_time now = mLoop.Now();
  while (auto part = mPacer.Next(now)) {
    mSources.at(part->response)->WriteWaiting(part->bytes);
  }
}

} // namespace bamboograde::process::sidecar
