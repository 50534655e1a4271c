#include "process/sidecar/sidecar.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kTick{ 25 };
// A longer gap between ticks is logged; the process was suspended, starved of CPU time or busy.
constexpr common::milliseconds kLateTick{ 250 };
constexpr common::milliseconds kFlushPeriod{ 200 };
// Period at which requests that wait for a key's owner are placed again.
constexpr common::milliseconds kPlacementRetryPeriod{ 50 };
// Time after SIGTERM within which callers see that the daemon is not ready and use another one.
constexpr common::milliseconds kReadinessNoticeTime{ 2500 };
// The process exits this long before its grace time ends, even with requests in flight.
constexpr common::milliseconds kExitMargin{ 500 };
// A stopping daemon writes bulk responses without pacing in this time before it exits; a link of 13
// Mbit/s needs 1.3 s for all that may wait.
constexpr common::milliseconds kUnpacedExitTime{ 2000 };
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kMetricsPath[] = "/metrics";

using connection::http::caller_limits;
using connection::http::server_exchange_ptr;

} // namespace

// Requests of callers on this VM.
class sidecar::caller_listener : public connection::http::exchange_handler
{
public:
  explicit caller_listener(sidecar& aSidecar)
    : mSidecar(aSidecar)
  {
  }
  caller_limits Limits() const override
  {
    caller_limits limits;
    if (const auto& config = mSidecar.mFleet.Config(); config != nullptr) {
      limits.parse.maxHeaderBytes = config->Callers().maxHeaderBytes;
      limits.parse.maxBodyBytes = config->Callers().maxBodyBytes;
      limits.headerTimeout = config->Callers().headerTimeout;
      limits.idleTimeout = config->Callers().idleTimeout;
    }
    limits.closing = mSidecar.mStopping;
    return limits;
  }
  void OnRequest(const server_exchange_ptr& aExchange) override
  {
    entry_request::Handle(mSidecar.mEntry, aExchange);
  }

private:
  sidecar& mSidecar;
};

// Requests that other daemons forward to the local upstream.
class sidecar::forward_listener : public connection::http::exchange_handler
{
public:
  explicit forward_listener(sidecar& aSidecar)
    : mSidecar(aSidecar)
  {
  }
  caller_limits Limits() const override { return {}; }
  void OnRequest(const server_exchange_ptr& aExchange) override
  {
    forwarded_request::Handle(mSidecar.mRuntime, mSidecar.mGate, aExchange);
  }

private:
  sidecar& mSidecar;
};

// Control messages from other daemons.
class sidecar::control_listener : public connection::http::exchange_handler
{
public:
  explicit control_listener(sidecar& aSidecar)
    : mSidecar(aSidecar)
  {
  }
  caller_limits Limits() const override { return {}; }
  void OnRequest(const server_exchange_ptr& aExchange) override
  {
    ReadBody(mSidecar.mLoop, aExchange,
             [this](const server_exchange_ptr& aWhole) { OnMessage(aWhole); });
  }

private:
  void OnMessage(const server_exchange_ptr& aExchange)
  {
    auto body = common::ParseJson(aExchange->TakeBody());
    const std::string& path = aExchange->Head().target;
    if (!body.has_value()) {
      Respond(aExchange, kNotFound, "{}");
      return;
    }
    common::json response;
    if (path == kPingPath) {
      response = common::json::object();
    } else if (path == kUpdatePath) {
      response = mSidecar.mBroadcast.OnUpdate(body.assume_value());
    } else if (path == kComparePath) {
      response = mSidecar.mGossip.OnCompare(body.assume_value());
    } else if (path == kExchangePath) {
      response = mSidecar.mGossip.OnExchange(body.assume_value());
    } else if (path == kConfigPath) {
      response = mSidecar.mConfig.OnRequest();
    } else if (path == kHandoffNoticePath) {
      response = mSidecar.mKeys.OnHandoffNotice();
    } else if (path == kRenewPath) {
      response = mSidecar.mTakeover.OnRenew(body.assume_value());
    } else if (path == kRevokePath) {
      response = mSidecar.mTakeover.OnRevoke(body.assume_value());
    }
    Respond(aExchange, response.is_null() ? kNotFound : kOk, common::Dump(response));
  }

  sidecar& mSidecar;
};

// Readiness probe and metrics.
class sidecar::readiness_listener : public connection::http::exchange_handler
{
public:
  explicit readiness_listener(sidecar& aSidecar)
    : mSidecar(aSidecar)
  {
  }
  caller_limits Limits() const override { return {}; }
  void OnRequest(const server_exchange_ptr& aExchange) override
  {
    if (aExchange->Head().target == kMetricsPath) {
      Respond(aExchange, kOk, mSidecar.mCounters.Render(), "text/plain; version=0.0.4");
      return;
    }
    Respond(aExchange, mSidecar.Ready() ? kOk : kUnavailable, "{}");
  }

private:
  sidecar& mSidecar;
};

