// The platform's table service and object store, as the daemon sees them.
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "common/json.h"

#include <functional>
#include <string>
#include <vector>

namespace bamboograde::connection {

// One row of the table service.
struct platform_row
{
  std::string name;
  common::row_version version;
  common::json value;
};

// The transaction commits only if the row is at this version. Zero: the row must not exist.
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

// All writes take effect together or none does. The operation id makes a repeat idempotent.
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
  // No answer: it may or may not have taken effect. Repeating the same operation finds out.
  kUnknown,
};

struct commit_result
{
  commit_outcome outcome = commit_outcome::kUnknown;
  // Version of all rows written, when committed.
  common::row_version version;
  // On a conflict: the rows of the conditions as they are, if the service tells them.
  std::vector<platform_row> current;
};

// Every call answers through its callback, once, on the calling task.
class platform_store
{
public:
  virtual ~platform_store() = default;
  virtual void Commit(const transaction& aTransaction, common::boot_time aDeadline,
                      std::function<void(commit_result)> aCallback) = 0;
  // An absent row is a success with version zero.
  virtual void Read(const std::string& aName, common::boot_time aDeadline,
                    std::function<void(common::result<platform_row>)> aCallback) = 0;
  // Rows whose names start with aPrefix and come after aAfter, in order of name, aLimit at most.
  virtual void Scan(const std::string& aPrefix, const std::string& aAfter, size_t aLimit,
                    common::boot_time aDeadline,
                    std::function<void(common::result<std::vector<platform_row>>)> aCallback) = 0;
};

} // namespace bamboograde::connection
