#include "request/suspect_list.h"

#include "common/hash.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr common::seconds kSuspectLifetime{ 3600 };

} // namespace

unsigned suspect_list::Add(uint64_t aFingerprint, common::boot_time aNow)
{
  entry& item = mEntries[aFingerprint];
  item.expiresAt = aNow + kSuspectLifetime;
  return ++item.crashes;
}

void suspect_list::Clear(uint64_t aFingerprint)
{
  auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end()) {
    found->second.cleared = true;
  }
}

void suspect_list::Merge(uint64_t aFingerprint, unsigned aCrashes, common::boot_time aNow,
                         bool aCleared)
{
  entry& item = mEntries[aFingerprint];
  item.crashes = std::max(item.crashes, aCrashes);
  item.cleared = item.cleared || aCleared;
  item.expiresAt = aNow + kSuspectLifetime;
}

unsigned suspect_list::Crashes(uint64_t aFingerprint) const
{
  auto found = mEntries.find(aFingerprint);
  return found == mEntries.end() || found->second.cleared ? 0 : found->second.crashes;
}

void suspect_list::Expire(common::boot_time aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) { return aItem.second.expiresAt <= aNow; });
}

common::json suspect_list::Export() const
{
  common::json list = common::json::array();
  for (const auto& [fingerprint, item] : mEntries) {
    list.push_back({ { "fingerprint", common::ToHex(fingerprint) },
                     { "crashes", item.crashes },
                     { "cleared", item.cleared } });
  }
  return list;
}

void suspect_list::Import(const common::json& aList, common::boot_time aNow)
{
  if (!aList.is_array()) {
    return;
  }
  for (const common::json& item : aList) {
    uint64_t fingerprint = 0;
    if (common::FromHex(common::GetString(item, "fingerprint"), &fingerprint)) {
      Merge(fingerprint, unsigned(common::GetNumber(item, "crashes")), aNow,
            common::GetBool(item, "cleared"));
    }
  }
}

} // namespace bamboograde::request
