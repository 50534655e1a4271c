#include "process/control/control_task.h"

#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

using common::json;
using connection::http_exchange_ptr;

namespace {

constexpr common::milliseconds kTickPeriod{ 20 };
constexpr common::milliseconds kRefreshPeriod{ 1000 };
// Full reload of the table and the session rows, in case gossip missed a change.
constexpr common::milliseconds kReloadPeriod{ 10000 };
constexpr common::milliseconds kLoadRetryDelay{ 500 };
// Up to this number of other daemons, each is a neighbour of every other.
constexpr size_t kMaxFullMeshSize = 16;
constexpr size_t kRandomNeighbours = 2;
constexpr size_t kControlBodyBytes = 64 << 20;
constexpr unsigned kControlTimeoutSeconds = 60;
// Lets callers with persistent connections receive a response with "Connection: close" before the
// sockets are closed.
constexpr common::milliseconds kShutdownLinger{ 300 };
// Connections of a crashed upstream break at once; calls still open after this time belong to a
// hung upstream and are aborted.
constexpr common::milliseconds kCrashAbortDelay{ 100 };

} // namespace

control_task::components::components(control_task& aOwner)
  : platform(aOwner.mClock, aOwner.mSettings.platform, aOwner.mSettings.vm)
  , peers(aOwner.mClock, aOwner.mSettings.peerKey)
  , shared{ aOwner.mSettings,
            aOwner.mClock,
            aOwner.mRandom,
            platform,
            peers,
            aOwner.mMailboxes,
            aOwner.mCounters,
            common::boot_id(common::MakeUniqueId()) }
  , commits(shared)
  , map(shared, commits)
  , table(shared, commits)
  , sessions(shared, commits, map, table)
  , takeovers(shared, commits, map, sessions)
  , moves(shared, commits, map, sessions)
  , limits(shared, map, table, sessions)
  , upstream(shared)
  , operators(shared, commits, map, table, sessions, upstream)
  , controlServer({ kControlBodyBytes, kControlTimeoutSeconds })
  , upstreamServer({ kControlBodyBytes, kControlTimeoutSeconds })
{
}

control_task::control_task(const settings& aSettings, const common::clock_source& aClock,
                           mailboxes& aMailboxes, counters& aCounters)
  : mSettings(aSettings)
  , mClock(aClock)
  , mMailboxes(aMailboxes)
  , mCounters(aCounters)
  , mTask("control")
  , mRandom(common::EntropySeed())
{
}

common::result<void> control_task::Start(std::function<void()> aOnStopped)
{
  mOnStopped = std::move(aOnStopped);
  common::result<void> outcome = boost::outcome_v2::success();
  mTask.Start([&] { outcome = SetUp(); }, [this] { TearDown(); });
  return outcome;
}

common::result<void> control_task::SetUp()
{
  mComponents = std::make_unique<components>(*this);
  ConnectObservers();
  RoutePeers();
  RouteUpstream();
  common::result<void> listening =
    mComponents->controlServer.Listen(mSettings.listen.control, false);
  if (listening.has_value()) {
    listening = mComponents->upstreamServer.Listen(mSettings.listen.upstream, false);
  }
  if (listening.has_value()) {
    listening = mComponents->operators.Listen();
  }
  if (!listening.has_value()) {
    return listening;
  }
  mMailboxes.control.Attach(mTask.Context(),
                            [this](control_message&& aMessage) { OnMessage(std::move(aMessage)); });
  mComponents->tick.StartRepeating(kTickPeriod, [this] { OnTick(); });
  LoadFromPlatform();
  return boost::outcome_v2::success();
}

void control_task::TearDown()
{
  mMailboxes.control.Detach();
  mComponents.reset();
}

