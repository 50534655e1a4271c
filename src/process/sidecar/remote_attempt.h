// An attempt to run a request at the upstream of another daemon, through that daemon's gate.
#pragma once

#include "process/sidecar/daemon_headers.h"
#include "process/sidecar/failure_detector.h"
#include "request/attempt.h"

namespace bamboograde::process::sidecar {

class remote_attempt
  : public request::attempt
  , private connection::http::call_observer
  , private failure_observer
{
public:
  remote_attempt(runtime& aRuntime, request::placement& aPlacement,
                 failure_detector& aFailureDetector, const version::member& aTarget,
                 connection::http::request_head aHead, request::request_facts aFacts,
                 request::attempt_observer* aObserver);
  ~remote_attempt() override;

  void Start(std::string aBody, bool aBodyDone) override;
  void SendBody(std::string_view aBytes) override { mCall->SendBody(aBytes); }
  void FinishBody() override { mCall->FinishBody(); }
  bool Congested() const override { return mCall->Congested(); }
  void PauseResponse() override;
  void ResumeResponse() override;
  void Cancel() override;
  bool MayHaveRun() const override { return mCall != nullptr && mCall->MayHaveBeenSent(); }

private:
  // call_observer
  void OnCallHead(connection::http::response_head& aHead) override;
  void OnCallBody(std::string_view aBytes) override;
  void OnCallEnd() override;
  void OnCallFailed(const connection::http::call_error& aError) override;
  void OnCallWritable() override;
  // failure_observer
  void OnPeerSilent(unsigned aFailedChecks) override;

  void StopTracking();
  request::attempt_observer* DetachObserver();

  runtime& mRuntime;
  request::placement& mPlacement;
  failure_detector& mFailureDetector;
  version::member mTarget;
  connection::http::request_head mHead;
  request::request_facts mFacts;
  request::attempt_observer* mObserver;
  connection::http::client_call_ptr mCall;
  std::optional<request::attempt_refusal> mRefusal;
  std::optional<request::attempt_failure> mFailure;
  bool mResponded = false;
  bool mTracked = false;
};

} // namespace bamboograde::process::sidecar
