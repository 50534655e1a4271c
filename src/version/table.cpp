#include "version/table.h"

#include <cmath>
#include <set>

namespace bamboograde::version {

namespace {

// True when aOuter matches every request that aInner matches.
bool Covers(const table_row& aOuter, const table_row& aInner)
{
  bool fromCovered = aOuter.keyFrom <= aInner.keyFrom;
  bool toCovered = aOuter.keyTo.empty() || (!aInner.keyTo.empty() && aInner.keyTo <= aOuter.keyTo);
  bool classCovered =
    aOuter.callerClass.Str() == kAnyClass || aOuter.callerClass == aInner.callerClass;
  return fromCovered && toCovered && classCovered;
}

bool MatchesAllRequests(const table_row& aRow)
{
  return aRow.callerClass.Str() == kAnyClass && aRow.keyFrom.empty() && aRow.keyTo.empty();
}

// Validates the rows of one table.
class table_checker
{
public:
  table_checker(const std::string& aSource, const std::vector<table_row>& aRows)
    : mSource(aSource)
    , mRows(aRows)
  {
  }

  common::findings Check()
  {
    if (mRows.empty()) {
      mFindings.Add({ mSource, 0, "", "The table has no rows; give each service at least one." });
    }
    for (size_t i = 0; i < mRows.size(); ++i) {
      CheckCells(i);
      CheckReachable(i);
      CheckPrefers(i);
    }
    CheckCatchAll();
    return std::move(mFindings);
  }

private:
  void AddFinding(size_t aIndex, const char* aColumn, const std::string& aMessage)
  {
    mFindings.Add({ mSource, int(aIndex) + 1, aColumn, aMessage });
  }

  void CheckCells(size_t aIndex)
  {
    const table_row& row = mRows[aIndex];
    if (row.id.Empty()) {
      AddFinding(aIndex, "row", "A row needs a name that is unique in the table.");
    } else if (!mIds.insert(row.id).second) {
      AddFinding(aIndex, "row", "The name '" + row.id.Str() + "' is used by an earlier row.");
    }
    if (row.service.Empty()) {
      AddFinding(aIndex, "service", "A service name is expected.");
    }
    if (row.callerClass.Empty()) {
      AddFinding(aIndex, "class", "A caller class, or * for all, is expected.");
    }
    if (!row.keyTo.empty() && row.keyTo <= row.keyFrom) {
      AddFinding(aIndex, "key_to", "The end of the key range must come after its start.");
    }
    if (!std::isfinite(row.weight) || row.weight <= 0) {
      AddFinding(aIndex, "weight", "A number above 0 is expected.");
    }
    if (!std::isfinite(row.limitPerSecond) || row.limitPerSecond < 0) {
      AddFinding(aIndex, "limit", "Requests a second are expected, or 0 for no limit.");
    }
  }

  void CheckReachable(size_t aIndex)
  {
    for (size_t earlier = 0; earlier < aIndex; ++earlier) {
      if (mRows[earlier].service == mRows[aIndex].service &&
          Covers(mRows[earlier], mRows[aIndex])) {
        AddFinding(aIndex, "row",
                   "Row '" + mRows[earlier].id.Str() +
                     "' above matches all its requests; move it up.");
        return;
      }
    }
  }

  void CheckPrefers(size_t aIndex)
  {
    const table_row& row = mRows[aIndex];
    if (row.prefers.empty()) {
      return;
    }
    if (row.prefers != "unserved_time" && row.prefers != "balance") {
      AddFinding(aIndex, "prefers", "'unserved_time', 'balance' or nothing is expected.");
      return;
    }
    auto [found, isNew] = mPreferences.emplace(row.service, row.prefers);
    if (!isNew && found->second != row.prefers) {
      AddFinding(aIndex, "prefers", "An earlier row of this service says '" + found->second + "'.");
    }
  }

  void CheckCatchAll()
  {
    std::map<common::service_name, bool> covered;
    for (const table_row& row : mRows) {
      covered[row.service] |= MatchesAllRequests(row);
    }
    for (const auto& [service, isCovered] : covered) {
      if (!isCovered) {
        mFindings.Add({ mSource, 0, "class",
                        "Service '" + service.Str() +
                          "' needs a last row with class * and no key range, so that every "
                          "request has a row." });
      }
    }
  }

  const std::string& mSource;
  const std::vector<table_row>& mRows;
  common::findings mFindings;
  std::set<common::row_id> mIds;
  std::map<common::service_name, std::string> mPreferences;
};

} // namespace

bool table_row::MatchesKey(std::string_view aKey) const
{
  return aKey >= keyFrom && (keyTo.empty() || aKey < keyTo);
}

bool table_row::MatchesClass(const common::caller_class& aClass) const
{
  return callerClass.Str() == kAnyClass || callerClass == aClass;
}

table::table(common::table_version aVersion, std::vector<table_row> aRows)
  : mVersion(aVersion)
  , mRows(std::move(aRows))
{
  for (size_t i = 0; i < mRows.size(); ++i) {
    mByService[mRows[i].service].push_back(i);
  }
}

const table_row* table::Match(const common::service_name& aService,
                              const common::caller_class& aClass, std::string_view aKey) const
{
  auto found = mByService.find(aService);
  if (found == mByService.end()) {
    return nullptr;
  }
  for (size_t index : found->second) {
    const table_row& row = mRows[index];
    if (row.MatchesClass(aClass) && row.MatchesKey(aKey)) {
      return &row;
    }
  }
  return nullptr;
}

bool table::HasService(const common::service_name& aService) const
{
  return mByService.contains(aService);
}

service_preference table::Preference(const common::service_name& aService) const
{
  for (const table_row& row : mRows) {
    if (row.service == aService && row.prefers == "balance") {
      return service_preference::kBalance;
    }
  }
  return service_preference::kUnservedTime;
}

common::findings CheckRows(const std::string& aSource, const std::vector<table_row>& aRows)
{
  return table_checker(aSource, aRows).Check();
}

} // namespace bamboograde::version
