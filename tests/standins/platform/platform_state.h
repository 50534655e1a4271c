// State of the platform stand-in: versioned rows and the results of completed operations.
#pragma once

#include "connection/platform_store.h"

#include <map>

namespace bamboograde::standins::platform {

struct operation_result
{
  bool committed = false;
  common::row_version version;
  // Names of the rows whose conditions did not hold.
  std::vector<std::string> failed;
};

class platform_state
{
public:
  // A transaction with an operation id that was seen before returns its first result again.
  operation_result Commit(const connection::transaction& aTransaction);
  connection::platform_row Read(const std::string& aName) const;
  std::vector<connection::platform_row> Scan(const std::string& aPrefix, const std::string& aAfter,
                                             size_t aLimit) const;

private:
  std::map<std::string, connection::platform_row> mRows;
  std::map<common::operation_id, operation_result> mOperationResults;
  common::row_version mLastVersion;
};

} // namespace bamboograde::standins::platform
