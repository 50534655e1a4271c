#include "process/sidecar/key_map_editor.h"

#include "version/key_map_restore.h"

#include <charconv>

namespace bamboograde::process::sidecar {

namespace {

constexpr char kKeyRowPrefix[] = "keys/";
constexpr common::milliseconds kCommitTimeout{ 1500 };
constexpr common::milliseconds kReadTimeout{ 700 };
// Daemons of a first start begin within this time of each other.
constexpr common::milliseconds kFirstStartSpread{ 300 };
// Time from the start in which the platform must be heard so that the era counts as the first one.
constexpr common::milliseconds kFirstEraTime{ 800 };
static_assert(kFirstStartSpread + kFirstEraTime < kOwnersStableTime,
              "no daemon of the first start may have assigned keys in an era before");
constexpr size_t kRowsPerScan = 200;
// Rows of earlier eras that are removed at once.
constexpr size_t kMaxFormerRows = 50;
// Time after an unanswered call during which the platform counts as unhealthy.
constexpr common::milliseconds kUnhealthyDuration{ 1000 };

bool SameContent(const version::key_map& aLeft, const version::key_map& aRight)
{
  return aLeft.lastFence == aRight.lastFence && aLeft.settled == aRight.settled &&
         aLeft.owners == aRight.owners;
}

} // namespace

std::string KeyRowName(const common::service_name& aService, common::store_era aEra)
{
  std::string name = kKeyRowPrefix + aService.Str();
  return aEra == common::store_era() ? name : name + "/" + std::to_string(aEra.Value());
}

version::key_map_ptr DecodeKeyRow(const connection::platform_row& aRow)
{
  auto map = version::DecodeKeyMap(aRow.value);
  if (map == nullptr) {
    return nullptr;
  }
  uint64_t number = 0;
  size_t slash = aRow.name.rfind('/');
  std::from_chars(aRow.name.data() + slash + 1, aRow.name.data() + aRow.name.size(), number);
  for (common::store_era era : { common::store_era(), common::store_era(number) }) {
    if (aRow.name == KeyRowName(map->service, era)) {
      map->version = { era, aRow.version.Value() };
      return map;
    }
  }
  return nullptr;
}

void key_map_editor::OnFirstEra()
{
  mKnowsFirstEra = mRuntime.Now() <= mStartedAt + kFirstEraTime;
}

bool key_map_editor::Edit(const common::service_name& aService, const edit& aEdit,
                          edit_callback aCallback)
{
  if (mBusy) {
    return false;
  }
  version::key_map_ptr known = mRuntime.fleet.KeyMap(aService);
  boost::intrusive_ptr<version::key_map> changed;
  if (known != nullptr) {
    if (!IsOfPresentEra(known->version)) {
      return false;
    }
    changed = new version::key_map();
    changed->service = known->service;
    changed->version = known->version;
    changed->lastFence = known->lastFence;
    changed->settled = known->settled;
    changed->owners = known->owners;
  } else {
    if (!mRuntime.fleet.KnowsAllKeyMaps()) {
      return false;
    }
    changed = version::FirstMapOf(*mRuntime.fleet.Era(), aService, nullptr);
    // Nothing can have been lost in the first era of a first start, nor by a platform that never
    // returns.
    bool isFirstEra =
      mRuntime.settings.firstStart && mKnowsFirstEra && !mRuntime.fleet.HasSeenReturn();
    changed->settled = isFirstEra || *mRuntime.fleet.Era() == common::store_era();
  }
  if (!aEdit(*changed)) {
    return false;
  }
  Submit(known, changed, std::move(aCallback));
  return true;
}

bool key_map_editor::Restore(const common::service_name& aService, edit_callback aCallback)
{
  version::key_map_ptr known = mRuntime.fleet.KeyMap(aService);
  if (mBusy || known == nullptr || IsOfPresentEra(known->version)) {
    return false;
  }
  Submit(known, version::FirstMapOf(*mRuntime.fleet.Era(), aService, known.get()),
         std::move(aCallback));
  return true;
}

void key_map_editor::Submit(const version::key_map_ptr& aBefore,
                            const boost::intrusive_ptr<version::key_map>& aMap,
                            edit_callback aCallback)
{
  mBusy = true;
  std::string name = KeyRowName(aMap->service, aMap->version.Era());
  connection::transaction change;
  change.operation = common::operation_id(common::MakeUniqueId());
  change.conditions.push_back({ name, aMap->version });
  change.writes.push_back({ name, version::EncodeKeyMap(*aMap) });
  if (aBefore != nullptr && aBefore->version.Era() != aMap->version.Era()) {
    change.writes.push_back({ KeyRowName(aMap->service, aBefore->version.Era()), nullptr });
  }
  mStore.Commit(change, mRuntime.Now() + kCommitTimeout,
                [this, aBefore, aMap, sentAt = mRuntime.Now(),
                 callback = std::move(aCallback)](const connection::commit_result& aResult) {
                  OnCommitResult(sentAt, aBefore, aMap, aResult, callback);
                });
}

void key_map_editor::RemoveFormerRows(const common::service_name& aService,
                                      std::function<void(bool)> aCallback)
{
  ScanRows({ aService, {}, std::move(aCallback) }, "");
}

void key_map_editor::ScanRows(row_removal aRemoval, const std::string& aAfter)
{
  std::string prefix = KeyRowName(aRemoval.service, common::store_era());
  mStore.Scan(prefix, aAfter, kRowsPerScan, mRuntime.Now() + kReadTimeout,
              [this, removal = std::move(aRemoval)](
                const common::result<std::vector<connection::platform_row>>& aRows) {
                if (!aRows.has_value()) {
                  removal.callback(false);
                  return;
                }
                row_removal found = removal;
                const auto& rows = aRows.assume_value();
                for (const connection::platform_row& row : rows) {
                  // Names of other services may begin with the name of this one.
                  version::key_map_ptr map = DecodeKeyRow(row);
                  if (map != nullptr && map->service == found.service) {
                    found.rows.push_back({ row.name, map->version });
                  }
                }
                if (rows.size() < kRowsPerScan) {
                  RemoveFormerRows(found);
                } else {
                  ScanRows(std::move(found), rows.back().name);
                }
              });
}

void key_map_editor::RemoveFormerRows(const row_removal& aRemoval)
{
  connection::transaction change;
  change.operation = common::operation_id(common::MakeUniqueId());
  bool areAll = true;
  for (const connection::row_condition& row : aRemoval.rows) {
    if (IsOfPresentEra(row.version)) {
      // Without the present row, those of a copy are all that is left.
      change.conditions.push_back(row);
    } else if (change.writes.size() < kMaxFormerRows) {
      change.writes.push_back({ row.name, nullptr });
    } else {
      areAll = false;
    }
  }
  if (change.conditions.empty() || change.writes.empty()) {
    aRemoval.callback(!change.conditions.empty());
    return;
  }
  mStore.Commit(change, mRuntime.Now() + kCommitTimeout,
                [callback = aRemoval.callback, areAll](const connection::commit_result& aResult) {
                  callback(areAll && aResult.outcome == connection::commit_outcome::kCommitted);
                });
}

void key_map_editor::Refresh(const common::service_name& aService)
{
  if (!mRuntime.fleet.Era().has_value()) {
    return;
  }
  mStore.Read(
    KeyRowName(aService, *mRuntime.fleet.Era()), mRuntime.Now() + kReadTimeout,
    [this, sentAt = mRuntime.Now()](const common::result<connection::platform_row>& aRow) {
      if (aRow.has_value()) {
        ApplyRow(aRow.assume_value(), sentAt);
      }
    });
}

void key_map_editor::OnCommitResult(common::boot_time aSentAt, const version::key_map_ptr& aBefore,
                                    const boost::intrusive_ptr<version::key_map>& aMap,
                                    const connection::commit_result& aResult,
                                    const edit_callback& aCallback)
{
  connection::commit_outcome outcome = aResult.outcome;
  if (outcome != connection::commit_outcome::kUnknown && !IsOfPresentEra(aMap->version)) {
    // The platform has returned from an older copy. A commit of the era before may be lost.
    bool inItsEra = outcome == connection::commit_outcome::kCommitted &&
                    aResult.version.Era() <= aMap->version.Era();
    if (!inItsEra) {
      mBusy = false;
      if (outcome == connection::commit_outcome::kRefused) {
        mHealthyFrom = mRuntime.Now() + kUnhealthyDuration;
      }
      aCallback(edit_outcome::kNotInItsEra);
      return;
    }
    outcome = connection::commit_outcome::kUnknown;
  }
  switch (outcome) {
    case connection::commit_outcome::kCommitted:
      mBusy = false;
      aMap->version = aResult.version;
      mRuntime.fleet.ConfirmKeyMap(aMap->service, { aMap->version, aSentAt });
      mRuntime.fleet.ApplyKeyMap(aMap);
      mBroadcast.BroadcastKeyMap(aBefore.get(), *aMap);
      OnCommitted(*aMap, aCallback);
      return;
    case connection::commit_outcome::kConflict:
      mRuntime.counters.Add("bamboograde_key_map_conflicts_total");
      mRuntime.log.Write(line_class::kState, "key_map_conflict", [&] {
        common::row_version present =
          aResult.current.empty() ? common::row_version() : aResult.current.front().version;
        return common::json{ { "service", aMap->service.Str() },
                             { "expected", common::EncodeVersion(aMap->version) },
                             { "present", common::EncodeVersion(present) } };
      });
      if (aResult.current.size() == 1 && ApplyRow(aResult.current.front(), aSentAt) != nullptr) {
        mBusy = false;
        aCallback(edit_outcome::kConflict);
        return;
      }
      ReadAfter(aMap, edit_outcome::kConflict, aCallback);
      return;
    case connection::commit_outcome::kRefused:
      mBusy = false;
      mHealthyFrom = mRuntime.Now() + kUnhealthyDuration;
      aCallback(edit_outcome::kRefused);
      return;
    case connection::commit_outcome::kUnknown:
      mHealthyFrom = mRuntime.Now() + kUnhealthyDuration;
      mMayHaveUnbroadcastCommit = true;
      ReadAfter(aMap, edit_outcome::kUnknown, aCallback);
      return;
  }
}

void key_map_editor::OnCommitted(const version::key_map& aMap, const edit_callback& aCallback)
{
  mRuntime.counters.Add("bamboograde_key_map_commits_total");
  mRuntime.log.Write(line_class::kState, "key_map_committed", [&aMap] {
    return common::json{ { "service", aMap.service.Str() },
                         { "map", common::EncodeVersion(aMap.version) } };
  });
  aCallback(edit_outcome::kCommitted);
}

version::key_map_ptr key_map_editor::ApplyRow(const connection::platform_row& aRow,
                                              common::boot_time aSentAt)
{
  version::key_map_ptr map = DecodeKeyRow(aRow);
  if (map == nullptr || !IsOfPresentEra(map->version)) {
    return nullptr;
  }
  mRuntime.fleet.ConfirmKeyMap(map->service, { map->version, aSentAt });
  version::key_map_ptr previous = mRuntime.fleet.KeyMap(map->service);
  bool isNewer = mRuntime.fleet.ApplyKeyMap(map);
  if (isNewer && mMayHaveUnbroadcastCommit) {
    mMayHaveUnbroadcastCommit = false;
    mBroadcast.BroadcastKeyMap(previous.get(), *map);
  }
  return map;
}

void key_map_editor::ReadAfter(const boost::intrusive_ptr<version::key_map>& aSubmitted,
                               edit_outcome aOutcome, const edit_callback& aCallback)
{
  mStore.Read(KeyRowName(aSubmitted->service, aSubmitted->version.Era()),
              mRuntime.Now() + kReadTimeout,
              [this, aSubmitted, aOutcome, aCallback,
               sentAt = mRuntime.Now()](const common::result<connection::platform_row>& aRow) {
                mBusy = false;
                version::key_map_ptr map;
                if (aRow.has_value()) {
                  map = ApplyRow(aRow.assume_value(), sentAt);
                } else {
                  mHealthyFrom = mRuntime.Now() + kUnhealthyDuration;
                }
                bool committed = aOutcome == edit_outcome::kUnknown && map != nullptr &&
                                 map->version > aSubmitted->version &&
                                 SameContent(*map, *aSubmitted);
                if (committed) {
                  OnCommitted(*map, aCallback);
                  return;
                }
                aCallback(aOutcome);
              });
}

} // namespace bamboograde::process::sidecar