sidecar::sidecar(const sidecar_settings& aSettings, connection::http::event_loop& aLoop,
                 connection::http::client_pool& aPool, const version::config_decoder& aDecoder,
                 const sidecar_ports& aPorts)
  : mSettings(aSettings)
  , mLoop(aLoop)
  , mPorts(aPorts)
  , mBoot(common::MakeUniqueId())
  , mRandom(common::EntropySeed())
  , mFleet(aDecoder)
  , mLog(aSettings.vm, mClock)
  , mBulk(aLoop, aSettings.linkMbps)
  , mRuntime{ mSettings, aLoop, mClock,    mRandom,   aPool, aPorts.headers,
              mFleet,    mLog,  mCounters, mInFlight, &mBulk }
  , mPlacement(mRandom)
  , mGate(mRuntime, mSuspects)
  , mMessenger(mRuntime)
  , mFailureDetector(mRuntime, mMessenger, mPlacement)
  , mBroadcast(mRuntime, mMessenger)
  , mConfig(mRuntime, mMessenger, aPorts.configuration)
  , mGossip(mRuntime, mMessenger, mConfig, mSuspects)
  , mPlatformSync(mRuntime, aPorts.store, mGossip, [this] { mBroadcast.BroadcastMember(mSelf); })
  , mEditor(mRuntime, aPorts.store, mBroadcast)
  , mOwners(mRuntime, mGossip, mEditor, mPlacement)
  , mKeys(mRuntime, aPorts.upstream, mEditor, mMessenger, mGate, mPlacement, mOwners, mBoot)
  , mTakeover(mRuntime, aPorts.store, mEditor, mMessenger, mPlacement, mBoot)
  , mRestorer(mRuntime, mEditor)
  , mRegistry(mRuntime, aPorts.upstream, mGate, mKeys, [this] { PublishMember(); })
  , mEntry{ mRuntime,    mGate,    mPlacement, mFailureDetector, mNotices, mResponseTimes,
            mUsualTimes, mBudgets, mWaiting,   mStopping,        mStopAt,  mClosing }
  , mCallers(std::make_unique<caller_listener>(*this))
  , mForwards(std::make_unique<forward_listener>(*this))
  , mControl(std::make_unique<control_listener>(*this))
  , mReadiness(std::make_unique<readiness_listener>(*this))
  , mTimer(aLoop, [this] { Tick(); })
{
}

sidecar::~sidecar() = default;

common::result<void> sidecar::Start()
{
  // 1. This daemon's member record.
  mFleet.AddObserver(this);
  mPorts.store.SetEraObserver([this](common::store_era aEra) { mFleet.OnEra(aEra); });
  mSelf.vm = mSettings.vm;
  mSelf.boot = mBoot;
  mSelf.zone = mSettings.zone;
  mSelf.forward = mSettings.PublicForwards();
  mSelf.control = mSettings.PublicControl();
  // 2. Listeners.
  auto listening = Listen();
  if (!listening.has_value()) {
    return listening;
  }
  // 3. Sources of the fleet state.
  mConfig.Start();
  mBroadcast.SetGapObserver([this](const common::endpoint& aPeer) { mGossip.Compare(aPeer); });
  PublishMember();
  mPlatformSync.Start(mSelf);
  mGossip.Start();
  // 4. Periodic work.
  AddGauges();
  Tick();
  mLog.Write(line_class::kState, "started", [this] {
    return common::json{ { "boot", mBoot.Str() },
                         { "zone", mSettings.zone.Str() },
                         { "service", mSettings.service.Str() },
                         { "first_start", mSettings.firstStart } };
  });
  return boost::outcome_v2::success();
}

common::result<void> sidecar::Listen()
{
  struct listener_plan
  {
    connection::http::exchange_handler* handler;
    const common::endpoint& address;
  };
  const listener_plan plans[] = { { mCallers.get(), mSettings.listen.callers },
                                  { mForwards.get(), mSettings.listen.forwards },
                                  { mControl.get(), mSettings.listen.control },
                                  { mReadiness.get(), mSettings.listen.readiness },
                                  { mReadiness.get(), mSettings.listen.metrics },
                                  { &mRegistry, mSettings.listen.announcements } };
  for (const listener_plan& plan : plans) {
    if (plan.address.Empty()) {
      continue;
    }
    auto* handler = plan.handler;
    mListeners.push_back(
      std::make_unique<connection::http::tcp_listener>(mLoop, [this, handler](int aFd) {
        connection::http::server_connection::Serve(mLoop, *handler, aFd);
      }));
    auto listening = mListeners.back()->Listen(plan.address);
    if (!listening.has_value()) {
      return listening;
    }
  }
  return boost::outcome_v2::success();
}

