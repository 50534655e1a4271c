#include "process/sidecar/stored_fleet.h"

#include "process/sidecar/key_map_editor.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr char kMemberPrefix[] = "member/";
constexpr common::milliseconds kWriteTimeout{ 2000 };
constexpr common::milliseconds kReadTimeout{ 2000 };
constexpr common::milliseconds kRetry{ 500 };
// A daemon that no other has answered for this long reads what the platform knows.
constexpr common::milliseconds kAlone{ 2000 };
// Pause between readings in a fleet whose daemons answer each other.
constexpr common::milliseconds kReadPeriod{ 60000 };
constexpr size_t kPage = 500;

} // namespace

stored_fleet::stored_fleet(runtime& aRuntime, connection::platform_store& aStore,
                           const gossip& aGossip, std::function<void()> aOnRead)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mGossip(aGossip)
  , mOnRead(std::move(aOnRead))
{
}

void stored_fleet::Start(const version::member& aSelf)
{
  mSelf = aSelf;
  Write();
}

void stored_fleet::Write()
{
  mCalling = true;
  connection::transaction change;
  change.operation = common::operation_id(common::MakeUniqueId());
  change.writes.push_back({ kMemberPrefix + mSelf.vm, version::EncodeMember(mSelf) });
  mStore.Commit(change, mRuntime.Now() + kWriteTimeout,
                [this](const connection::commit_result& aResult) {
                  mCalling = false;
                  mWritten = aResult.outcome == connection::commit_outcome::kCommitted;
                  mWriteAt = mRuntime.Now() + kRetry;
                  if (mWritten) {
                    mReadAloneAt = mRuntime.Now() + kAlone;
                    Read("");
                  }
                });
}

void stored_fleet::Read(const std::string& aAfter)
{
  mCalling = true;
  mStore.Scan("", aAfter, kPage, mRuntime.Now() + kReadTimeout,
              [this](const common::result<std::vector<connection::platform_row>>& aRows) {
                mCalling = false;
                common::boot_time now = mRuntime.Now();
                if (!aRows.has_value()) {
                  mRuntime.log.Write(line_class::kState, "fleet_not_read", [&] {
                    return common::json{ { "reason", aRows.assume_error().message } };
                  });
                  mReadAt = now + kRetry;
                  return;
                }
                const auto& rows = aRows.assume_value();
                for (const connection::platform_row& row : rows) {
                  OnRow(row);
                }
                if (rows.size() >= kPage) {
                  Read(rows.back().name);
                  return;
                }
                // Daemons that started together do not read together.
                mReadAt = now + kReadPeriod +
                          common::milliseconds(
                            int64_t(mRuntime.random.Below(uint64_t(kReadPeriod.count()))));
                mOnRead();
              });
}

void stored_fleet::OnRow(const connection::platform_row& aRow)
{
  if (aRow.value.is_null()) {
    return;
  }
  if (aRow.name.compare(0, sizeof(kMemberPrefix) - 1, kMemberPrefix) == 0) {
    if (auto member = version::DecodeMember(aRow.value); member.has_value()) {
      mRuntime.fleet.ApplyMember(*member);
    }
  } else if (auto map = version::DecodeKeyMap(aRow.value, aRow.version); map != nullptr) {
    mRuntime.fleet.ApplyKeyMap(map);
  }
}

void stored_fleet::Tick()
{
  common::boot_time now = mRuntime.Now();
  if (mCalling) {
    return;
  }
  if (!mWritten) {
    if (now >= mWriteAt) {
      Write();
    }
    return;
  }
  bool alone = now >= mGossip.HeardAt() + kAlone;
  if (now >= mReadAt || (alone && now >= mReadAloneAt)) {
    mReadAloneAt = now + kAlone;
    Read("");
  }
}

} // namespace bamboograde::process::sidecar
