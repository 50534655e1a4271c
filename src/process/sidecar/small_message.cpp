#include "process/sidecar/small_message.h"

namespace bamboograde::process::sidecar {

namespace {

// Waits until the body of one message is complete; deletes itself afterwards.
class body_waiter : public connection::http::exchange_observer
{
public:
  using body_callback = std::function<void(const connection::http::server_exchange_ptr&)>;

  static void Wait(connection::http::event_loop& aLoop,
                   const connection::http::server_exchange_ptr& aExchange, body_callback aCallback)
  {
    if (aExchange->BodyComplete()) {
      aCallback(aExchange);
      return;
    }
    aExchange->SetObserver(new body_waiter(aLoop, aExchange, std::move(aCallback)));
  }

private:
  body_waiter(connection::http::event_loop& aLoop, connection::http::server_exchange_ptr aExchange,
              body_callback aCallback)
    : mLoop(aLoop)
    , mExchange(std::move(aExchange))
    , mCallback(std::move(aCallback))
  {
  }
  void OnRequestBody() override
  {
    if (mExchange->BodyComplete()) {
      End();
      mCallback(mExchange);
    }
  }
  void OnCallerDisconnected() override { End(); }
  void End()
  {
    mExchange->SetObserver(nullptr);
    mLoop.Defer([this] { delete this; });
  }

  connection::http::event_loop& mLoop;
  connection::http::server_exchange_ptr mExchange;
  body_callback mCallback;
};

} // namespace

void ReadBody(connection::http::event_loop& aLoop,
              const connection::http::server_exchange_ptr& aExchange,
              std::function<void(const connection::http::server_exchange_ptr&)> aCallback)
{
  body_waiter::Wait(aLoop, aExchange, std::move(aCallback));
}

void Respond(const connection::http::server_exchange_ptr& aExchange, int aStatus,
             const std::string& aBody, const char* aType)
{
  connection::http::response_head head;
  head.status = aStatus;
  head.headers.Add("Content-Type", aType);
  aExchange->Respond(std::move(head), aBody);
}

} // namespace bamboograde::process::sidecar
