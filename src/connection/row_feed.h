// Changes of the platform's rows as they happen, instead of polling.
#pragma once

#include "connection/platform_store.h"

namespace bamboograde::connection {

class row_feed_observer
{
public:
  virtual ~row_feed_observer() = default;
  // A row as it is now; its value is null when it was removed. Rows may be told more than once.
  virtual void OnRow(const platform_row& aRow) = 0;
  // Everything that was stored when the feed began has been told.
  virtual void OnFeedCurrent() {}
};

class row_feed
{
public:
  virtual ~row_feed() = default;
  // Tells all rows, then every change, until the process ends.
  virtual void Start(row_feed_observer* aObserver) = 0;
  // Another daemon knows a newer row than this feed has told: asks anew at once.
  virtual void Refresh() = 0;
};

} // namespace bamboograde::connection
