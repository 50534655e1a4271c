#include "process/sidecar/upstream_registry.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
// An upstream that is silent for more than this many announcement periods is considered lost.
constexpr int kMaxSilentPeriods = 3;
// Maximum deferral of a response. Upstreams ignore a response that arrives later than a second.
constexpr common::milliseconds kMaxDeferral{ 700 };
// Longest delay of an announcement on its way that is taken into account.
constexpr common::milliseconds kMaxAnnouncementDelay{ 10000 };
constexpr size_t kMaxAnnouncementBytes = size_t(256) * 1024;

} // namespace

upstream_registry::upstream_registry(runtime& aRuntime, const upstream_codec& aCodec,
                                     upstream_gate& aGate, key_ownership& aKeys,
                                     std::function<void()> aOnChange)
  : mRuntime(aRuntime)
  , mCodec(aCodec)
  , mGate(aGate)
  , mKeys(aKeys)
  , mOnChange(std::move(aOnChange))
  , mProbe(aRuntime, aCodec,
           [this](common::milliseconds aWarmupLeft) { OnConfirmedByProbe(aWarmupLeft); })
  , mFreshFrom(aRuntime.Now() + kMaxAnnouncementDelay)
  , mDeferralTimer(aRuntime.loop, [this] { AcknowledgeDeferred(); })
{
  mGate.SetLeavingObserver([this] {
    LogLeaving(mCurrent.id, "response");
    StartLeaving();
  });
  mKeys.SetKeysReceivedObserver([this] { mDeferralTimer.Arm(mRuntime.Now()); });
}

connection::http::caller_limits upstream_registry::Limits() const
{
  connection::http::caller_limits limits;
  limits.parse.maxBodyBytes = kMaxAnnouncementBytes;
  return limits;
}

void upstream_registry::OnRequest(const connection::http::server_exchange_ptr& aExchange)
{
  version::upstream_id id;
  switch (mCodec.Classify(aExchange->Head(), &id)) {
    case upstream_message::kAnnounce:
      ReadBody(mRuntime.loop, aExchange,
               [this, id](const connection::http::server_exchange_ptr& aWhole) {
                 OnAnnouncement(id, aWhole);
               });
      return;
    case upstream_message::kDeregister:
      OnDeregister(id, aExchange);
      return;
    case upstream_message::kOther:
      Respond(aExchange, kNotFound, "{}");
      return;
  }
}

// Whether the announcement is older than the last message of an upstream on this VM.
bool upstream_registry::IsStale(const announcement& aAnnouncement) const
{
  auto gone = mGoneUntil.find(aAnnouncement.id);
  if (gone != mGoneUntil.end() && mRuntime.Now() < gone->second) {
    return true;
  }
  if (mCurrent.id.Empty()) {
    return false;
  }
  if (aAnnouncement.startedMs != mCurrent.startedMs) {
    return aAnnouncement.startedMs < mCurrent.startedMs;
  }
  return aAnnouncement.id == mCurrent.id && aAnnouncement.sequence <= mCurrent.sequence;
}

void upstream_registry::OnAnnouncement(const version::upstream_id& aId,
                                       const connection::http::server_exchange_ptr& aExchange)
{
  auto decoded = mCodec.DecodeAnnouncement(aId, aExchange->TakeBody());
  bool otherAddress =
    decoded.has_value() && decoded.assume_value().address != mRuntime.settings.upstream;
  if (!decoded.has_value() || otherAddress) {
    mRuntime.log.Write(line_class::kTrouble, "announcement_ignored", [&] {
      return common::json{ { "upstream", aId.Str() },
                           { "reason",
                             otherAddress ? "another address" : decoded.assume_error().message } };
    });
    Respond(aExchange, kBadRequest, "{}");
    return;
  }
  const announcement& received = decoded.assume_value();
  if (received.leaving) {
    LogLeaving(aId, "announcement");
  }
  if (IsStale(received)) {
    mRuntime.counters.Add("bamboograde_late_announcements_total");
    mRuntime.log.Write(line_class::kState, "announcement_stale", [&] {
      return common::json{ { "upstream", aId.Str() },
                           { "sequence", received.sequence },
                           { "started_ms", received.startedMs },
                           { "leaving", received.leaving },
                           { "current", mCurrent.id.Str() },
                           { "current_sequence", mCurrent.sequence } };
    });
    bool ofCurrent = received.id == mCurrent.id && received.startedMs == mCurrent.startedMs;
    if (received.leaving && ofCurrent) {
      StartLeaving();
    }
    Respond(aExchange, kOk, mCodec.EncodeAcknowledgement(std::nullopt));
    return;
  }
  bool started = received.id != mCurrent.id || received.startedMs != mCurrent.startedMs;
  bool wasReady = mState == version::upstream_state::kReady;
  bool changed = started || received.slots != mCurrent.slots;
  AcknowledgeDeferred();
  mCurrent = received;
  mHeardAt = mRuntime.Now();
  // Leaving is final for an incarnation of the upstream.
  mLeaving = received.leaving || (mLeaving && !started);
  if (started) {
    mRuntime.log.Write(line_class::kState, "upstream_started", [&] {
      return common::json{ { "upstream", aId.Str() },
                           { "service", received.service.Str() },
                           { "started_ms", received.startedMs },
                           { "sequence", received.sequence } };
    });
    mGate.OnUpstreamStarted(received);
    mProbe.Cancel();
  }
  if (!mConfirmed && mHeardAt >= mFreshFrom) {
    mConfirmed = true;
    LogConfirmed("announcement");
  }
  if (mLeaving) {
    mGate.OnUpstreamLeaving();
    mKeys.HandOffAllKeys();
  } else if (mConfirmed) {
    mGate.OnUpstreamReady(received);
  } else {
    AskForConfirmation();
  }
  mKeys.OnAnnouncement(received);
  // The response to an upstream that leaves or has released keys is not deferred.
  Acknowledge(aExchange, !mLeaving && received.released.empty());
  SetState(CurrentState());
  if (changed && wasReady) {
    mOnChange();
  }
}

