// Hears the upstream beside the daemon: its announcements, its leaving, and new starts of it.
#pragma once

#include "process/sidecar/key_holder.h"
#include "process/sidecar/small_message.h"

namespace bamboograde::process::sidecar {

class upstream_registry : public connection::http::exchange_handler
{
public:
  // aOnChange: the upstream's record has changed and should be told to the fleet.
  upstream_registry(runtime& aRuntime, const upstream_codec& aCodec, upstream_gate& aGate,
                    key_holder& aKeys, std::function<void()> aOnChange);

  connection::http::caller_limits Limits() const override;
  void OnRequest(const connection::http::server_exchange_ptr& aExchange) override;

  // What the fleet is told of the upstream.
  version::upstream_state State() const { return mState; }
  const announcement& Current() const { return mCurrent; }
  // Call every few dozen milliseconds.
  void Tick();

private:
  void OnAnnouncement(const version::upstream_id& aId,
                      const connection::http::server_exchange_ptr& aExchange);
  void OnGoodbye(const version::upstream_id& aId,
                 const connection::http::server_exchange_ptr& aExchange);
  // Answers an announcement with the keys to hold; waits a little for keys that are on their way.
  void Acknowledge(const connection::http::server_exchange_ptr& aExchange, bool aMayWait);
  // Answers the announcement that waits, if one does.
  void AcknowledgeWaiting();
  void SetState(version::upstream_state aState);
  bool IsStale(const announcement& aAnnouncement) const;

  runtime& mRuntime;
  const upstream_codec& mCodec;
  upstream_gate& mGate;
  key_holder& mKeys;
  std::function<void()> mOnChange;
  version::upstream_state mState = version::upstream_state::kAbsent;
  announcement mCurrent;
  common::boot_time mHeardAt;
  // An announcement whose answer waits for keys.
  connection::http::server_exchange_ptr mWaiting;
  common::boot_time mWaitingHeardAt;
  connection::http::loop_timer mWaitTimer;
};

} // namespace bamboograde::process::sidecar
