#include "process/control/operator_api.h"

#include "common/hash.h"
#include "version/table_codec.h"

#include <algorithm>

namespace bamboograde::process::control {

using common::json;
using connection::http_exchange_ptr;

namespace {

constexpr size_t kScanRows = 200;
constexpr common::milliseconds kDaemonQueryTimeout{ 1000 };
constexpr size_t kOperatorBodyBytes = 16 << 20;
constexpr unsigned kOperatorTimeoutSeconds = 60;

json EncodeFindings(const common::findings& aFindings)
{
  json list = json::array();
  for (const common::finding& item : aFindings.Items()) {
    list.push_back({ { "source", item.source },
                     { "line", item.line },
                     { "column", item.key },
                     { "message", item.message } });
  }
  return list;
}

json EncodeConflicts(const std::vector<version::cell_conflict>& aConflicts)
{
  json list = json::array();
  for (const version::cell_conflict& item : aConflicts) {
    list.push_back({ { "row", item.row.Str() },
                     { "column", item.column },
                     { "base", item.base },
                     { "mine", item.mine },
                     { "theirs", item.theirs } });
  }
  return list;
}

json ErrorBody(const std::string& aMessage)
{
  return { { "error", aMessage } };
}

void RespondEditResult(const http_exchange_ptr& aExchange, const edit_result& aResult)
{
  switch (aResult.status) {
    case edit_status::kAccepted:
      aExchange->RespondJson(200, common::Dump({ { "version", aResult.version.Value() },
                                                 { "merged", aResult.merged } }));
      return;
    case edit_status::kConflict: {
      json body =
        ErrorBody("Another operator changed the same cells. Get the table and edit again.");
      body["version"] = aResult.version.Value();
      body["conflicts"] = EncodeConflicts(aResult.conflicts);
      aExchange->RespondJson(409, common::Dump(body));
      return;
    }
    case edit_status::kInvalid: {
      json body = ErrorBody("The table is not valid; nothing was changed.");
      body["findings"] = EncodeFindings(aResult.found);
      aExchange->RespondJson(422, common::Dump(body));
      return;
    }
    default:
      aExchange->RespondJson(
        503, common::Dump(ErrorBody("The platform can not be reached; nothing was changed.")));
  }
}

} // namespace

operator_api::operator_api(context& aContext, committer& aCommitter, map_gossip& aMap,
                           table_manager& aTable, session_manager& aSessions,
                           upstream_manager& aUpstream)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(aMap)
  , mTable(aTable)
  , mSessions(aSessions)
  , mUpstream(aUpstream)
  , mServer({ kOperatorBodyBytes, kOperatorTimeoutSeconds })
{
}

common::result<void> operator_api::Listen()
{
  Route("GET", "/v1/table", &operator_api::GetTable);
  Route("PUT", "/v1/table", &operator_api::PutTable);
  Route("GET", "/v1/table/history", &operator_api::GetHistory);
  Route("GET", "/v1/owner", &operator_api::GetOwner);
  Route("GET", "/v1/map", &operator_api::GetMap);
  Route("GET", "/v1/status", &operator_api::GetStatus);
  Route("GET", "/v1/counters", &operator_api::GetCounters);
  Route("GET", "/metrics", &operator_api::GetCounters);
  Route("GET", "/v1/explain", &operator_api::GetExplain);
  Route("GET", "/v1/audit", &operator_api::GetAudit);
  Route("POST", "/v1/drain", &operator_api::PostDrain);
  return mServer.Listen(mContext.config.listen.operators, false);
}

void operator_api::Route(const char* aMethod, const char* aPath, handler aHandler)
{
  mRoutes[aPath][aMethod] = aHandler;
  mServer.Handle(aPath, [this, path = std::string(aPath)](const http_exchange_ptr& aExchange) {
    if (aExchange->Header("Authorization") != "Bearer " + mContext.config.operatorKey) {
      aExchange->RespondJson(
        401,
        common::Dump(ErrorBody("An operator key is needed; pass --key-file to bamboogradectl.")));
      return;
    }
    auto found = mRoutes[path].find(aExchange->Method());
    if (found == mRoutes[path].end()) {
      aExchange->RespondJson(405, common::Dump(ErrorBody("This path has no such method.")));
      return;
    }
    (this->*found->second)(aExchange);
  });
}

void operator_api::GetTable(const http_exchange_ptr& aExchange)
{
  if (mTable.Table() == nullptr) {
    aExchange->RespondJson(404, common::Dump(ErrorBody("There is no table yet; set one.")));
    return;
  }
  aExchange->RespondJson(200, common::Dump(version::EncodeTable(*mTable.Table())));
}

void operator_api::PutTable(const http_exchange_ptr& aExchange)
{
  auto body = common::ParseJson(aExchange->TakeBody());
  if (!body.has_value()) {
    aExchange->RespondJson(400, common::Dump(ErrorBody(body.assume_error().message)));
    return;
  }
  const json& value = body.assume_value();
  table_edit edit;
  edit.base = common::table_version(common::GetNumber(value, "base"));
  edit.who = common::GetString(value, "who", "unknown");
  edit_result invalid;
  edit.rows = version::DecodeRows(value.value("rows", json()), "table", &invalid.found);
  if (!invalid.found.Empty()) {
    invalid.status = edit_status::kInvalid;
    RespondEditResult(aExchange, invalid);
    return;
  }
  mTable.Edit(std::move(edit),
              [aExchange](const edit_result& aResult) { RespondEditResult(aExchange, aResult); });
}

void operator_api::RespondWithRows(const http_exchange_ptr& aExchange, const std::string& aPrefix,
                                   const std::string& aAfter)
{
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Scan(
    aPrefix, aAfter, kScanRows, mContext.FromNow(kPlatformTimeout),
    [aExchange](const common::result<std::vector<connection::platform_row>>& aRows) {
      if (!aRows.has_value()) {
        aExchange->RespondJson(503, common::Dump(ErrorBody(aRows.assume_error().message)));
        return;
      }
      json items = json::array();
      for (const connection::platform_row& row : aRows.assume_value()) {
        items.push_back({ { "name", row.name }, { "value", row.value } });
      }
      bool more = items.size() == kScanRows;
      json body = { { "items", std::move(items) }, { "more", more } };
      aExchange->RespondJson(200, common::Dump(body));
    });
}

void operator_api::GetHistory(const http_exchange_ptr& aExchange)
{
  RespondWithRows(aExchange, kTableHistoryPrefix, aExchange->Query("after"));
}

void operator_api::GetAudit(const http_exchange_ptr& aExchange)
{
  std::string after = aExchange->Query("after");
  RespondWithRows(aExchange, "audit/", after);
}

void operator_api::GetOwner(const http_exchange_ptr& aExchange)
{
  common::service_name service(aExchange->Query("service"));
  std::string key = aExchange->Query("key");
  common::key_hash position = common::HashKey(key);
  const version::route* route = mMap.Map()->Find(service, position);
  if (route == nullptr) {
    aExchange->RespondJson(
      404,
      common::Dump(ErrorBody("No session owns this key; check the service's name and status.")));
    return;
  }
  json body = { { "service", service.Str() },
                { "key", key },
                { "position", common::ToHex(position.Value()) },
                { "slice",
                  { common::ToHex(route->range.first.Value()),
                    common::ToHex(route->range.last.Value()) } },
                { "epoch", route->epoch.Value() },
                { "session", route->owner->session.Str() },
                { "zone", route->owner->zone.Str() },
                { "caller", route->owner->caller.Str() } };
  aExchange->RespondJson(200, common::Dump(body));
}

void operator_api::GetMap(const http_exchange_ptr& aExchange)
{
  json sessions = json::array();
  for (const auto& row : mMap.Sessions(common::service_name(aExchange->Query("service")))) {
    sessions.push_back(version::EncodeSession(*row));
  }
  aExchange->RespondJson(200, common::Dump({ { "sessions", std::move(sessions) } }));
}

json operator_api::Summary() const
{
  common::boot_time now = mContext.clock.Now();
  json witnesses = json::array();
  for (const version::witness_ref& witness : mSessions.Witnesses()) {
    witnesses.push_back(witness.control.Str());
  }
  auto row = mSessions.OwnRow();
  return { { "vm", mContext.config.vm },
           { "zone", mContext.config.zone.Str() },
           { "service", mContext.config.service.Str() },
           { "session", mSessions.Session().Str() },
           { "table_version", mTable.Version().Value() },
           { "table_since_unix_ms", mTable.SinceUnixMs() },
           { "lease_remaining_ms",
             std::max<int64_t>(0, common::MillisUntil(mSessions.LeaseEnd(), now)) },
           { "witnesses", std::move(witnesses) },
           { "slices", row == nullptr ? 0 : row->slices.size() },
           { "upstream", mUpstream.Info().address.Str() },
           { "upstream_open", mUpstream.Open() },
           { "platform_reachable", mCommitter.Reachable() } };
}

void operator_api::QueryAllDaemons(const http_exchange_ptr& aExchange, const std::string& aPath,
                                   const json& aBody, const char* aListName)
{
  struct collection
  {
    size_t outstanding = 0;
    json items = json::array();
    json missing = json::array();
  };
  auto collected = std::make_shared<collection>();
  std::map<common::endpoint, version::session_row_ptr> daemons;
  for (const auto& row : mMap.Sessions(common::service_name())) {
    daemons[row->control] = row;
  }
  collected->outstanding = daemons.size();
  auto finishIfDone = [aExchange, collected, name = std::string(aListName)] {
    if (collected->outstanding == 0) {
      json body = { { name, collected->items }, { "missing", collected->missing } };
      aExchange->RespondJson(200, common::Dump(body));
    }
  };
  for (const auto& daemon : daemons) {
    common::endpoint control = daemon.first;
    common::zone_name zone = daemon.second->zone;
    mContext.peers.Call(
      control, aPath, aBody, mContext.FromNow(kDaemonQueryTimeout),
      [=](const connection::peer_reply& aReply) {
        --collected->outstanding;
        if (aReply.ok) {
          collected->items.push_back(aReply.body);
        } else {
          collected->missing.push_back({ { "control", control.Str() }, { "zone", zone.Str() } });
        }
        finishIfDone();
      });
  }
  finishIfDone();
}

void operator_api::GetStatus(const http_exchange_ptr& aExchange)
{
  QueryAllDaemons(aExchange, "/summary", json::object(), "daemons");
}

void operator_api::GetExplain(const http_exchange_ptr& aExchange)
{
  QueryAllDaemons(aExchange, "/stories", { { "request", aExchange->Query("request") } }, "daemons");
}

void operator_api::GetCounters(const http_exchange_ptr& aExchange)
{
  aExchange->Respond({ 200, { { "Content-Type", "text/plain" } }, mContext.metrics.Format() });
}

void operator_api::PostDrain(const http_exchange_ptr& aExchange)
{
  aExchange->RespondJson(202, common::Dump({ { "draining", true } }));
  mDrainAction();
}

void operator_api::CollectTraces(const common::request_id& aRequest,
                                 std::function<void(json)> aCallback)
{
  uint64_t id = mNextQuery++;
  trace_collection& collection = mTraceCollections[id];
  collection.outstanding = mContext.boxes.workers.size() + 1;
  collection.callback = std::move(aCallback);
  trace_query query{ id, aRequest };
  mContext.boxes.gate.Send(query);
  mContext.boxes.SendToWorkers(query);
}

void operator_api::OnQueryReply(trace_reply aReply)
{
  auto found = mTraceCollections.find(aReply.id);
  if (found == mTraceCollections.end()) {
    return;
  }
  trace_collection& collection = found->second;
  for (json& item : aReply.value) {
    item["vm"] = mContext.config.vm;
    collection.traces.push_back(std::move(item));
  }
  if (--collection.outstanding == 0) {
    auto callback = std::move(collection.callback);
    json traces = std::move(collection.traces);
    mTraceCollections.erase(found);
    callback(std::move(traces));
  }
}

} // namespace bamboograde::process::control