void upstream_registry::Acknowledge(const connection::http::server_exchange_ptr& aExchange,
                                    bool aMayWait)
{
  if (aMayWait && mKeys.ExpectsKeys()) {
    mDeferred = aExchange;
    mDeferredHeardAt = mHeardAt;
    mDeferralTimer.Arm(mHeardAt + kMaxDeferral);
    return;
  }
  Respond(aExchange, kOk, mCodec.EncodeAcknowledgement(mKeys.Grant(mHeardAt)));
}

void upstream_registry::AcknowledgeDeferred()
{
  if (mDeferred == nullptr) {
    return;
  }
  connection::http::server_exchange_ptr exchange = std::move(mDeferred);
  mDeferred.reset();
  mDeferralTimer.Cancel();
  if (!exchange->CallerDisconnected()) {
    Respond(exchange, kOk, mCodec.EncodeAcknowledgement(mKeys.Grant(mDeferredHeardAt)));
  }
}

void upstream_registry::OnDeregister(const version::upstream_id& aId,
                                     const connection::http::server_exchange_ptr& aExchange)
{
  LogLeaving(aId, "deregistration");
  if (aId == mCurrent.id) {
    StartLeaving();
    AcknowledgeDeferred();
  } else {
    // An upstream that has deregistered does not announce itself any more, so an announcement that
    // arrives now was sent before.
    std::erase_if(mGoneUntil, [this](const auto& aItem) { return aItem.second <= mRuntime.Now(); });
    mGoneUntil[aId] = mRuntime.Now() + kMaxAnnouncementDelay;
  }
  Respond(aExchange, kOk, "{}");
}

version::upstream_state upstream_registry::CurrentState() const
{
  if (mLeaving) {
    return version::upstream_state::kLeaving;
  }
  return mConfirmed ? version::upstream_state::kReady : version::upstream_state::kAbsent;
}

void upstream_registry::AskForConfirmation()
{
  if (mRuntime.Now() <= SilentFrom()) {
    mProbe.Ask(mCurrent);
  }
}

void upstream_registry::OnConfirmedByProbe(common::milliseconds aWarmupLeft)
{
  mConfirmed = true;
  mCurrent.warmupLeft = aWarmupLeft;
  LogConfirmed("probe");
  if (!mLeaving) {
    mGate.OnUpstreamReady(mCurrent);
    SetState(version::upstream_state::kReady);
  }
}

void upstream_registry::StartLeaving()
{
  mLeaving = true;
  mGate.OnUpstreamLeaving();
  mKeys.HandOffAllKeys();
  SetState(version::upstream_state::kLeaving);
}

// Writes a line for a shutdown that is about to be acknowledged, unless it is known already.
void upstream_registry::LogLeaving(const version::upstream_id& aId, const char* aMessage)
{
  bool current = aId == mCurrent.id;
  if (current && mLeaving) {
    return;
  }
  mRuntime.counters.Add(current ? "bamboograde_upstream_leaves_total{current=\"true\"}"
                                : "bamboograde_upstream_leaves_total{current=\"false\"}");
  mRuntime.log.Write(line_class::kState, "upstream_leaving", [&] {
    return common::json{ { "upstream", aId.Str() },
                         { "message", aMessage },
                         { "current", mCurrent.id.Str() },
                         { "drain_ms", mRuntime.settings.bounds.drain.count() } };
  });
}

void upstream_registry::LogConfirmed(const char* aEvidence)
{
  mRuntime.log.Write(line_class::kState, "upstream_confirmed", [&] {
    return common::json{ { "upstream", mCurrent.id.Str() },
                         { "evidence", aEvidence },
                         { "sequence", mCurrent.sequence } };
  });
}

common::boot_time upstream_registry::SilentFrom() const
{
  return mHeardAt + mRuntime.settings.announcePeriod * kMaxSilentPeriods;
}

void upstream_registry::SetState(version::upstream_state aState)
{
  if (mState == aState) {
    return;
  }
  mState = aState;
  mRuntime.log.Write(line_class::kState, "upstream_state", [&] {
    return common::json{ { "upstream", mCurrent.id.Str() }, { "state", int(aState) } };
  });
  mOnChange();
}

void upstream_registry::Tick()
{
  if (!mConfirmed && !mLeaving && !mCurrent.id.Empty()) {
    // The configuration with the health path may have arrived since the announcement.
    AskForConfirmation();
  }
  bool silent = mState != version::upstream_state::kAbsent && mRuntime.Now() > SilentFrom();
  if (silent) {
    mGate.OnUpstreamLost();
    mKeys.OnUpstreamSilent();
    SetState(version::upstream_state::kAbsent);
  }
}

} // namespace bamboograde::process::sidecar
