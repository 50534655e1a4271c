#include "platform_state.h"

namespace bamboograde::standins::platform {

operation_result platform_state::Commit(const connection::transaction& aTransaction)
{
  auto earlier = mOperationResults.find(aTransaction.operation);
  if (earlier != mOperationResults.end()) {
    return earlier->second;
  }
  operation_result result;
  for (const connection::row_condition& condition : aTransaction.conditions) {
    if (Read(condition.name).version != condition.version) {
      result.failed.push_back(condition.name);
    }
  }
  if (result.failed.empty()) {
    mLastVersion = mLastVersion.Next();
    result.committed = true;
    result.version = mLastVersion;
    for (const connection::row_write& write : aTransaction.writes) {
      if (write.value.is_null()) {
        mRows.erase(write.name);
      } else {
        mRows[write.name] = { write.name, mLastVersion, write.value };
      }
    }
  }
  mOperationResults[aTransaction.operation] = result;
  return result;
}

connection::platform_row platform_state::Read(const std::string& aName) const
{
  auto found = mRows.find(aName);
  return found == mRows.end() ? connection::platform_row{ aName, {}, {} } : found->second;
}

std::vector<connection::platform_row> platform_state::Scan(const std::string& aPrefix,
                                                           const std::string& aAfter,
                                                           size_t aLimit) const
{
  std::vector<connection::platform_row> rows;
  auto it = aAfter.empty() ? mRows.lower_bound(aPrefix) : mRows.upper_bound(aAfter);
  for (; it != mRows.end() && it->first.starts_with(aPrefix) && rows.size() < aLimit; ++it) {
    rows.push_back(it->second);
  }
  return rows;
}

} // namespace bamboograde::standins::platform