void control_task::ConnectObservers()
{
  mComponents->map.SetObserver([this] { mComponents->sessions.OnMapChanged(); });
  mComponents->map.SetPublisher([this] { PublishRouting(); });
  mComponents->table.SetObserver([this] { PublishRouting(); });
  mComponents->sessions.SetSessionObserver([this] { PublishRouting(); });
  mComponents->sessions.SetLeaseObserver([this](common::boot_time aEnd) {
    mComponents->upstream.Grant(mComponents->sessions.Session(), aEnd);
  });
  mComponents->operators.SetDrainAction([this] { OnUpstreamLeave(); });
}

void control_task::PublishRouting()
{
  mMailboxes.SendToWorkers(set_routing{ mComponents->map.Map(), mComponents->table.Table(),
                                        mComponents->sessions.Session() });
}

void control_task::LoadFromPlatform()
{
  mComponents->table.LoadFromPlatform([this](bool aTableLoaded) {
    mComponents->map.LoadFromPlatform([this, aTableLoaded](bool aMapLoaded) {
      mLoaded = mLoaded || (aTableLoaded && aMapLoaded);
      auto jitter = common::milliseconds(int64_t(mRandom.Below(uint64_t(kLoadRetryDelay.count()))));
      bool settled = mLoaded && mComponents->table.Table() != nullptr &&
                     !mComponents->sessions.Session().Empty();
      mNextReload = mComponents->shared.FromNow(settled ? kReloadPeriod + jitter * 4
                                                        : kLoadRetryDelay + jitter);
    });
  });
}

// Peers and upstream -----------------------------------------------------------------------------

void control_task::RoutePeer(const char* aPath, json_handler aHandler)
{
  mComponents->controlServer.Handle(
    aPath, [this, handler = std::move(aHandler)](const http_exchange_ptr& aExchange) {
      if (aExchange->Header(connection::kPeerKeyHeader) != mSettings.peerKey) {
        aExchange->RespondJson(401, R"({"error":"The peer key is missing or wrong."})");
        return;
      }
      auto body = common::ParseJson(aExchange->TakeBody());
      if (!body.has_value()) {
        aExchange->RespondJson(400, R"({"error":"The body is not JSON."})");
        return;
      }
      aExchange->RespondJson(200, common::Dump(handler(body.assume_value())));
    });
}

void control_task::RoutePeers()
{
  components& all = *mComponents;
  RoutePeer("/lease/renew", [&](const json& aBody) { return all.sessions.HandleRenew(aBody); });
  RoutePeer("/lease/revoke", [&](const json& aBody) { return all.sessions.HandleRevoke(aBody); });
  RoutePeer("/lease/release", [&](const json& aBody) { return all.sessions.HandleRelease(aBody); });
  RoutePeer("/map/push", [&](const json& aBody) { return all.map.HandlePush(aBody); });
  RoutePeer("/map/sync", [&](const json& aBody) { return all.map.HandleSync(aBody); });
  RoutePeer("/table/push", [&](const json& aBody) { return all.table.HandlePush(aBody); });
  RoutePeer("/table/get", [&](const json&) { return all.table.HandleGet(); });
  RoutePeer("/move/prepare", [&](const json& aBody) { return all.moves.HandlePrepare(aBody); });
  RoutePeer(kLimitReportPath, [&](const json& aBody) { return all.limits.HandleReport(aBody); });
  RoutePeer(kLimitPromptPath, [&](const json& aBody) { return all.limits.HandlePrompt(aBody); });
  RoutePeer("/summary", [&](const json&) { return all.operators.Summary(); });
  RoutePeer("/suspects", [&](const json& aBody) {
    mMailboxes.gate.Send(import_suspects{ aBody.value("suspects", json()) });
    return json::object();
  });
  RoutePeer("/alive", [&](const json& aBody) {
    bool same = all.sessions.Session().Str() == common::GetString(aBody, "session");
    auto row = all.sessions.OwnRow();
    json reply = { { "accepting", same && row != nullptr && all.sessions.Accepting() },
                   { "holds", same && mClock.Now() < all.sessions.LeaseEnd() } };
    if (row != nullptr) {
      reply["row"] = version::EncodeSession(*row);
      reply["version"] = all.sessions.OwnRowVersion().Value();
    }
    return reply;
  });
  mComponents->controlServer.Handle("/stories", [this](const http_exchange_ptr& aExchange) {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (aExchange->Header(connection::kPeerKeyHeader) != mSettings.peerKey || !body.has_value()) {
      aExchange->RespondJson(401, R"({"error":"The peer key is missing or wrong."})");
      return;
    }
    common::request_id request(common::GetString(body.assume_value(), "request"));
    mComponents->operators.CollectTraces(request, [aExchange](const json& aTraces) {
      aExchange->RespondJson(200, common::Dump({ { "stories", aTraces } }));
    });
  });
}

