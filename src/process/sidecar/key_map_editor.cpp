#include "process/sidecar/key_map_editor.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kCommitTimeout{ 1500 };
constexpr common::milliseconds kReadTimeout{ 700 };
// How long the platform counts as unhealthy after a call without an answer.
constexpr common::milliseconds kUnhealthyTime{ 1000 };

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
                [this, known, changed,
                 callback = std::move(aCallback)](const connection::commit_result& aResult) {
                  OnAnswer(known, changed, aResult, callback);
                });
  return true;
}

void key_map_editor::OnAnswer(const version::key_map_ptr& aBefore,
                              const boost::intrusive_ptr<version::key_map>& aMap,
                              const connection::commit_result& aResult,
                              const edit_callback& aCallback)
{
  switch (aResult.outcome) {
    case connection::commit_outcome::kCommitted:
      mBusy = false;
      aMap->version = aResult.version;
      mRuntime.fleet.ApplyKeyMap(aMap);
      mBroadcast.SpreadKeyMap(aBefore.get(), *aMap);
      mRuntime.counters.Add("bamboograde_key_map_commits_total");
      mRuntime.log.Write(line_class::kState, "key_map_committed", [&] {
        return common::json{ { "service", aMap->service.Str() }, { "map", aMap->version.Value() } };
      });
      aCallback(edit_outcome::kCommitted);
      return;
    case connection::commit_outcome::kConflict:
      mRuntime.counters.Add("bamboograde_key_map_conflicts_total");
      if (aResult.current.size() == 1 && ApplyRow(aResult.current.front())) {
        mBusy = false;
        aCallback(edit_outcome::kConflict);
        return;
      }
      Reread(aMap->service, edit_outcome::kConflict, aCallback);
      return;
    case connection::commit_outcome::kUnknown:
      mHealthyAt = mRuntime.Now() + kUnhealthyTime;
      Reread(aMap->service, edit_outcome::kUnknown, aCallback);
      return;
  }
}

bool key_map_editor::ApplyRow(const connection::platform_row& aRow)
{
  auto map = version::DecodeKeyMap(aRow.value, aRow.version);
  if (map == nullptr) {
    return false;
  }
  mRuntime.fleet.ApplyKeyMap(map);
  return true;
}

void key_map_editor::Reread(const common::service_name& aService, edit_outcome aOutcome,
                            const edit_callback& aCallback)
{
  mStore.Read(kKeyRowPrefix + aService.Str(), mRuntime.Now() + kReadTimeout,
              [this, aOutcome, aCallback](const common::result<connection::platform_row>& aRow) {
                mBusy = false;
                if (aRow.has_value()) {
                  ApplyRow(aRow.assume_value());
                } else {
                  mHealthyAt = mRuntime.Now() + kUnhealthyTime;
                }
                aCallback(aOutcome);
              });
}

} // namespace bamboograde::process::sidecar
