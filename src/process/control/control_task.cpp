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
// Backstop for changes that did not come from neighbours.
constexpr common::milliseconds kReloadPeriod{ 10000 };
constexpr common::milliseconds kLoadRetry{ 500 };
// In a small site every daemon is a neighbour of every other.
constexpr size_t kAllAreNeighbours = 16;
constexpr size_t kExtraNeighbours = 2;
constexpr size_t kControlBodyBytes = 64 << 20;
constexpr unsigned kControlTimeoutSeconds = 60;
// Callers with kept connections see "Connection: close" on an answer before the sockets go.
constexpr common::milliseconds kLinger{ 300 };
// A crashed upstream's connections break at once; what is still open then belongs to a frozen one.
constexpr common::milliseconds kCrashGrace{ 100 };

} // namespace

control_task::parts::parts(control_task& aOwner)
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
  mParts = std::make_unique<parts>(*this);
  Connect();
  RoutePeers();
  RouteUpstream();
  common::result<void> listening = mParts->controlServer.Listen(mSettings.listen.control, false);
  if (listening.has_value()) {
    listening = mParts->upstreamServer.Listen(mSettings.listen.upstream, false);
  }
  if (listening.has_value()) {
    listening = mParts->operators.Listen();
  }
  if (!listening.has_value()) {
    return listening;
  }
  mMailboxes.control.Attach(mTask.Context(),
                            [this](control_message&& aMessage) { OnMessage(std::move(aMessage)); });
  mParts->tick.StartRepeating(kTickPeriod, [this] { OnTick(); });
  LoadFromPlatform();
  return boost::outcome_v2::success();
}

void control_task::TearDown()
{
  mMailboxes.control.Detach();
  mParts.reset();
}

void control_task::Connect()
{
  mParts->map.SetObserver([this] { mParts->sessions.OnMapChanged(); });
  mParts->map.SetPublisher([this] { PublishRouting(); });
  mParts->table.SetObserver([this] { PublishRouting(); });
  mParts->sessions.SetSessionObserver([this] { PublishRouting(); });
  mParts->sessions.SetLeaseObserver(
    [this](common::boot_time aEnd) { mParts->upstream.Grant(mParts->sessions.Session(), aEnd); });
  mParts->operators.SetDrainAction([this] { OnUpstreamLeaves(); });
}

void control_task::PublishRouting()
{
  mMailboxes.SendToWorkers(
    set_routing{ mParts->map.Map(), mParts->table.Table(), mParts->sessions.Session() });
}

void control_task::LoadFromPlatform()
{
  mParts->table.LoadFromPlatform([this](bool aTableLoaded) {
    mParts->map.LoadFromPlatform([this, aTableLoaded](bool aMapLoaded) {
      mLoaded = mLoaded || (aTableLoaded && aMapLoaded);
      auto jitter = common::milliseconds(int64_t(mRandom.Below(uint64_t(kLoadRetry.count()))));
      bool settled =
        mLoaded && mParts->table.Table() != nullptr && !mParts->sessions.Session().Empty();
      mReloadAt = mParts->shared.In(settled ? kReloadPeriod + jitter * 4 : kLoadRetry + jitter);
    });
  });
}

// Peers and upstream -----------------------------------------------------------------------------

