// A request that another daemon has forwarded to the local upstream.
#pragma once

#include "process/sidecar/local_attempt.h"
#include "process/sidecar/request_body.h"
#include "process/sidecar/response_relay.h"

namespace bamboograde::process::sidecar {

class forwarded_request
  : public boost::intrusive_ref_counter<forwarded_request, boost::thread_unsafe_counter>
  , private connection::http::exchange_observer
  , private request::attempt_observer
{
public:
  static void Handle(runtime& aRuntime, upstream_gate& aGate,
                     const connection::http::server_exchange_ptr& aExchange);
  ~forwarded_request() override = default;

private:
  forwarded_request(runtime& aRuntime, upstream_gate& aGate,
                    connection::http::server_exchange_ptr aExchange);
  void StartAttempt();
  // exchange_observer
  void OnRequestBody() override;
  void OnCallerDisconnected() override;
  void OnResponseWritable() override;
  // attempt_observer
  void OnAttemptHead(connection::http::response_head& aHead) override;
  void OnAttemptBody(std::string_view aBytes) override;
  void OnAttemptEnd() override;
  void OnAttemptRefused(const request::attempt_refusal& aRefusal) override;
  void OnAttemptFailed(const request::attempt_failure& aFailure) override;
  void OnAttemptWritable() override;

  void RespondWith(int aStatus, const char* aHeader, std::string aValue);
  void AddLoad(connection::http::header_list* aHeaders) const;
  void Release();

  runtime& mRuntime;
  upstream_gate& mGate;
  connection::http::server_exchange_ptr mExchange;
  request_body mBody;
  response_relay mRelay;
  request::attempt_ptr mAttempt;
  boost::intrusive_ptr<forwarded_request> mSelf;
};

} // namespace bamboograde::process::sidecar
