// Asks the local upstream whether it is ready, at the health path of its service.
//
// An upstream that is leaving, starting or full answers that it is not ready, so the question is
// repeated.
#pragma once

#include "process/sidecar/runtime.h"
#include "process/sidecar/upstream_codec.h"

namespace bamboograde::process::sidecar {

class upstream_probe : private connection::http::call_observer
{
public:
  // aOnReady is called when the upstream has answered that it is ready.
  upstream_probe(runtime& aRuntime, const upstream_codec& aCodec,
                 std::function<void(common::milliseconds)> aOnReady);
  ~upstream_probe() override;

  // Drops a question in progress, so that the next Ask() starts a new one.
  void Cancel();
  // No effect while the service's health path is not known, while a question is in progress or soon
  // after its end.
  void Ask(const announcement& aUpstream);

private:
  // call_observer
  void OnCallHead(connection::http::response_head& aHead) override;
  void OnCallBody(std::string_view aBytes) override {}
  void OnCallEnd() override;
  void OnCallFailed(const connection::http::call_error& aError) override;

  void End(const char* aAnswer);

  runtime& mRuntime;
  const upstream_codec& mCodec;
  std::function<void(common::milliseconds)> mOnReady;
  // Ends a question without an answer.
  connection::http::loop_timer mTimer;
  connection::http::client_call_ptr mCall;
  version::upstream_id mUpstream;
  common::boot_time mAskableAt;
  int mStatus = 0;
  bool mReady = false;
  common::milliseconds mWarmupLeft{ 0 };
};

} // namespace bamboograde::process::sidecar
