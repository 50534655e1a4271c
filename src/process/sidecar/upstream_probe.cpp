#include "process/sidecar/upstream_probe.h"

namespace bamboograde::process::sidecar {

namespace {

// An upstream that is full answers when a slot is free.
constexpr common::milliseconds kAnswerTimeout{ 5000 };
constexpr common::milliseconds kPause{ 250 };

} // namespace

upstream_probe::upstream_probe(runtime& aRuntime, const upstream_codec& aCodec,
                               std::function<void(common::milliseconds)> aOnReady)
  : mRuntime(aRuntime)
  , mCodec(aCodec)
  , mOnReady(std::move(aOnReady))
  , mTimer(aRuntime.loop, [this] { End("none"); })
{
}

upstream_probe::~upstream_probe()
{
  Cancel();
}

void upstream_probe::Cancel()
{
  mTimer.Cancel();
  if (mCall != nullptr) {
    mCall->Cancel();
    mCall.reset();
  }
  mAskableAt = {};
}

void upstream_probe::Ask(const announcement& aUpstream)
{
  const version::route_config_ptr& config = mRuntime.fleet.Config();
  const version::service_rule* service =
    config == nullptr ? nullptr : config->Service(aUpstream.service);
  common::boot_time now = mRuntime.Now();
  bool mayAsk = mCall == nullptr && now >= mAskableAt;
  if (!mayAsk || service == nullptr || service->healthPath.empty()) {
    return;
  }
  mReady = false;
  mStatus = 0;
  mUpstream = aUpstream.id;
  connection::http::request_head head;
  head.method = "GET";
  head.target = service->healthPath;
  head.headers.Add("Host", aUpstream.address.Str());
  common::boot_time deadline = now + kAnswerTimeout;
  mTimer.Arm(deadline);
  mRuntime.counters.Add("bamboograde_upstream_probes_total");
  mCall = mRuntime.pool.Send(aUpstream.address, head, "", true, deadline, this);
}

void upstream_probe::OnCallHead(connection::http::response_head& aHead)
{
  mStatus = aHead.status;
  mReady = mCodec.ConfirmsReady(aHead, mUpstream);
  mWarmupLeft = mCodec.ReadWarmupLeft(aHead);
}

// Waits for the end of the response, so that the connection can be used again.
void upstream_probe::OnCallEnd()
{
  mCall.reset();
  End(mReady ? "ready" : "not ready");
  if (mReady) {
    mOnReady(mWarmupLeft);
  }
}

void upstream_probe::OnCallFailed(const connection::http::call_error& /*aError*/)
{
  mCall.reset();
  End("broken");
}

void upstream_probe::End(const char* aAnswer)
{
  Cancel();
  mAskableAt = mRuntime.Now() + kPause;
  mRuntime.log.Write(line_class::kState, "upstream_probed", [&] {
    return common::json{ { "upstream", mUpstream.Str() },
                         { "answer", aAnswer },
                         { "status", mStatus } };
  });
}

} // namespace bamboograde::process::sidecar
