#include "connection/http/client_pool.h"

#include "connection/http/client_connection.h"

#include <algorithm>

namespace bamboograde::connection::http {

namespace {

// How often idle connections are looked through.
constexpr common::milliseconds kReapPeriod{ 500 };

} // namespace

void client_call::SendBody(std::string_view aBytes)
{
  if (mConnection != nullptr) {
    mConnection->SendBody(aBytes);
  }
}

void client_call::FinishBody()
{
  if (mConnection != nullptr) {
    mConnection->FinishBody();
  }
}

bool client_call::Congested() const
{
  return mConnection != nullptr && mConnection->Congested();
}

void client_call::PauseResponse()
{
  if (mConnection != nullptr) {
    mConnection->PauseReading();
  }
}

void client_call::ResumeResponse()
{
  if (mConnection != nullptr) {
    mConnection->ResumeReading();
  }
}

void client_call::Cancel()
{
  mObserver = nullptr;
  if (mConnection != nullptr) {
    boost::intrusive_ptr<client_connection> connection(mConnection);
    connection->Cancel();
  }
}

bool client_call::MayBeSent() const
{
  return mConnection == nullptr || mConnection->HasSent();
}

client_pool::client_pool(event_loop& aLoop)
  : mLoop(aLoop)
  , mReaper(aLoop, [this] { CloseExpired(); })
{
}

client_pool::~client_pool()
{
  for (auto& [target, state] : mTargets) {
    for (auto& connection : state.idle) {
      connection->CloseIdle();
    }
  }
}

client_call_ptr client_pool::Send(const common::endpoint& aTarget, const request_head& aHead,
                                  std::string_view aBody, bool aBodyDone,
                                  common::boot_time aConnectBy, call_observer* aObserver)
{
  target_state& state = mTargets[aTarget];
  common::boot_time now = mLoop.Now();
  boost::intrusive_ptr<client_connection> connection;
  while (connection == nullptr && !state.idle.empty()) {
    connection = state.idle.back();
    state.idle.pop_back();
    if (connection->IdleUntil() <= now) {
      connection->CloseIdle();
      connection.reset();
      --state.open;
    }
  }
  if (connection == nullptr) {
    connection = new client_connection(mLoop, *this, aTarget);
    ++state.open;
  }
  client_call_ptr call(new client_call());
  call->mObserver = aObserver;
  call->mToHead = aHead.method == "HEAD";
  call->mFraming = aHead.body.framing;
  // The call keeps the connection alive until its end.
  intrusive_ptr_add_ref(connection.get());
  connection->Begin(call, aHead, aBody, aBodyDone, aConnectBy);
  return call;
}

void client_pool::OnIdle(client_connection& aConnection)
{
  mTargets[aConnection.Target()].idle.emplace_back(&aConnection);
  mLoop.Defer([held = boost::intrusive_ptr<client_connection>(&aConnection, false)] {});
  if (!mReaper.Armed()) {
    mReaper.Arm(mLoop.Now() + kReapPeriod);
  }
}

void client_pool::OnClosed(client_connection& aConnection)
{
  target_state& state = mTargets[aConnection.Target()];
  --state.open;
  auto found = std::find(state.idle.begin(), state.idle.end(), &aConnection);
  if (found != state.idle.end()) {
    state.idle.erase(found);
    return;
  }
  // The reference of the call, released at the end of the turn.
  mLoop.Defer([held = boost::intrusive_ptr<client_connection>(&aConnection, false)] {});
}

void client_pool::DropIdle(const common::endpoint& aTarget)
{
  auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  for (auto& connection : found->second.idle) {
    connection->CloseIdle();
  }
  found->second.open -= found->second.idle.size();
  found->second.idle.clear();
}

void client_pool::CloseExpired()
{
  common::boot_time now = mLoop.Now();
  bool anyIdle = false;
  for (auto& item : mTargets) {
    target_state& state = item.second;
    std::erase_if(state.idle, [&](const boost::intrusive_ptr<client_connection>& aConnection) {
      if (aConnection->IdleUntil() > now) {
        return false;
      }
      aConnection->CloseIdle();
      --state.open;
      return true;
    });
    anyIdle = anyIdle || !state.idle.empty();
  }
  if (anyIdle) {
    mReaper.Arm(now + kReapPeriod);
  }
}

} // namespace bamboograde::connection::http
