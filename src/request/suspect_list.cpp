#include "request/suspect_list.h"

#include "common/hash.h"

#include <algorithm>
#include <array>

namespace bamboograde::request {

namespace {

using common::milliseconds;

constexpr milliseconds kSuspectLifetime{ 3600 * 1000 };
// A cleared crash is kept until no message from before the clearing is on its way any more.
constexpr milliseconds kClearedLifetime{ 60 * 1000 };
constexpr milliseconds kExpiryInterval{ 1000 };
// Time from the last crash until the next trial, by the number of failed trials. Other daemons hear
// of the crash in the meantime.
constexpr std::array<milliseconds, suspect_list::kMaxFailedTrials> kTrialDelays = {
  milliseconds(2000), milliseconds(10000), milliseconds(30000)
};
constexpr milliseconds kInconclusiveTrialDelay{ 1000 };
constexpr size_t kMaxEntries = 1024;

common::boot_time NextTrial(unsigned aFailedTrials, common::boot_time aNow)
{
  return aNow + kTrialDelays[std::min<size_t>(aFailedTrials, kTrialDelays.size() - 1)];
}

} // namespace

suspect_list::entry& suspect_list::Touch(uint64_t aFingerprint)
{
  if (mEntries.size() >= kMaxEntries && !mEntries.contains(aFingerprint)) {
    mEntries.erase(
      std::min_element(mEntries.begin(), mEntries.end(), [](const auto& aLeft, const auto& aRight) {
        return Suspected(aLeft.second) < Suspected(aRight.second);
      }));
  }
  return mEntries[aFingerprint];
}

unsigned suspect_list::Suspected(const entry& aEntry)
{
  return unsigned(std::count_if(aEntry.crashes.begin(), aEntry.crashes.end(),
                                [](const auto& aItem) { return !aItem.second.cleared; }));
}

void suspect_list::Clear(crash* aCrash, common::boot_time aNow)
{
  if (!aCrash->cleared) {
    aCrash->cleared = true;
    aCrash->expiresAt = std::min<common::boot_time>(aCrash->expiresAt, aNow + kClearedLifetime);
  }
}

unsigned suspect_list::Add(uint64_t aFingerprint, common::crash_id aCrash, common::boot_time aNow)
{
  entry& item = Touch(aFingerprint);
  if (item.crashes.try_emplace(aCrash, crash{ false, aNow + kSuspectLifetime }).second) {
    item.trialAt = NextTrial(item.failedTrials, aNow);
  }
  return Suspected(item);
}

bool suspect_list::Clear(uint64_t aFingerprint, common::boot_time aNow)
{
  auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || Suspected(found->second) == 0) {
    return false;
  }
  for (auto& [id, item] : found->second.crashes) {
    Clear(&item, aNow);
  }
  found->second.failedTrials = 0;
  return true;
}

unsigned suspect_list::Crashes(uint64_t aFingerprint) const
{
  auto found = mEntries.find(aFingerprint);
  return found == mEntries.end() ? 0 : Suspected(found->second);
}

std::optional<uint64_t> suspect_list::TrialTurn(uint64_t aFingerprint, common::boot_time aNow) const
{
  auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return {};
  }
  const entry& item = found->second;
  bool due = Suspected(item) >= kMaxCrashes && item.failedTrials < kMaxFailedTrials &&
             !item.onTrial && aNow >= item.trialAt &&
             (aNow - item.trialAt) % kTrialTurn < kTrialWindow;
  return due ? std::optional<uint64_t>((aNow - item.trialAt) / kTrialTurn) : std::nullopt;
}

void suspect_list::BeginTrial(uint64_t aFingerprint)
{
  auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end()) {
    found->second.onTrial = true;
  }
}

void suspect_list::EndTrial(uint64_t aFingerprint, bool aFailed, common::boot_time aNow)
{
  auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return;
  }
  entry& item = found->second;
  item.onTrial = false;
  if (aFailed) {
    ++item.failedTrials;
    item.trialAt = NextTrial(item.failedTrials, aNow);
  } else {
    item.trialAt = aNow + kInconclusiveTrialDelay;
  }
}