void control_task::RoutePeer(const char* aPath, json_handler aHandler)
{
  mParts->controlServer.Handle(
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
  parts& all = *mParts;
  RoutePeer("/lease/renew", [&](const json& aBody) { return all.sessions.HandleRenew(aBody); });
  RoutePeer("/lease/revoke", [&](const json& aBody) { return all.sessions.HandleRevoke(aBody); });
  RoutePeer("/lease/release", [&](const json& aBody) { return all.sessions.HandleRelease(aBody); });
  RoutePeer("/map/push", [&](const json& aBody) { return all.map.HandlePush(aBody); });
  RoutePeer("/map/sync", [&](const json& aBody) { return all.map.HandleSync(aBody); });
  RoutePeer("/table/push", [&](const json& aBody) { return all.table.HandlePush(aBody); });
  RoutePeer("/table/get", [&](const json&) { return all.table.HandleGet(); });
  RoutePeer("/move/prepare", [&](const json& aBody) { return all.moves.HandlePrepare(aBody); });
  RoutePeer(kReportPath, [&](const json& aBody) { return all.limits.HandleReport(aBody); });
  RoutePeer(kPromptPath, [&](const json& aBody) { return all.limits.HandlePrompt(aBody); });
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
  mParts->controlServer.Handle("/stories", [this](const http_exchange_ptr& aExchange) {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (aExchange->Header(connection::kPeerKeyHeader) != mSettings.peerKey || !body.has_value()) {
      aExchange->RespondJson(401, R"({"error":"The peer key is missing or wrong."})");
      return;
    }
    common::request_id request(common::GetString(body.assume_value(), "request"));
    mParts->operators.CollectStories(request, [aExchange](const json& aStories) {
      aExchange->RespondJson(200, common::Dump({ { "stories", aStories } }));
    });
  });
}

void control_task::RouteUpstream()
{
  mParts->upstreamServer.Handle("/announce", [this](const http_exchange_ptr& aExchange) {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (mLeaving || mStopping) {
      aExchange->RespondJson(503, R"({"error":"The daemon is handing its slices over."})");
      return;
    }
    if (!body.has_value() || !mParts->upstream.HandleAnnounce(body.assume_value())) {
      aExchange->RespondJson(400, R"({"error":"Give address as IP:PORT and slots above 0."})");
      return;
    }
    json reply = { { "session", mParts->sessions.Session().Str() } };
    aExchange->RespondJson(200, common::Dump(reply));
  });
  mParts->upstreamServer.Handle("/leave", [this](const http_exchange_ptr& aExchange) {
    aExchange->RespondJson(202, R"({"leaving":true})");
    OnUpstreamLeaves();
  });
}

// Periodic work ----------------------------------------------------------------------------------

void control_task::OnTick()
{
  common::boot_time now = mClock.Now();
  if (now >= mReloadAt) {
    mReloadAt = now + kReloadPeriod;
    LoadFromPlatform();
  }
  if (mLoaded && mParts->upstream.Open() && !mStopping && !mLeaving) {
    mParts->sessions.Join();
  }
  mParts->sessions.Tick();
  mParts->takeovers.Tick();
  if (now >= mRefreshAt) {
    mRefreshAt = now + kRefreshPeriod;
    RefreshNeighbours();
    Rebalance();
    mCounters.Get("peer_bytes_sent_total") = mParts->peers.BytesSent();
    mCounters.Get("peer_bytes_received_total") = mParts->peers.BytesReceived();
  }
}

void control_task::RefreshNeighbours()
{
  const auto& self = mSettings.listen.control;
  std::set<common::endpoint> all;
  std::set<common::endpoint> chosen;
  for (const auto& row : mParts->map.Sessions(common::service_name())) {
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
  for (const version::witness_ref& witness : mParts->sessions.Witnesses()) {
    if (witness.control != self) {
      chosen.insert(witness.control);
    }
  }
  if (all.size() <= kAllAreNeighbours) {
    chosen = all;
  } else {
    for (size_t i = 0; i < kExtraNeighbours; ++i) {
      chosen.insert(*std::next(all.begin(), long(mRandom.Below(all.size()))));
    }
  }
  std::vector<common::endpoint> list(chosen.begin(), chosen.end());
  mParts->map.SetNeighbours(list);
  mParts->table.SetNeighbours(list);
}

void control_task::Rebalance()
{
  auto own = mParts->sessions.OwnRow();
  if (!mParts->sessions.Accepting() || own == nullptr || mParts->moves.Busy()) {
    return;
  }
  version::session_row_ptr least;
  size_t total = 0;
  size_t count = 0;
  for (const auto& row : mParts->map.Sessions(mSettings.service)) {
    if (row->draining) {
      continue;
    }
    total += row->slices.size();
    ++count;
    if (least == nullptr || row->slices.size() < least->slices.size()) {
      least = row;
    }
  }
  size_t mean = total / std::max<size_t>(1, count);
  if (least == nullptr || own->slices.size() <= mean + 1 || least->slices.size() >= mean) {
    return;
  }
  size_t moved = std::min(own->slices.size() - mean, mean - least->slices.size());
  std::vector<version::owned_slice> slices(own->slices.end() - long(moved), own->slices.end());
  mParts->moves.Move(std::move(slices), least, "balance", [](bool) {});
}

// Messages ---------------------------------------------------------------------------------------

void control_task::OnMessage(control_message&& aMessage)
{
  std::visit([this](auto&& aItem) { Handle(std::forward<decltype(aItem)>(aItem)); },
             std::move(aMessage));
}

void control_task::Handle(slices_drained&& aMessage)
{
  mParts->moves.OnDrained(aMessage);
}

void control_task::Handle(limit_demand&& aMessage)
{
  mParts->limits.OnDemand(aMessage);
}

void control_task::Handle(query_reply&& aMessage)
{
  mParts->operators.OnQueryReply(std::move(aMessage));
}

void control_task::Handle(upstream_lost&& aMessage)
{
  spdlog::warn("upstream {} is lost: {}", mParts->upstream.Info().address.Str(), aMessage.cause);
  mCounters.Get("upstream_losses_total")++;
  mParts->upstream.Close();
  // Suspects travel ahead of the slices, to everyone who may run the same request next.
  for (const auto& row : mParts->map.Sessions(mSettings.service)) {
    mParts->peers.Call(row->control, "/suspects", { { "suspects", aMessage.suspects } },
                       mParts->shared.In(kPeerTimeout), [](const connection::peer_reply&) {});
  }
  mParts->retry.StartOnce(kCrashGrace,
                          [this] { mMailboxes.SendToWorkers(abort_upstream_calls{}); });
  // A frozen upstream may wake up and go on: nobody else serves its keys before its grant has
  // ended.
  Leave("upstream lost: " + aMessage.cause, mParts->upstream.GrantEnd(), [] {});
}

void control_task::OnUpstreamLeaves()
{
  mParts->upstream.Close();
  Leave("upstream leaves", common::boot_time(), [] {});
}

void control_task::Leave(const std::string& aCause, common::boot_time aNotBefore,
                         std::function<void()> aCallback)
{
  bool hasSession = mParts->sessions.Phase() == session_phase::kActive;
  if (mLeaving || !hasSession) {
    aCallback();
    return;
  }
  mLeaving = true;
  mParts->moves.MoveAllAndRelease(aCause, aNotBefore, [this, callback = std::move(aCallback)] {
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
  spdlog::info("stopping: handing {} over", mSettings.vm);
  Leave("planned stop", common::boot_time(), [this] { DrainWorkers(); });
}

void control_task::DrainWorkers()
{
  mBusyWorkers = mMailboxes.workers.size();
  mMailboxes.SendToWorkers(drain_worker{});
}

void control_task::Handle(worker_idle&&)
{
  // Workers report every time they become idle; the linger starts with the last one's first report.
  if (mBusyWorkers > 0 && --mBusyWorkers == 0) {
    mParts->retry.StartOnce(kLinger, [this] { mOnStopped(); });
  }
}

} // namespace bamboograde::process::control
