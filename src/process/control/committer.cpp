
#include "process/control/committer.h"

#include <algorithm>

namespace bamboograde::process::control {

namespace {

constexpr common::milliseconds kMaxRetryDelay{ 2000 };
constexpr size_t kUnixMsDigits = 13;

} // namespace

committer::committer(context& aContext)
  : mContext(aContext)
{
}

void committer::Commit(connection::transaction aTransaction,
                       std::function<void(connection::commit_result)> aCallback)
{
  aTransaction.operation = common::operation_id(common::MakeUniqueId());
  mPending.emplace_back();
  mPending.back().transaction = std::move(aTransaction);
  mPending.back().callback = std::move(aCallback);
  Send(std::prev(mPending.end()));
}

void committer::Send(position aItem)
{
  ++mContext.metrics.Get("platform_writes_total");
  mContext.platform.Commit(
    aItem->transaction, mContext.FromNow(kPlatformTimeout),
    [this, aItem](connection::commit_result aResult) {
      mReachable = aResult.outcome != connection::commit_outcome::kUnknown;
      if (mReachable) {
        auto callback = std::move(aItem->callback);
        mPending.erase(aItem);
        callback(aResult);
        return;
      }
      ++mContext.metrics.Get("platform_unknown_outcomes_total");
      // The random delay spreads the retries of many daemons after an outage.
      auto jitter = common::milliseconds(int64_t(mContext.random.Below(aItem->delay.count())));
      aItem->retry.StartOnce(aItem->delay + jitter, [this, aItem] { Send(aItem); });
      aItem->delay = std::min(aItem->delay * 2, kMaxRetryDelay);
    });
}

connection::row_write MakeAuditRow(const context& aContext, common::json aEntry)
{
  int64_t unixMs = aContext.clock.UnixMs();
  std::string time = std::to_string(unixMs);
  time.insert(0, kUnixMsDigits - std::min(kUnixMsDigits, time.size()), '0');
  aEntry["unix_ms"] = unixMs;
  aEntry["vm"] = aContext.config.vm;
  return { "audit/" + time + "/" + common::MakeUniqueId(), std::move(aEntry) };
}

} // namespace bamboograde::process::control
