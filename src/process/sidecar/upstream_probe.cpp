#include "process/sidecar/upstream_probe.h"

namespace bamboograde::process::sidecar {

upstream_probe::upstream_probe(runtime& aRuntime, const upstream_codec& aCodec,
                               std::function<void()> aOnReady)
  : mRuntime(aRuntime)
  , mCodec(aCodec)
  , mOnReady(std::move(aOnReady))
  , mTimer(aRuntime.loop, [this] { Cancel(); })
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
  mAsked = false;
}

void upstream_probe::Ask(const announcement& aUpstream, common::boot_time aDeadline)
{
  const version::route_config_ptr& config = mRuntime.fleet.Config();
  const version::service_rule* service =
    config == nullptr ? nullptr : config->Service(aUpstream.service);
  if (mAsked || service == nullptr || service->healthPath.empty()) {
    return;
  }
  mAsked = true;
  mReady = false;
  mUpstream = aUpstream.id;
  connection::http::request_head head;
  head.method = "GET";
  head.target = service->healthPath;
  head.headers.Add("Host", aUpstream.address.Str());
  mTimer.Arm(aDeadline);
  mRuntime.counters.Add("bamboograde_upstream_probes_total");
  mCall = mRuntime.pool.Send(aUpstream.address, head, "", true, aDeadline, this);
}

void upstream_probe::OnCallHead(connection::http::response_head& aHead)
{
  mReady = mCodec.ConfirmsReady(aHead, mUpstream);
}

// Waits for the end of the response, so that the connection can be used again.
void upstream_probe::OnCallEnd()
{
  mTimer.Cancel();
  mCall.reset();
  if (mReady) {
    mOnReady();
  }
}

void upstream_probe::OnCallFailed(const connection::http::call_error& /*aError*/)
{
  mTimer.Cancel();
  mCall.reset();
}

} // namespace bamboograde::process::sidecar
