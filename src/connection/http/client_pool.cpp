#include "connection/http/client_pool.h"

#include "connection/http/client_connection.h"

#include <algorithm>

namespace bamboograde::connection::http {

namespace {

// How often idle connections are checked for expiry.
constexpr common::milliseconds kIdleCheckPeriod{ 500 };

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

void client_call::SendBy(common::boot_time aDeadline)
{
  if (mConnection != nullptr) {
    mConnection->SendBy(aDeadline);
  }
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

bool client_call::MayHaveBeenSent() const
{
  return mConnection == nullptr || mConnection->HasSentBytes();
}

client_pool::client_pool(event_loop& aLoop)
  : mLoop(aLoop)
  , mIdleCheckTimer(aLoop, [this] { CloseExpired(); })
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
                                  std::string_view aBody, bool aBodyComplete,
                                  common::boot_time aConnectDeadline, call_observer* aObserver)
{
  target_state& state = mTargets[aTarget];
  common::boot_time now = mLoop.Now();
  boost::intrusive_ptr<client_connection> connection;
  while (connection == nullptr && !state.idle.empty()) {
    connection = state.idle.back();
    state.idle.pop_back();
    if (connection->ReusableUntil() <= now) {
      connection->CloseIdle();
      connection.reset();
      --state.openCount;
    }
  }
  if (connection == nullptr) {
    connection = new client_connection(mLoop, *this, aTarget);
    ++state.openCount;
  }
  client_call_ptr call(new client_call());
  call->mObserver = aObserver;
  call->mIsHeadRequest = aHead.method == "HEAD";
  call->mFraming = aHead.body.framing;
  // This reference belongs to the call. OnIdle() or OnClosed() releases it.
  intrusive_ptr_add_ref(connection.get());
  connection->StartCall(call, aHead, aBody, aBodyComplete, aConnectDeadline);
  return call;
}

void client_pool::OnIdle(client_connection& aConnection)
{
  mTargets[aConnection.Target()].idle.emplace_back(&aConnection);
  mLoop.Defer([reference = boost::intrusive_ptr<client_connection>(&aConnection, false)] {});
  if (!mIdleCheckTimer.Armed()) {
    mIdleCheckTimer.Arm(mLoop.Now() + kIdleCheckPeriod);
  }
}

void client_pool::OnClosed(client_connection& aConnection)
{
  target_state& state = mTargets[aConnection.Target()];
  --state.openCount;
  auto found = std::find(state.idle.begin(), state.idle.end(), &aConnection);
  if (found != state.idle.end()) {
    state.idle.erase(found);
    return;
  }
  // Releases the reference of the call at the end of the loop iteration, since this connection's
  // functions are still on the call stack.
  mLoop.Defer([reference = boost::intrusive_ptr<client_connection>(&aConnection, false)] {});
}

void client_pool::CloseIdleConnections(const common::endpoint& aTarget)
{
  auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  for (auto& connection : found->second.idle) {
    connection->CloseIdle();
  }
  found->second.openCount -= found->second.idle.size();
  found->second.idle.clear();
}

void client_pool::CloseExpired()
{
  common::boot_time now = mLoop.Now();
  bool anyIdleLeft = false;
  for (auto& item : mTargets) {
    target_state& state = item.second;
    std::erase_if(state.idle, [&](const boost::intrusive_ptr<client_connection>& aConnection) {
      if (aConnection->ReusableUntil() > now) {
        return false;
      }
      aConnection->CloseIdle();
      --state.openCount;
      return true;
    });
    anyIdleLeft = anyIdleLeft || !state.idle.empty();
  }
  if (anyIdleLeft) {
    mIdleCheckTimer.Arm(now + kIdleCheckPeriod);
  }
}

} // namespace bamboograde::connection::http
