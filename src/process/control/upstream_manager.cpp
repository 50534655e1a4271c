#include "process/control/upstream_manager.h"

#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

namespace {

constexpr char kGrantPath[] = "/grant";
constexpr common::milliseconds kMinGrantExtension{ 200 };

} // namespace

upstream_manager::upstream_manager(context& aContext)
  : mContext(aContext)
  , mClient({})
{
}

bool upstream_manager::HandleAnnounce(const common::json& aBody)
{
  upstream_info info;
  info.address = common::endpoint(common::GetString(aBody, "address"));
  info.slots = common::GetNumber(aBody, "slots");
  info.checksFences = common::GetBool(aBody, "checks_fences");
  if (info.address.Empty() || info.slots == 0) {
    return false;
  }
  if (mOpen && info.address == mInfo.address && info.slots == mInfo.slots) {
    return true;
  }
  mInfo = info;
  mOpen = true;
  common::milliseconds cold(int64_t(common::GetNumber(aBody, "cold_ms")));
  mContext.boxes.gate.Send(open_upstream{ info.address, info.slots, mContext.FromNow(cold) });
  mContext.boxes.SendToWorkers(set_upstream{ info.address });
  spdlog::info("upstream {} accepts requests with {} slots", info.address.Str(), info.slots);
  return true;
}

void upstream_manager::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mContext.boxes.gate.Send(close_upstream{});
  spdlog::info("upstream {} accepts no new requests", mInfo.address.Str());
}

void upstream_manager::Grant(const common::session_id& aSession, common::boot_time aEnd)
{
  if (!mOpen || !mInfo.checksFences) {
    return;
  }
  // Every witness's renewal may extend the lease by a small amount; one grant per round of renewals
  // is enough.
  if (aSession == mGrantSession && aEnd < mGrantEnd + kMinGrantExtension) {
    return;
  }
  mGrantSession = aSession;
  mGrantEnd = aEnd;
  connection::http_request request;
  request.method = "PUT";
  request.authority = mInfo.address.Str();
  request.target = kGrantPath;
  request.body =
    common::Dump({ { "session", aSession.Str() }, { "end_boot_us", common::ToMicros(aEnd) } });
  mClient.Send(request, mContext.FromNow(kPeerTimeout), mContext.clock.Now(),
               [](const connection::http_result&) {});
}

} // namespace bamboograde::process::control
