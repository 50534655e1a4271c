// One immutable version of the operators' table, which assigns a weight and a rate limit to
// requests by service, caller class and key range.
#pragma once

#include "common/findings.h"
#include "common/ids.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string_view>
#include <vector>

namespace bamboograde::version {

// What rebalancing gives priority to for a service: a short time in which keys are unserved, or an
// even load.
enum class service_preference
{
  kUnservedTime,
  kBalance,
};

struct table_row
{
  common::row_id id;
  common::service_name service;
  // "*" matches every class.
  common::caller_class callerClass;
  // Keys from keyFrom (inclusive) to keyTo (exclusive), in byte order. Empty: unbounded.
  std::string keyFrom;
  std::string keyTo;
  // Relative share of the upstream's slots; positive.
  double weight = 1;
  // Requests per second, over all daemons together; zero: no limit.
  double limitPerSecond = 0;
  // "unserved_time", "balance" or empty. All rows of a service that set it must have the same
  // value.
  std::string prefers;

  bool operator==(const table_row&) const = default;
  bool MatchesKey(std::string_view aKey) const;
  bool MatchesClass(const common::caller_class& aClass) const;
};

constexpr char kAnyClass[] = "*";

// The first row, from top to bottom, that matches a request applies to it.
class table : public boost::intrusive_ref_counter<table, boost::thread_safe_counter>
{
public:
  table(common::table_version aVersion, std::vector<table_row> aRows);

  common::table_version Version() const { return mVersion; }
  const std::vector<table_row>& Rows() const { return mRows; }
  // The row that applies to a request; null when none matches.
  const table_row* Match(const common::service_name& aService, const common::caller_class& aClass,
                         std::string_view aKey) const;
  bool HasService(const common::service_name& aService) const;
  service_preference Preference(const common::service_name& aService) const;

private:
  common::table_version mVersion;
  std::vector<table_row> mRows;
  // Indexes into mRows per service, in ascending order.
  std::map<common::service_name, std::vector<size_t>> mByService;
};

using table_ptr = boost::intrusive_ptr<const table>;

// Validates the rows. The line of a finding is the number of its row, the key its column.
common::findings CheckRows(const std::string& aSource, const std::vector<table_row>& aRows);

} // namespace bamboograde::version