void sidecar::AddGauges()
{
  mCounters.AddGauge("bamboograde_upstream_running", [this] { return mGate.Load().running; });
  mCounters.AddGauge("bamboograde_upstream_waiting", [this] { return mGate.Load().waiting; });
  mCounters.AddGauge("bamboograde_upstream_slots", [this] { return mGate.Load().limit; });
  mCounters.AddGauge("bamboograde_upstream_limit_per_second", [this] {
    auto limit = mGate.NamedLimit();
    return limit.has_value() ? limit->PerSecond() : 0;
  });
  mCounters.AddGauge("bamboograde_upstream_slowdown", [this] { return mGate.Slowdown(); });
  mCounters.AddGauge("bamboograde_upstream_cold", [this] { return mGate.Cold() ? 1.0 : 0.0; });
  mCounters.AddGauge("bamboograde_keys_owned", [this] { return double(mKeys.KeyCount()); });
  mCounters.AddGauge("bamboograde_evacuation_requested",
                     [this] { return mFleet.IsEvacuated(mSettings.zone) ? 1.0 : 0.0; });
  mCounters.AddGauge("bamboograde_evacuation_in_force", [this] { return Evacuated() ? 1.0 : 0.0; });
  mCounters.AddGauge("bamboograde_log_lines_left_out",
                     [this] { return double(mLog.DroppedLines()); });
  mCounters.AddGauge("bamboograde_members", [this] { return double(mFleet.RunningMemberCount()); });
  mCounters.AddGauge("bamboograde_config_version", [this] {
    return mFleet.Config() == nullptr ? 0 : double(mFleet.Config()->Version().Value());
  });
  mCounters.AddGauge("bamboograde_config_feed_age_seconds",
                     [this] { return std::chrono::duration<double>(mConfig.FeedAge()).count(); });
  mCounters.AddGauge("bamboograde_config_proof_age_seconds", [this] {
    return std::chrono::duration<double>(mRuntime.Now() - mConfig.ProvenAt()).count();
  });
  mCounters.AddGauge("bamboograde_platform_era",
                     [this] { return double(mFleet.Era().value_or(common::store_era()).Value()); });
  mCounters.AddGauge("bamboograde_bulk_bytes_waiting",
                     [this] { return double(mBulk.WaitingBytes()); });
  mCounters.AddGauge("bamboograde_exceptions", [this] { return double(mLoop.Exceptions()); });
  mCounters.AddGauge("bamboograde_connects", [this] { return double(mRuntime.pool.Connects()); });
}

void sidecar::Tick()
{
  common::boot_time now = mRuntime.Now();
  if (mTickedAt != common::boot_time() && now - mTickedAt > kLateTick) {
    mLog.Write(line_class::kState, "loop_late", [&] {
      auto late = std::chrono::duration_cast<common::microseconds>(now - mTickedAt);
      return common::json{ { "gap_us", late.count() } };
    });
  }
  mTickedAt = now;
  mTimer.Arm(now + kTick);
  mGate.Tick();
  mFailureDetector.Tick();
  mRegistry.Tick();
  mOwners.Tick();
  mKeys.Tick();
  mTakeover.Tick();
  mRestorer.Tick();
  mPlatformSync.Tick();
  if (now >= mPlacementRetryAt && !mWaiting.empty()) {
    mPlacementRetryAt = now + kPlacementRetryPeriod;
    RetryWaitingPlacements();
  }
  if (now >= mFlushAt) {
    mFlushAt = now + kFlushPeriod;
    mLog.Flush();
  }
  if (mGate.Cold() != mSelf.cold) {
    PublishMember();
  }
  if (mStopping) {
    QuitWhenDrained();
  }
}

// Updates this daemon's member record and broadcasts it.
void sidecar::PublishMember()
{
  const version::member* known = mFleet.Members().Find(mSettings.vm);
  auto unixMs = uint64_t(mClock.UnixMs());
  // Greater than in every earlier record, even if the wall clock was set back.
  uint64_t last = std::max(mSelf.sequence, known == nullptr ? 0 : known->sequence);
  mSelf.sequence = std::max(unixMs, last + 1);
  mSelf.service = mRegistry.Current().service;
  mSelf.upstream = mRegistry.Current().id;
  mSelf.startedMs = uint64_t(mRegistry.Current().startedMs);
  mSelf.state = mRegistry.State();
  mSelf.slots = mRegistry.Current().slots;
  mSelf.cold = mGate.Cold();
  mSelf.stopping = mStopping;
  mFleet.ApplyMember(mSelf);
  mBroadcast.BroadcastMember(mSelf);
}

