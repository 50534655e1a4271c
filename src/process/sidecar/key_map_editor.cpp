#include "process/sidecar/key_map_editor.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kCommitTimeout{ 1500 };
constexpr common::milliseconds kReadTimeout{ 700 };
// Time after an unanswered call during which the platform counts as unhealthy.
constexpr common::milliseconds kUnhealthyDuration{ 1000 };

bool SameContent(const version::key_map& aLeft, const version::key_map& aRight)
{
  return aLeft.lastFence == aRight.lastFence && aLeft.owners == aRight.owners;
}

} // namespace

bool key_map_editor::Edit(const common::service_name& aService, const edit& aEdit,
                          edit_callback aCallback)
{
  if (mBusy) {
    return false;
  }
  version::key_map_ptr known = mRuntime.fleet.KeyMap(aService);
  boost::intrusive_ptr<version::key_map> changed(new version::key_map());
  if (known != nullptr) {
    changed->service = known->service;
    changed->version = known->version;
    changed->lastFence = known->lastFence;
    changed->owners = known->owners;
  } else {
    changed->service = aService;
  }
  if (!aEdit(*changed)) {
    return false;
  }
  mBusy = true;
  std::string name = kKeyRowPrefix + aService.Str();
  connection::transaction change;
  change.operation = common::operation_id(common::MakeUniqueId());
  change.conditions.push_back({ name, changed->version });
  change.writes.push_back({ name, version::EncodeKeyMap(*changed) });
  mStore.Commit(change, mRuntime.Now() + kCommitTimeout,
                [this, known, changed, sentAt = mRuntime.Now(),
                 callback = std::move(aCallback)](const connection::commit_result& aResult) {
                  OnCommitResult(sentAt, known, changed, aResult, callback);
                });
  return true;
}

void key_map_editor::Refresh(const common::service_name& aService)
{
  mStore.Read(
    kKeyRowPrefix + aService.Str(), mRuntime.Now() + kReadTimeout,
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
  switch (aResult.outcome) {
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
        return common::json{
          { "service", aMap->service.Str() },
          { "expected", aMap->version.Value() },
          { "present", aResult.current.empty() ? 0 : aResult.current.front().version.Value() }
        };
      });
      if (aResult.current.size() == 1 && ApplyRow(aResult.current.front(), aSentAt) != nullptr) {
        mBusy = false;
        aCallback(edit_outcome::kConflict);
        return;
      }
      ReadAfter(aMap, edit_outcome::kConflict, aCallback);
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
    return common::json{ { "service", aMap.service.Str() }, { "map", aMap.version.Value() } };
  });
  aCallback(edit_outcome::kCommitted);
}

version::key_map_ptr key_map_editor::ApplyRow(const connection::platform_row& aRow,
                                              common::boot_time aSentAt)
{
  auto map = version::DecodeKeyMap(aRow.value, aRow.version);
  if (map == nullptr) {
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
  mStore.Read(kKeyRowPrefix + aSubmitted->service.Str(), mRuntime.Now() + kReadTimeout,
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
