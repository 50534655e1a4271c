// Subscription to changes of the platform's rows, as an alternative to polling.
//
// After the platform has returned from an older copy, also if only platform_store::OnEra() says so,
// the feed reports all rows again, with versions of the new era.
#pragma once

#include "connection/platform_store.h"

#include <set>

namespace bamboograde::connection {

// A successful response of the platform.
struct feed_response
{
  common::boot_time sentAt;
  // The platform's steady clock at the response; 0 when it does not say. It may go back with the
  // era.
  uint64_t platformMs = 0;
  common::store_era era;
};

class row_feed_observer
{
public:
  virtual ~row_feed_observer() = default;
  // Called with the present state of a row; the value is null if the row was removed. The same
  // state may be reported more than once.
  virtual void OnRow(const platform_row& aRow) = 0;
  // Called when the whole table has been read and its rows have been reported: aRows, as of the
  // table's version aVersion or later. Other rows have been removed.
  virtual void OnFeedSynchronized(const std::set<std::string>& aRows, common::row_version aVersion)
  {
  }
  // Called after the rows of each successful response, also if it has none. The rows reported by
  // then are those that existed at the time of the response.
  virtual void OnFeedResponse(const feed_response& aResponse) {}
};

class row_feed
{
public:
  virtual ~row_feed() = default;
  // Reports all rows and then every change until the process ends.
  virtual void Start(row_feed_observer* aObserver) = 0;
  // Sets after which time without a change the platform shows that the feed still works. Shorter
  // times find an interrupted feed earlier and cost more calls. 0: changes are reported only after
  // Query() and Refresh().
  virtual void SetMaxWait(common::milliseconds aWait) = 0;
  // Requests changes on a new connection, without waiting for one and beside the poll in progress,
  // which is replaced if it should have reported a change before. No effect while the feed is
  // interrupted, since it then repeats its requests by itself.
  virtual void Query() = 0;
  // Requests changes at once instead of waiting. For use when another daemon has seen a newer row
  // than this feed has reported.
  virtual void Refresh() = 0;
};

} // namespace bamboograde::connection
