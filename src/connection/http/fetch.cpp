#include "connection/http/fetch.h"

namespace bamboograde::connection::http {

namespace {

// Maximum size of a response body. The largest responses are pages of the platform's rows.
constexpr size_t kMaxBodyBytes = size_t(8) * 1024 * 1024;

// A call in progress. Deletes itself after the callback.
class fetch_call : private call_observer
{
public:
  fetch_call(event_loop& aLoop, client_pool& aPool, fetch_request aRequest,
             fetch_callback aCallback)
    : mLoop(aLoop)
    , mPool(aPool)
    , mRequest(std::move(aRequest))
    , mCallback(std::move(aCallback))
    , mTimer(aLoop, [this] { OnDeadline(); })
  {
  }

  void Start()
  {
    request_head head;
    head.method = mRequest.method;
    head.target = mRequest.path;
    head.headers.Add("Host", mRequest.target.Str());
    if (!mRequest.body.empty() || head.method != "GET") {
      head.headers.Add("Content-Type", "application/json");
      head.body = { body_framing::kLength, mRequest.body.size() };
    }
    mTimer.Arm(mRequest.deadline);
    mCall = mPool.Send(mRequest.target, head, mRequest.body, true, mRequest.deadline, this);
  }

private:
  void OnCallHead(response_head& aHead) override
  {
    mResult.status = aHead.status;
    mResult.headers = std::move(aHead.headers);
  }
  void OnCallBody(std::string_view aBytes) override
  {
    if (mResult.body.size() + aBytes.size() > kMaxBodyBytes) {
      mResult.status = 0;
      mResult.error.reason = "response too large";
      mCall->Cancel();
      Finish();
      return;
    }
    mResult.body.append(aBytes);
  }
  void OnCallEnd() override { Finish(); }
  void OnCallFailed(const call_error& aError) override
  {
    mResult.status = 0;
    mResult.error = aError;
    Finish();
  }
  void OnDeadline()
  {
    mResult.status = 0;
    mResult.error.failure =
      mCall->MayHaveBeenSent() ? call_failure::kUnknown : call_failure::kNotSent;
    mResult.error.reason = "deadline passed";
    mCall->Cancel();
    // The network path of the idle connections to this target may be broken as well.
    mPool.CloseIdleConnections(mRequest.target);
    Finish();
  }
  void Finish()
  {
    mTimer.Cancel();
    mLoop.Defer([this] {
      mCallback(mResult);
      delete this;
    });
  }

  event_loop& mLoop;
  client_pool& mPool;
  fetch_request mRequest;
  fetch_callback mCallback;
  loop_timer mTimer;
  client_call_ptr mCall;
  fetch_result mResult;
};

} // namespace

void Fetch(event_loop& aLoop, client_pool& aPool, fetch_request aRequest, fetch_callback aCallback)
{
  (new fetch_call(aLoop, aPool, std::move(aRequest), std::move(aCallback)))->Start();
}

} // namespace bamboograde::connection::http
