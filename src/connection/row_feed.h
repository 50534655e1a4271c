// Subscription to changes of the platform's rows, as an alternative to polling.
#pragma once

#include "connection/platform_store.h"

namespace bamboograde::connection {

class row_feed_observer
{
public:
  virtual ~row_feed_observer() = default;
  // Called with the present state of a row; the value is null if the row was removed. The same
  // state may be reported more than once.
  virtual void OnRow(const platform_row& aRow) = 0;
  // Called when all rows that existed at the start of the feed have been reported.
  virtual void OnFeedSynchronized() {}
  // Called after the rows of each successful response of the platform, also if it has none.
  virtual void OnFeedResponse() {}
};

class row_feed
{
public:
  virtual ~row_feed() = default;
  // Reports all rows and then every change until the process ends.
  virtual void Start(row_feed_observer* aObserver) = 0;
  // Sets after which time without a change the platform shows that the feed still works. Shorter
  // times find an interrupted feed earlier and cost more calls.
  virtual void SetMaxWait(common::milliseconds aWait) = 0;
  // Requests changes at once instead of waiting. For use when another daemon has seen a newer row
  // than this feed has reported.
  virtual void Refresh() = 0;
};

} // namespace bamboograde::connection