void sidecar::OnMemberChanged(const version::member& aMember)
{
  if (!aMember.stopping) {
    // A new record shows that the daemon is reachable again.
    mPlacement.OnSuccess(aMember.vm);
  }
  if (aMember.vm == mSettings.vm && aMember.boot != mBoot) {
    // The record of an earlier process on this VM has replaced this one's.
    mLoop.Defer([this] { PublishMember(); });
  }
}

void sidecar::OnFirstEra()
{
  mEditor.OnFirstEra();
  mPorts.store.OnEra(*mFleet.Era());
}

void sidecar::OnPlatformReturned(common::store_era aFormer)
{
  mLog.Write(line_class::kState, "platform_returned", [&] {
    return common::json{ { "era", mFleet.Era()->Value() }, { "former", aFormer.Value() } };
  });
  mKeys.OnPlatformReturned(aFormer);
  mPlatformSync.OnPlatformReturned();
  mPorts.store.OnEra(*mFleet.Era());
}

void sidecar::OnEvacuationChanged(const common::zone_name& aZone)
{
  bool active = mFleet.IsEvacuated(aZone);
  mLog.Write(line_class::kState, "evacuation", [&] {
    return common::json{ { "zone", aZone.Str() },
                         { "active", active },
                         { "running", mGate.Running() },
                         { "keys", mKeys.KeyCount() } };
  });
  if (aZone == mSettings.zone) {
    active ? mGate.OnEvacuationStarted(mConfig.ProvenAt()) : mGate.OnEvacuationEnded();
  }
}

// Whether the evacuation of this zone has been carried out here.
bool sidecar::Evacuated() const
{
  return mFleet.IsEvacuated(mSettings.zone) && mGate.Running() == 0 && mKeys.Empty();
}

void sidecar::OnKeyMapChanged(const common::service_name& aService)
{
  if (aService == mGate.Service()) {
    mKeys.OnKeyMapChanged();
  }
  mLoop.Defer([this] { RetryWaitingPlacements(); });
}

void sidecar::RetryWaitingPlacements()
{
  std::vector<boost::intrusive_ptr<entry_request>> waiting;
  for (entry_request* request : mWaiting) {
    waiting.emplace_back(request);
  }
  for (const auto& request : waiting) {
    if (mWaiting.count(request.get()) > 0) {
      request->RetryPlacement();
    }
  }
}

void sidecar::Stop()
{
  if (mStopping) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  mStopping = true;
  mStopAt = now + mSettings.bounds.grace - kExitMargin;
  mIdleSince = now;
  mBulk.UnpaceAllFrom(mStopAt - kUnpacedExitTime);
  mLog.Write(line_class::kState, "stopping", [] { return common::json::object(); });
  // The local upstream is sent requests for half of the grace time; they have the other half to
  // finish.
  mGate.StopAt(now + mSettings.bounds.grace / 2, mStopAt);
  PublishMember();
  mKeys.HandOffAllKeys();
}

void sidecar::QuitWhenDrained()
{
  common::boot_time now = mRuntime.Now();
  // Responses that are in the buffers of the process would be lost with it.
  size_t undelivered = mCallers->UndeliveredConnections() + mForwards->UndeliveredConnections();
  if (mInFlight > 0 || undelivered > 0 || !mKeys.Empty()) {
    mIdleSince = now;
  }
  bool readinessNoticed =
    now >= mStopAt + kExitMargin - mSettings.bounds.grace + kReadinessNoticeTime;
  if (readinessNoticed) {
    // Refusing late callers is better than closing their connections during a request.
    mListeners.front()->CloseAfterAccepting();
    mClosing = true;
  }
  bool idle = now >= mIdleSince + kFlushPeriod;
  if ((readinessNoticed && idle) || now >= mStopAt) {
    mLog.Write(line_class::kState, "stopped", [&] {
      return common::json{ { "in_flight", mInFlight }, { "undelivered", undelivered } };
    });
    mLog.Flush();
    mLoop.Quit();
  }
}

void sidecar::Reload(const sidecar_settings& aSettings)
{
  mSettings.bounds = aSettings.bounds;
  mSettings.seeds = aSettings.seeds;
  mLog.Write(line_class::kState, "reloaded", [] { return common::json::object(); });
}

} // namespace bamboograde::process::sidecar