void suspect_list::Expire(common::boot_time aNow)
{
  if (aNow < mExpireAt) {
    return;
  }
  mExpireAt = aNow + kExpiryInterval;
  for (auto& [fingerprint, item] : mEntries) {
    std::erase_if(item.crashes,
                  [&](const auto& aCrash) { return aCrash.second.expiresAt <= aNow; });
  }
  std::erase_if(mEntries, [](const auto& aItem) { return aItem.second.crashes.empty(); });
}

common::json suspect_list::Export(common::boot_time aNow) const
{
  common::json list = common::json::array();
  for (const auto& [fingerprint, item] : mEntries) {
    common::json value = { { "fingerprint", common::ToHex(fingerprint) } };
    for (const auto& [id, crash] : item.crashes) {
      auto left = std::chrono::duration_cast<milliseconds>(crash.expiresAt - aNow);
      if (left.count() > 0) {
        value[crash.cleared ? "cleared" : "suspected"][common::ToHex(id.Value())] =
          uint64_t(left.count());
      }
    }
    if (item.failedTrials > 0) {
      value["failed_trials"] = item.failedTrials;
    }
    list.push_back(std::move(value));
  }
  return list;
}

void suspect_list::Merge(entry* aEntry, common::crash_id aCrash, bool aCleared, milliseconds aLeft,
                         common::boot_time aNow)
{
  milliseconds left = std::min(aLeft, kSuspectLifetime);
  auto [found, added] = aEntry->crashes.try_emplace(aCrash, crash{ false, aNow + left });
  if (aCleared) {
    Clear(&found->second, aNow);
  } else if (added) {
    aEntry->trialAt = NextTrial(aEntry->failedTrials, aNow);
  }
}

std::vector<uint64_t> suspect_list::Import(const common::json& aList, common::boot_time aNow)
{
  std::vector<uint64_t> changed;
  if (!aList.is_array()) {
    return changed;
  }
  for (const common::json& item : aList) {
    uint64_t fingerprint = 0;
    if (!common::FromHex(common::GetString(item, "fingerprint"), &fingerprint)) {
      continue;
    }
    unsigned before = Crashes(fingerprint);
    entry& known = Touch(fingerprint);
    auto trials = unsigned(
      std::min<uint64_t>(common::GetNumber(item, "failed_trials"), uint64_t(kMaxFailedTrials)));
    if (trials > known.failedTrials) {
      known.failedTrials = trials;
      known.trialAt = NextTrial(trials, aNow);
    }
    for (const char* name : { "cleared", "suspected" }) {
      for (const auto& [text, left] : common::GetObject(item, name).items()) {
        uint64_t id = 0;
        if (common::FromHex(text, &id) && left.is_number_unsigned()) {
          Merge(&known, common::crash_id(id), name == std::string_view("cleared"),
                milliseconds(int64_t(
                  std::min<uint64_t>(left.get<uint64_t>(), uint64_t(kSuspectLifetime.count())))),
                aNow);
        }
      }
    }
    unsigned after = Suspected(known);
    if (after == 0) {
      known.failedTrials = 0;
    }
    if (after > before || (after == 0 && before > 0)) {
      changed.push_back(fingerprint);
    }
    if (known.crashes.empty()) {
      mEntries.erase(fingerprint);
    }
  }
  return changed;
}

std::string ChooseTrialVm(std::vector<std::string> aVms, uint64_t aFingerprint, uint64_t aTurn)
{
  if (aVms.empty()) {
    return "";
  }
  auto rank = [aFingerprint](const std::string& aVm) {
    return common::HashBytes(aVm + "\n" + common::ToHex(aFingerprint));
  };
  std::sort(aVms.begin(), aVms.end(), [&rank](const std::string& aLeft, const std::string& aRight) {
    return rank(aLeft) < rank(aRight);
  });
  return aVms[aTurn % aVms.size()];
}

} // namespace bamboograde::request
