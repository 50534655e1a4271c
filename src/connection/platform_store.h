// Interface to the platform's table service.
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "common/json.h"

#include <functional>
#include <string>
#include <vector>

namespace bamboograde::connection {

// A row of the table service.
struct platform_row
{
  std::string name;
  common::row_version version;
  common::json value;
};

// Precondition of a transaction: the row must be at this version. Zero: the row must not exist.
struct row_condition
{
  std::string name;
  common::row_version version;
};

struct row_write
{
  std::string name;
  // Null deletes the row.
  common::json value;
};

// Atomic set of conditional writes. The operation id makes a retry idempotent.
struct transaction
{
  common::operation_id operation;
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
};

enum class commit_outcome
{
  kCommitted,
  // A condition did not hold; nothing was written.
  kConflict,
  // The service refused the call or was not reached; nothing was written.
  kRefused,
  // No valid response was received, so the transaction may have been committed. A retry with
  // the same operation id shows whether it was.
  kUnknown,
};

struct commit_result
{
  commit_outcome outcome = commit_outcome::kUnknown;
  // Version of all written rows, if committed.
  common::row_version version;
  // On a conflict: the present rows of the conditions, if the service returns them.
  std::vector<platform_row> current;
};

// Asynchronous access to the rows. Each callback runs exactly once, on the calling thread.
class platform_store
{
public:
  virtual ~platform_store() = default;
  // The observer is called with the platform's era at the first response and whenever a later one
  // is known, before anything of a response of that era is delivered.
  virtual void SetEraObserver(std::function<void(common::store_era)> aObserver) {}
  // Must be called with an era that is known from elsewhere. Responses of earlier eras do not count
  // from then on.
  virtual void OnEra(common::store_era aEra) {}
  virtual void Commit(const transaction& aTransaction, common::boot_time aDeadline,
                      std::function<void(commit_result)> aCallback) = 0;
  // A missing row is returned as a row with version zero, not as an error.
  virtual void Read(const std::string& aName, common::boot_time aDeadline,
                    std::function<void(common::result<platform_row>)> aCallback) = 0;
  // Returns the first aLimit rows whose names start with aPrefix and sort after aAfter, in order of
  // name; fewer only if there are no more.
  virtual void Scan(const std::string& aPrefix, const std::string& aAfter, size_t aLimit,
                    common::boot_time aDeadline,
                    std::function<void(common::result<std::vector<platform_row>>)> aCallback) = 0;
};

} // namespace bamboograde::connection
