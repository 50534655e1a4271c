// The newest known version of each session row. A daemon builds its routing map from the rows and
// exchanges them with other daemons.
#pragma once

#include "version/routing_map.h"

#include <set>

namespace bamboograde::version {

struct versioned_session_row
{
  common::row_version version;
  // Null: the row has been deleted.
  session_row_ptr row;
};

class session_row_store
{
public:
  // Replaces the known entry if aEntry has a higher version. Returns whether it did.
  bool Apply(const std::string& aName, versioned_session_row aEntry);
  const versioned_session_row* Find(const std::string& aName) const;
  const std::map<std::string, versioned_session_row>& Entries() const { return mEntries; }
  // Depends only on the names and versions of the rows that are not deleted, not on the order of
  // changes, so that daemons can compare their rows.
  uint64_t Digest() const { return mDigest; }
  // Builds a map. Only services that changed since the last call get new routes; the routes of
  // other services are shared with the previous map.
  routing_map_ptr Build();

private:
  static uint64_t DigestOf(const std::string& aName, const versioned_session_row& aEntry);

  std::map<std::string, versioned_session_row> mEntries;
  std::set<common::service_name> mChanged;
  std::map<common::service_name, service_routes_ptr> mServices;
  uint64_t mDigest = 0;
};

common::json EncodeMapEntry(const std::string& aName, const versioned_session_row& aEntry);
// Returns false when the value is not an entry.
bool DecodeMapEntry(const common::json& aValue, std::string* aName, versioned_session_row* aEntry);

} // namespace bamboograde::version
