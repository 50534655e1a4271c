#include "process/sidecar/forwarded_request.h"

#include "process/sidecar/remote_attempt.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kBadRequest = 400;

} // namespace

forwarded_request::forwarded_request(runtime& aRuntime, upstream_gate& aGate,
                                     connection::http::server_exchange_ptr aExchange)
  : mRuntime(aRuntime)
  , mGate(aGate)
  , mExchange(std::move(aExchange))
  , mBody(mExchange)
  , mRelay(mExchange, 0)
{
}

void forwarded_request::Handle(runtime& aRuntime, upstream_gate& aGate,
                               const connection::http::server_exchange_ptr& aExchange)
{
  boost::intrusive_ptr<forwarded_request> self(new forwarded_request(aRuntime, aGate, aExchange));
  self->mSelf = self;
  ++aRuntime.inFlight;
  aExchange->SetObserver(self.get());
  if (self->mBody.ReadyToPlace()) {
    self->StartAttempt();
  }
}

void forwarded_request::StartAttempt()
{
  boost::intrusive_ptr<forwarded_request> self(this);
  connection::http::request_head& head = mExchange->Head();
  const std::string* text = head.headers.Find(kFactsHeader);
  auto value = common::ParseJson(text == nullptr ? "" : *text);
  if (!value.has_value()) {
    mRuntime.log.Write(line_class::kTrouble, "forward_without_facts", [&] {
      return common::json{ { "target", head.target } };
    });
    RespondWith(kBadRequest, kFailureHeader, "request facts are missing");
    return;
  }
  request::request_facts facts = request::DecodeFacts(value.assume_value(), mRuntime.Now());
  if (facts.bulk) {
    mRelay.Pace(mRuntime.bulk, facts.deadline);
  }
  connection::http::RemoveHopByHopHeaders(&head.headers);
  head.headers.Remove(kFactsHeader);
  mAttempt = new local_attempt(mRuntime, mGate, std::move(head), std::move(facts), this);
  request::attempt_ptr attempt = mAttempt;
  std::string body = mBody.Take();
  attempt->Start(std::move(body), mBody.Whole());
}

void forwarded_request::OnRequestBody()
{
  // The rest of a body is not needed once the response is complete.
  if (mRelay.Ended()) {
    return;
  }
  if (mAttempt != nullptr) {
    mBody.Pump(*mAttempt);
  } else if (mBody.ReadyToPlace()) {
    StartAttempt();
  }
}

void forwarded_request::OnCallerDisconnected()
{
  boost::intrusive_ptr<forwarded_request> self(this);
  if (mAttempt != nullptr) {
    mAttempt->Cancel();
  }
  Release();
}

void forwarded_request::OnResponseWritable()
{
  mRelay.OnWritable();
}

void forwarded_request::OnAttemptHead(connection::http::response_head& aHead)
{
  AddLoad(&aHead.headers);
  mRelay.OnHead(aHead);
}

void forwarded_request::OnAttemptBody(std::string_view aBytes)
{
  mRelay.OnBody(aBytes, mAttempt);
}

void forwarded_request::OnAttemptEnd()
{
  mRelay.OnEnd([this] { Release(); });
}

void forwarded_request::OnAttemptRefused(const request::attempt_refusal& aRefusal)
{
  RespondWith(kUnavailable, kRefusalHeader, common::Dump(request::EncodeRefusal(aRefusal)));
}

void forwarded_request::OnAttemptFailed(const request::attempt_failure& aFailure)
{
  boost::intrusive_ptr<forwarded_request> self(this);
  if (mRelay.Sent()) {
    mExchange->Abort();
    Release();
    return;
  }
  RespondWith(kBadGateway, kFailureHeader, aFailure.reason);
}

void forwarded_request::OnAttemptWritable()
{
  mBody.Pump(*mAttempt);
}

void forwarded_request::RespondWith(int aStatus, const char* aHeader, std::string aValue)
{
  boost::intrusive_ptr<forwarded_request> self(this);
  connection::http::response_head head;
  head.status = aStatus;
  head.headers.Add(aHeader, std::move(aValue));
  AddLoad(&head.headers);
  mExchange->SetObserver(nullptr);
  mRelay.Discard();
  mExchange->Respond(std::move(head), "");
  Release();
}

void forwarded_request::AddLoad(connection::http::header_list* aHeaders) const
{
  aHeaders->Add(kLoadHeader, common::Dump(request::EncodeLoad(mGate.Load())));
}

void forwarded_request::Release()
{
  mExchange->SetObserver(nullptr);
  mRelay.Cancel();
  if (mSelf != nullptr) {
    // Released at the end of the loop iteration, because the attempt may still be in a call to this
    // object.
    mRuntime.loop.Defer([self = mSelf] {});
    mSelf.reset();
    --mRuntime.inFlight;
  }
}

} // namespace bamboograde::process::sidecar
