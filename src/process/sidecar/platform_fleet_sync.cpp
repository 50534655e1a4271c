#include "process/sidecar/platform_fleet_sync.h"

#include "process/sidecar/key_map_editor.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr char kMemberPrefix[] = "member/";
constexpr common::milliseconds kWriteTimeout{ 2000 };
constexpr common::milliseconds kReadTimeout{ 2000 };
constexpr common::milliseconds kRetryDelay{ 500 };
// A daemon that has had no response from a peer for this long reads the platform again.
constexpr common::milliseconds kIsolationTimeout{ 2000 };
// Minimum time between reads while peers respond; a random time of up to the same length is added.
constexpr common::milliseconds kReadPeriod{ 60000 };
constexpr size_t kPageSize = 500;
// After a return from an older copy the daemons check their records within this time.
constexpr uint64_t kCheckJitterMs = 1000;

} // namespace

platform_fleet_sync::platform_fleet_sync(runtime& aRuntime, connection::platform_store& aStore,
                                         const gossip& aGossip, std::function<void()> aOnRead)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mGossip(aGossip)
  , mOnRead(std::move(aOnRead))
{
}

void platform_fleet_sync::Start(const version::member& aSelf)
{
  mSelf = aSelf;
  Write();
}

void platform_fleet_sync::Write()
{
  mCallInFlight = true;
  connection::transaction change;
  change.operation = common::operation_id(common::MakeUniqueId());
  change.writes.push_back({ kMemberPrefix + mSelf.vm, version::EncodeMember(mSelf) });
  mStore.Commit(change, mRuntime.Now() + kWriteTimeout,
                [this](const connection::commit_result& aResult) {
                  mCallInFlight = false;
                  mWritten = aResult.outcome == connection::commit_outcome::kCommitted;
                  mWriteAt = mRuntime.Now() + kRetryDelay;
                  if (mWritten) {
                    mIsolatedReadAt = mRuntime.Now() + kIsolationTimeout;
                    ReadAll();
                  }
                });
}

void platform_fleet_sync::Read(const std::string& aAfter, std::optional<common::store_era> aEra)
{
  mCallInFlight = true;
  mStore.Scan("", aAfter, kPageSize, mRuntime.Now() + kReadTimeout,
              [this, aEra](const common::result<std::vector<connection::platform_row>>& aRows) {
                mCallInFlight = false;
                common::boot_time now = mRuntime.Now();
                if (!aRows.has_value()) {
                  mRuntime.log.Write(line_class::kState, "fleet_not_read", [&] {
                    return common::json{ { "reason", aRows.assume_error().message } };
                  });
                  mReadAt = now + kRetryDelay;
                  return;
                }
                const auto& rows = aRows.assume_value();
                for (const connection::platform_row& row : rows) {
                  OnRow(row);
                }
                if (rows.size() >= kPageSize) {
                  Read(rows.back().name, aEra);
                  return;
                }
                if (mRuntime.fleet.Era() != aEra) {
                  ReadAll();
                  return;
                }
                // Jitter, so that daemons that started together do not read together.
                mReadAt = now + kReadPeriod +
                          common::milliseconds(
                            int64_t(mRuntime.random.Below(uint64_t(kReadPeriod.count()))));
                mRuntime.fleet.OnRowsRead();
                mOnRead();
              });
}

void platform_fleet_sync::OnPlatformReturned()
{
  common::boot_time at =
    mRuntime.Now() + common::milliseconds(int64_t(mRuntime.random.Below(kCheckJitterMs)));
  mCheckAt = at;
  mReadAgainAt = at;
}

bool platform_fleet_sync::MayLackKeyMap() const
{
  const fleet_state& fleet = mRuntime.fleet;
  const common::service_name& service = mRuntime.settings.service;
  return !fleet.KnowsAllKeyMaps() && fleet.IsKeyed(service) && fleet.KeyMap(service) == nullptr;
}

void platform_fleet_sync::CheckMember()
{
  mCheckAt.reset();
  mCallInFlight = true;
  mStore.Read(kMemberPrefix + mSelf.vm, mRuntime.Now() + kReadTimeout,
              [this](const common::result<connection::platform_row>& aRow) {
                mCallInFlight = false;
                if (!aRow.has_value()) {
                  mCheckAt = mRuntime.Now() + kRetryDelay;
                  return;
                }
                auto stored = version::DecodeMember(aRow.assume_value().value);
                bool isLost = !stored.has_value() || stored->sequence < mSelf.sequence;
                if (isLost) {
                  mRuntime.counters.Add("bamboograde_members_restored_total");
                  mWritten = false;
                  mWriteAt = mRuntime.Now();
                }
              });
}

void platform_fleet_sync::OnRow(const connection::platform_row& aRow)
{
  if (aRow.value.is_null()) {
    return;
  }
  if (aRow.name.compare(0, sizeof(kMemberPrefix) - 1, kMemberPrefix) == 0) {
    if (auto member = version::DecodeMember(aRow.value); member.has_value()) {
      mRuntime.fleet.ApplyMember(*member);
      return;
    }
  } else if (auto map = DecodeKeyRow(aRow); map != nullptr) {
    mRuntime.fleet.ApplyKeyMap(map);
    return;
  }
  mRuntime.counters.Add("bamboograde_rows_ignored_total");
  if (mIgnoredRows.insert(aRow.name).second) {
    mRuntime.log.Write(line_class::kState, "row_ignored", [&] {
      return common::json{ { "row", aRow.name },
                           { "version", common::EncodeVersion(aRow.version) } };
    });
  }
}

void platform_fleet_sync::Tick()
{
  common::boot_time now = mRuntime.Now();
  if (mCallInFlight) {
    return;
  }
  if (!mWritten) {
    if (now >= mWriteAt) {
      Write();
    }
    return;
  }
  if (mCheckAt.has_value() && now >= *mCheckAt) {
    CheckMember();
    return;
  }
  if (mReadAgainAt.has_value() && now >= *mReadAgainAt && MayLackKeyMap()) {
    mReadAgainAt = now + kRetryDelay;
    ReadAll();
    return;
  }
  bool isolated = now >= mGossip.HeardAt() + kIsolationTimeout;
  if (now >= mReadAt || (isolated && now >= mIsolatedReadAt)) {
    mIsolatedReadAt = now + kIsolationTimeout;
    ReadAll();
  }
}

} // namespace bamboograde::process::sidecar
