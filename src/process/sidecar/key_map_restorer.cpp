#include "process/sidecar/key_map_restorer.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

// A commit and its broadcast take about this long.
constexpr common::milliseconds kSpacing{ 50 };
constexpr size_t kMaxPosition = 20;
// Daemons that own no keys wait for the owners.
constexpr common::milliseconds kOthersDelay{ 1200 };
constexpr common::milliseconds kRetryPause{ 500 };
constexpr common::milliseconds kRemoveRetryDelay{ 2000 };

} // namespace

void key_map_restorer::Tick()
{
  common::boot_time now = mRuntime.Now();
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    if (map->version.Era() == mRuntime.fleet.Era()) {
      mTurns.erase(service);
      continue;
    }
    common::boot_time& turn = mTurns.try_emplace(service, TurnFor(*map)).first->second;
    if (now < turn || !mEditor.Healthy()) {
      continue;
    }
    bool submitted = mEditor.Restore(service, [this, service = service, owners = map->owners.size(),
                                               from = map->version](edit_outcome aOutcome) {
      if (aOutcome != edit_outcome::kCommitted) {
        return;
      }
      mRemoveAt[service] = mRuntime.Now();
      mRuntime.counters.Add("bamboograde_key_maps_restored_total");
      mRuntime.log.Write(line_class::kState, "key_map_restored", [&] {
        return common::json{ { "from", common::EncodeVersion(from) }, { "owners", owners } };
      });
    });
    turn = submitted ? now + kRetryPause : turn;
  }
  RemoveFormerRows();
}

void key_map_restorer::RemoveFormerRows()
{
  common::boot_time now = mRuntime.Now();
  for (auto& [service, at] : mRemoveAt) {
    if (now < at) {
      continue;
    }
    at = now + kRemoveRetryDelay;
    mEditor.RemoveFormerRows(service, [this, service = service](bool aNoneLeft) {
      if (aNoneLeft) {
        mRemoveAt.erase(service);
      }
    });
  }
}

common::boot_time key_map_restorer::TurnFor(const version::key_map& aMap) const
{
  const std::string& vm = mRuntime.settings.vm;
  bool isOwner = aMap.Owner(vm) != nullptr;
  size_t before = 0;
  if (isOwner) {
    before =
      size_t(std::count_if(aMap.owners.begin(), aMap.owners.end(),
                           [&vm](const version::key_owner& aOwner) { return aOwner.vm < vm; }));
  } else {
    for (const version::member* peer : mRuntime.fleet.RunningPeers(vm)) {
      before += peer->vm < vm ? 1 : 0;
    }
  }
  return mRuntime.Now() + kSpacing * int64_t(std::min(before, kMaxPosition)) +
         (isOwner ? common::milliseconds(0) : kOthersDelay);
}

} // namespace bamboograde::process::sidecar
