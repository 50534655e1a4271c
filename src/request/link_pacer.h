// Decides when how many bytes of bulk responses may be written, so that together they use a share
// of the link's rate and little of them is queued in front of other traffic.
//
// Load pattern: several large responses at once on a narrow link. Written as they arrive, ten of
// 90 KB fill the queue of a 13 Mbit/s link for more than half a second, and urgent small responses
// and health checks wait behind them.
#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace bamboograde::request {

struct bulk_part
{
  uint64_t response = 0;
  size_t bytes = 0;
};

class link_pacer
{
public:
  // The rest of the link's rate is left to other traffic.
  static constexpr double kLinkShare = 0.85;
  // With the first bytes of another response, less than 16 KiB are queued in front of other
  // traffic.
  static constexpr size_t kMinPartBytes = size_t(14) * 1024;
  // Timers have a resolution of 1 ms, so parts that take less would leave fast links unused.
  static constexpr common::milliseconds kMinPartTime{ 4 };
  // Written at once: about one packet, so that many responses that start together do not queue more
  // than one part.
  static constexpr size_t kFirstBytes = 1400;

  // aLinkMbps: 0 when unknown; nothing waits then.
  explicit link_pacer(double aLinkMbps);
  bool Limited() const { return mBytesPerSecond > 0; }
  // Starts a response and returns its id. From aUnpacedFrom on its bytes no longer wait.
  uint64_t Open(common::boot_time aUnpacedFrom);
  // The response has ended; its bytes that wait are dropped.
  void Close(uint64_t aResponse);
  // aBytes more of the response are ready to be written.
  void Add(uint64_t aResponse, size_t aBytes);
  // From aTime on no response waits.
  void UnpaceAllFrom(common::boot_time aTime) { mUnpacedFrom = aTime; }
  // The bytes to write now; call until it returns nothing.
  std::optional<bulk_part> Next(common::boot_time aNow);
  // When Next() has bytes again; empty when none wait.
  std::optional<common::boot_time> NextAt() const;
  size_t WaitingBytes() const { return mWaitingBytes; }
  size_t PartBytes() const;

private:
  struct response
  {
    size_t waiting = 0;
    bool started = false;
    common::boot_time unpacedFrom;
  };

  bulk_part Take(std::deque<uint64_t>::iterator aPosition, size_t aMaxBytes,
                 common::boot_time aNow);
  common::boot_time UnpacedFrom(const response& aResponse) const;

  double mBytesPerSecond;
  common::boot_time mUnpacedFrom = common::boot_time::max();
  std::map<uint64_t, response> mResponses;
  // Responses whose bytes wait. The first one is written until none of its bytes wait, so that the
  // responses end one after the other and not all at the end.
  std::deque<uint64_t> mQueue;
  // When the next part may be written.
  common::boot_time mPartAt;
  uint64_t mLastId = 0;
  size_t mWaitingBytes = 0;
};

} // namespace bamboograde::request
