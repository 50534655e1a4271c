// An attempt to run a request at the local upstream.
#pragma once

#include "process/sidecar/upstream_gate.h"

namespace bamboograde::process::sidecar {

class local_attempt
  : public request::attempt
  , private gate_client
  , private connection::http::call_observer
{
public:
  // aHead: request head without hop-by-hop headers.
  local_attempt(runtime& aRuntime, upstream_gate& aGate, connection::http::request_head aHead,
                request::request_facts aFacts, request::attempt_observer* aObserver);
  ~local_attempt() override;

  void Start(std::string aBody, bool aBodyDone) override;
  void SendBody(std::string_view aBytes) override;
  void FinishBody() override;
  bool Congested() const override;
  void PauseResponse() override;
  void ResumeResponse() override;
  void Cancel() override;
  bool MayHaveRun() const override;

private:
  // gate_client
  void OnAdmitted() override;
  void OnClosing(common::boot_time aTime) override;
  void OnAdmissionRefused(const request::attempt_refusal& aRefusal) override;
  // call_observer
  bool IsOwnResponse(const connection::http::response_head& aHead) override;
  void OnCallHead(connection::http::response_head& aHead) override;
  void OnCallBody(std::string_view aBytes) override;
  void OnCallEnd() override;
  void OnCallFailed(const connection::http::call_error& aError) override;
  void OnCallWritable() override;

  void OnOverdue();
  void Fail(const std::string& aReason);
  request::attempt_observer* DetachObserver();

  runtime& mRuntime;
  upstream_gate& mGate;
  connection::http::request_head mHead;
  request::request_facts mFacts;
  // Null after the final callback or after cancellation.
  request::attempt_observer* mObserver;
  connection::http::loop_timer mOverdueTimer;
  connection::http::client_call_ptr mCall;
  std::string mBody;
  bool mBodyDone = false;
  bool mNotRun = false;
  size_t mNotRunBodyBytes = 0;
  upstream_outcome mOutcome = upstream_outcome::kServed;
};

} // namespace bamboograde::process::sidecar
