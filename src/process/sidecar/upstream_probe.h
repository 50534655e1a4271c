// Asks the local upstream whether it is ready, at the health path of its service.
#pragma once

#include "process/sidecar/runtime.h"
#include "process/sidecar/upstream_codec.h"

namespace bamboograde::process::sidecar {

class upstream_probe : private connection::http::call_observer
{
public:
  // aOnReady is called when the upstream has answered that it is ready.
  upstream_probe(runtime& aRuntime, const upstream_codec& aCodec, std::function<void()> aOnReady);
  ~upstream_probe() override;

  // Drops a question in progress, so that the next Ask() starts a new one.
  void Cancel();
  // Asks once; no effect while the service's health path is not known or after the question was
  // sent. An answer after aDeadline does not count.
  void Ask(const announcement& aUpstream, common::boot_time aDeadline);

private:
  // call_observer
  void OnCallHead(connection::http::response_head& aHead) override;
  void OnCallBody(std::string_view aBytes) override {}
  void OnCallEnd() override;
  void OnCallFailed(const connection::http::call_error& aError) override;

  runtime& mRuntime;
  const upstream_codec& mCodec;
  std::function<void()> mOnReady;
  connection::http::loop_timer mTimer;
  connection::http::client_call_ptr mCall;
  version::upstream_id mUpstream;
  bool mAsked = false;
  bool mReady = false;
};

} // namespace bamboograde::process::sidecar
