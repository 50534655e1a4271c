// Builds table rows and tables for tests.
#pragma once

#include "version/table.h"

namespace bamboograde::tests {

inline version::table_row MakeRow(const std::string& aId, const std::string& aClass = "*",
                                  double aWeight = 1, double aLimit = 0,
                                  const std::string& aService = "routes")
{
  version::table_row row;
  row.id = common::row_id(aId);
  row.service = common::service_name(aService);
  row.callerClass = common::caller_class(aClass);
  row.weight = aWeight;
  row.limitPerSecond = aLimit;
  return row;
}

inline version::table_ptr MakeTable(std::vector<version::table_row> aRows, uint64_t aVersion = 1)
{
  return { new version::table(common::table_version(aVersion), std::move(aRows)) };
}

} // namespace bamboograde::tests