void control_task::RouteUpstream()
{
  mComponents->upstreamServer.Handle("/announce", [this](const http_exchange_ptr& aExchange) {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (mLeaving || mStopping) {
      aExchange->RespondJson(503, R"({"error":"The daemon is handing its slices over."})");
      return;
    }
    if (!body.has_value() || !mComponents->upstream.HandleAnnounce(body.assume_value())) {
      aExchange->RespondJson(400, R"({"error":"Give address as IP:PORT and slots above 0."})");
      return;
    }
    json reply = { { "session", mComponents->sessions.Session().Str() } };
    aExchange->RespondJson(200, common::Dump(reply));
  });
  mComponents->upstreamServer.Handle("/leave", [this](const http_exchange_ptr& aExchange) {
    aExchange->RespondJson(202, R"({"leaving":true})");
    OnUpstreamLeave();
  });
}

// Periodic work ----------------------------------------------------------------------------------

void control_task::OnTick()
{
  common::boot_time now = mClock.Now();
  if (now >= mNextReload) {
    mNextReload = now + kReloadPeriod;
    LoadFromPlatform();
  }
  if (mLoaded && mComponents->upstream.Open() && !mStopping && !mLeaving) {
    mComponents->sessions.Join();
  }
  mComponents->sessions.Tick();
  mComponents->takeovers.Tick();
  if (now >= mNextRefresh) {
    mNextRefresh = now + kRefreshPeriod;
    RefreshNeighbours();
    Rebalance();
    mCounters.Get("peer_bytes_sent_total") = mComponents->peers.BytesSent();
    mCounters.Get("peer_bytes_received_total") = mComponents->peers.BytesReceived();
  }
}

void control_task::RefreshNeighbours()
{
  const auto& self = mSettings.listen.control;
  std::set<common::endpoint> all;
  std::set<common::endpoint> chosen;
  for (const auto& row : mComponents->map.Sessions(common::service_name())) {
    if (row->control == self) {
      continue;
    }
    all.insert(row->control);
    for (const version::witness_ref& witness : row->witnesses) {
      if (witness.control == self) {
        chosen.insert(row->control);
      }
    }
  }
  for (const version::witness_ref& witness : mComponents->sessions.Witnesses()) {
    if (witness.control != self) {
      chosen.insert(witness.control);
    }
  }
  if (all.size() <= kMaxFullMeshSize) {
    chosen = all;
  } else {
    for (size_t i = 0; i < kRandomNeighbours; ++i) {
      chosen.insert(*std::next(all.begin(), long(mRandom.Below(all.size()))));
    }
  }
  std::vector<common::endpoint> list(chosen.begin(), chosen.end());
  mComponents->map.SetNeighbours(list);
  mComponents->table.SetNeighbours(list);
}

