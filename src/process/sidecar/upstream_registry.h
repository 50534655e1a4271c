// Handles the messages of the local upstream: announcements, deregistration and new incarnations.
#pragma once

#include "process/sidecar/key_ownership.h"
#include "process/sidecar/small_message.h"
#include "process/sidecar/upstream_probe.h"

namespace bamboograde::process::sidecar {

class upstream_registry : public connection::http::exchange_handler
{
public:
  // aOnChange is called when the upstream's state in the member record has changed and must be
  // broadcast.
  upstream_registry(runtime& aRuntime, const upstream_codec& aCodec, upstream_gate& aGate,
                    key_ownership& aKeys, std::function<void()> aOnChange);

  connection::http::caller_limits Limits() const override;
  void OnRequest(const connection::http::server_exchange_ptr& aExchange) override;

  // State of the upstream for the member record.
  version::upstream_state State() const { return mState; }
  const announcement& Current() const { return mCurrent; }
  // Must be called every few tens of milliseconds.
  void Tick();

private:
  void OnAnnouncement(const version::upstream_id& aId,
                      const connection::http::server_exchange_ptr& aExchange);
  void OnDeregister(const version::upstream_id& aId,
                    const connection::http::server_exchange_ptr& aExchange);
  // Responds to an announcement with a grant. aMayWait: may defer the response for keys that are
  // being handed off to this daemon.
  void Acknowledge(const connection::http::server_exchange_ptr& aExchange, bool aMayWait);
  // Responds to the deferred announcement, if there is one.
  void AcknowledgeDeferred();
  void StartLeaving();
  // State of the upstream by its last announcement.
  version::upstream_state CurrentState() const;
  // Asks the upstream whether it is ready, unless it is silent.
  void AskForConfirmation();
  void OnConfirmedByProbe(common::milliseconds aWarmupLeft);
  void LogLeaving(const version::upstream_id& aId, const char* aMessage);
  void LogConfirmed(const char* aEvidence);
  // When the upstream counts as silent unless it announces itself.
  common::boot_time SilentFrom() const;
  void SetState(version::upstream_state aState);
  bool IsStale(const announcement& aAnnouncement) const;

  runtime& mRuntime;
  const upstream_codec& mCodec;
  upstream_gate& mGate;
  key_ownership& mKeys;
  std::function<void()> mOnChange;
  version::upstream_state mState = version::upstream_state::kAbsent;
  announcement mCurrent;
  // The current incarnation has announced its shutdown or deregistered.
  bool mLeaving = false;
  // An upstream of this VM is known to be running now, so that late messages can be recognized by
  // their incarnation and sequence. Before, the first announcement may itself be a late one, of an
  // upstream whose shutdown a former process of this daemon has acknowledged.
  bool mConfirmed = false;
  upstream_probe mProbe;
  // Announcements that arrive from this time on were sent after the start of this process, so they
  // confirm an upstream that does not answer the probe.
  common::boot_time mFreshFrom;
  // Upstreams that deregistered without having been known, and until when their announcements are
  // taken for late ones.
  std::map<version::upstream_id, common::boot_time> mGoneUntil;
  common::boot_time mHeardAt;
  // The announcement whose response is deferred until keys arrive.
  connection::http::server_exchange_ptr mDeferred;
  common::boot_time mDeferredHeardAt;
  connection::http::loop_timer mDeferralTimer;
};

} // namespace bamboograde::process::sidecar
