#include "version/session_row_store.h"

#include "common/hash.h"

namespace bamboograde::version {

using common::json;

uint64_t session_row_store::DigestOf(const std::string& aName, const versioned_session_row& aEntry)
{
  if (aEntry.row == nullptr) {
    return 0;
  }
  return common::HashBytes(aName + "@" + std::to_string(aEntry.version.Value()));
}

bool session_row_store::Apply(const std::string& aName, versioned_session_row aEntry)
{
  versioned_session_row& known = mEntries[aName];
  if (aEntry.version <= known.version) {
    return false;
  }
  if (known.row != nullptr) {
    mChanged.insert(known.row->service);
  }
  if (aEntry.row != nullptr) {
    mChanged.insert(aEntry.row->service);
  }
  mDigest -= DigestOf(aName, known);
  known = std::move(aEntry);
  mDigest += DigestOf(aName, known);
  return true;
}

const versioned_session_row* session_row_store::Find(const std::string& aName) const
{
  auto found = mEntries.find(aName);
  return found == mEntries.end() ? nullptr : &found->second;
}

routing_map_ptr session_row_store::Build()
{
  for (const common::service_name& service : mChanged) {
    std::vector<session_row_ptr> sessions;
    std::string prefix = SessionRowName(service, common::session_id());
    for (auto it = mEntries.lower_bound(prefix);
         it != mEntries.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.row != nullptr) {
        sessions.push_back(it->second.row);
      }
    }
    mServices[service] = new service_routes(std::move(sessions));
  }
  mChanged.clear();
  return { new routing_map(mServices) };
}

json EncodeMapEntry(const std::string& aName, const versioned_session_row& aEntry)
{
  return { { "name", aName },
           { "version", aEntry.version.Value() },
           { "value", aEntry.row == nullptr ? json() : EncodeSession(*aEntry.row) } };
}

bool DecodeMapEntry(const json& aValue, std::string* aName, versioned_session_row* aEntry)
{
  *aName = common::GetString(aValue, "name");
  aEntry->version = common::row_version(common::GetNumber(aValue, "version"));
  json value = aValue.is_object() ? aValue.value("value", json()) : json();
  aEntry->row = value.is_null() ? nullptr : DecodeSession(value);
  return !aName->empty() && (value.is_null() || aEntry->row != nullptr);
}

} // namespace bamboograde::version
