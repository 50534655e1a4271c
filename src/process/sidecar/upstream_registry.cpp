#include "process/sidecar/upstream_registry.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
// An upstream that has been silent for this many of its periods, and a bit, is taken as gone.
constexpr int kSilentPeriods = 3;
// An answer that waits for keys is sent after this time at the latest. Upstreams take an answer
// that arrives later than a second as none.
constexpr common::milliseconds kLongestWait{ 700 };
constexpr size_t kMaxAnnouncement = size_t(256) * 1024;

} // namespace

upstream_registry::upstream_registry(runtime& aRuntime, const upstream_codec& aCodec,
                                     upstream_gate& aGate, key_holder& aKeys,
                                     std::function<void()> aOnChange)
  : mRuntime(aRuntime)
  , mCodec(aCodec)
  , mGate(aGate)
  , mKeys(aKeys)
  , mOnChange(std::move(aOnChange))
  , mWaitTimer(aRuntime.loop, [this] { AcknowledgeWaiting(); })
{
  mKeys.SetArrivalObserver([this] { mWaitTimer.Arm(mRuntime.Now()); });
}

connection::http::caller_limits upstream_registry::Limits() const
{
  connection::http::caller_limits limits;
  limits.parse.maxBodyBytes = kMaxAnnouncement;
  return limits;
}

void upstream_registry::OnRequest(const connection::http::server_exchange_ptr& aExchange)
{
  version::upstream_id id;
  switch (mCodec.Classify(aExchange->Head(), &id)) {
    case upstream_message::kAnnounce:
      WithBody(mRuntime.loop, aExchange,
               [this, id](const connection::http::server_exchange_ptr& aWhole) {
                 OnAnnouncement(id, aWhole);
               });
      return;
    case upstream_message::kGoodbye:
      OnGoodbye(id, aExchange);
      return;
    case upstream_message::kOther:
      Answer(aExchange, kNotFound, "{}");
      return;
  }
}

// Whether the announcement was made before what is known already.
bool upstream_registry::IsStale(const announcement& aAnnouncement) const
{
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
  bool foreign =
    decoded.has_value() && decoded.assume_value().address != mRuntime.settings.upstream;
  if (!decoded.has_value() || foreign) {
    mRuntime.log.Write(line_class::kTrouble, "announcement_ignored", [&] {
      return common::json{ { "upstream", aId.Str() },
                           { "reason",
                             foreign ? "another address" : decoded.assume_error().message } };
    });
    Answer(aExchange, kBadRequest, "{}");
    return;
  }
  const announcement& heard = decoded.assume_value();
  if (IsStale(heard)) {
    mRuntime.log.Write(line_class::kState, "announcement_stale", [&] {
      return common::json{ { "upstream", aId.Str() }, { "sequence", heard.sequence } };
    });
    Answer(aExchange, kOk, mCodec.EncodeAcknowledgement(std::nullopt));
    return;
  }
  bool started = heard.id != mCurrent.id || heard.startedMs != mCurrent.startedMs;
  bool wasReady = mState == version::upstream_state::kReady;
  bool left = !started && mState == version::upstream_state::kLeaving;
  bool changed = started || heard.slots != mCurrent.slots;
  AcknowledgeWaiting();
  mCurrent = heard;
  mHeardAt = mRuntime.Now();
  if (started) {
    mRuntime.log.Write(line_class::kState, "upstream_started", [&] {
      return common::json{ { "upstream", aId.Str() },
                           { "service", heard.service.Str() },
                           { "started_ms", heard.startedMs } };
    });
    mGate.OnUpstreamStarted(heard);
  }
  // Leaving is final for one start of an upstream.
  bool leaving = heard.leaving || left;
  if (leaving) {
    mGate.OnUpstreamLeaving();
    mKeys.BeginLeaving();
  } else {
    mGate.OnUpstreamUpdated(heard);
  }
  mKeys.OnAnnouncement(heard);
  // One that leaves, or has let go of keys, must not wait.
  Acknowledge(aExchange, !leaving && heard.released.empty());
  SetState(leaving ? version::upstream_state::kLeaving : version::upstream_state::kReady);
  if (changed && wasReady) {
    mOnChange();
  }
}

void upstream_registry::Acknowledge(const connection::http::server_exchange_ptr& aExchange,
                                    bool aMayWait)
{
  if (aMayWait && mKeys.ExpectsKeys()) {
    mWaiting = aExchange;
    mWaitingHeardAt = mHeardAt;
    mWaitTimer.Arm(mHeardAt + kLongestWait);
    return;
  }
  Answer(aExchange, kOk, mCodec.EncodeAcknowledgement(mKeys.Grant(mHeardAt)));
}

void upstream_registry::AcknowledgeWaiting()
{
  if (mWaiting == nullptr) {
    return;
  }
  connection::http::server_exchange_ptr exchange = std::move(mWaiting);
  mWaiting.reset();
  mWaitTimer.Cancel();
  if (!exchange->CallerGone()) {
    Answer(exchange, kOk, mCodec.EncodeAcknowledgement(mKeys.Grant(mWaitingHeardAt)));
  }
}

void upstream_registry::OnGoodbye(const version::upstream_id& aId,
                                  const connection::http::server_exchange_ptr& aExchange)
{
  Answer(aExchange, kOk, "{}");
  if (aId != mCurrent.id) {
    return;
  }
  mGate.OnUpstreamLeaving();
  mKeys.BeginLeaving();
  AcknowledgeWaiting();
  SetState(version::upstream_state::kLeaving);
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
  bool silent = mState != version::upstream_state::kAbsent &&
                mRuntime.Now() > mHeardAt + mRuntime.settings.announcePeriod * kSilentPeriods;
  if (silent) {
    mGate.OnUpstreamGone();
    mKeys.BeginLeaving();
    SetState(version::upstream_state::kAbsent);
  }
}

} // namespace bamboograde::process::sidecar