void control_task::Rebalance()
{
  auto own = mComponents->sessions.OwnRow();
  if (!mComponents->sessions.Accepting() || own == nullptr || mComponents->moves.Busy()) {
    return;
  }
  version::session_row_ptr smallest;
  size_t total = 0;
  size_t count = 0;
  for (const auto& row : mComponents->map.Sessions(mSettings.service)) {
    if (row->draining) {
      continue;
    }
    total += row->slices.size();
    ++count;
    if (smallest == nullptr || row->slices.size() < smallest->slices.size()) {
      smallest = row;
    }
  }
  size_t mean = total / std::max<size_t>(1, count);
  if (smallest == nullptr || own->slices.size() <= mean + 1 || smallest->slices.size() >= mean) {
    return;
  }
  size_t moved = std::min(own->slices.size() - mean, mean - smallest->slices.size());
  std::vector<version::owned_slice> slices(own->slices.end() - long(moved), own->slices.end());
  mComponents->moves.Move(std::move(slices), smallest, "balance", [](bool) {});
}

// Messages ---------------------------------------------------------------------------------------

void control_task::OnMessage(control_message&& aMessage)
{
  std::visit([this](auto&& aItem) { Handle(std::forward<decltype(aItem)>(aItem)); },
             std::move(aMessage));
}

void control_task::Handle(slices_drained&& aMessage)
{
  mComponents->moves.OnDrained(aMessage);
}

void control_task::Handle(limit_demand&& aMessage)
{
  mComponents->limits.OnDemandReport(aMessage);
}

void control_task::Handle(trace_reply&& aMessage)
{
  mComponents->operators.OnQueryReply(std::move(aMessage));
}

void control_task::Handle(upstream_lost&& aMessage)
{
  spdlog::warn("upstream {} is lost: {}", mComponents->upstream.Info().address.Str(),
               aMessage.cause);
  mCounters.Get("upstream_losses_total")++;
  mComponents->upstream.Close();
  // Suspects are requests that were in flight at a crash. They are sent to all sessions before the
  // slices move, so that the possible new owners know of them before they run any.
  for (const auto& row : mComponents->map.Sessions(mSettings.service)) {
    mComponents->peers.Call(row->control, "/suspects", { { "suspects", aMessage.suspects } },
                            mComponents->shared.FromNow(kPeerTimeout),
                            [](const connection::peer_reply&) {});
  }
  mComponents->delayTimer.StartOnce(kCrashAbortDelay,
                                    [this] { mMailboxes.SendToWorkers(abort_upstream_calls{}); });
  // A hung upstream may resume: no other daemon may serve the keys of this upstream before the last
  // grant that was sent to it has ended.
  Leave("upstream lost: " + aMessage.cause, mComponents->upstream.GrantEnd(), [] {});
}

void control_task::OnUpstreamLeave()
{
  mComponents->upstream.Close();
  Leave("upstream leaves", common::boot_time(), [] {});
}

void control_task::Leave(const std::string& aCause, common::boot_time aEarliestCommit,
                         std::function<void()> aCallback)
{
  bool hasSession = mComponents->sessions.Phase() == session_phase::kActive;
  if (mLeaving || !hasSession) {
    aCallback();
    return;
  }
  mLeaving = true;
  mComponents->moves.MoveAllAndRelease(aCause, aEarliestCommit,
                                       [this, callback = std::move(aCallback)] {
                                         mLeaving = false;
                                         callback();
                                       });
}

void control_task::Handle(stop_requested&&)
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  spdlog::info("stopping {}: handing its slices over", mSettings.vm);
  Leave("planned stop", common::boot_time(), [this] { DrainWorkers(); });
}

void control_task::DrainWorkers()
{
  mBusyWorkers = mMailboxes.workers.size();
  mMailboxes.SendToWorkers(drain_worker{});
}

void control_task::Handle(worker_idle&&)
{
  // A worker may report more than once; the linger timer starts when as many reports have arrived
  // as there are workers.
  if (mBusyWorkers > 0 && --mBusyWorkers == 0) {
    mComponents->delayTimer.StartOnce(kShutdownLinger, [this] { mOnStopped(); });
  }
}

} // namespace bamboograde::process::control
