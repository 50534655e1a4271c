// The operators' interface to a daemon: JSON over HTTP on a separate listener.
#pragma once

#include "connection/http_server.h"
#include "process/control/session_manager.h"
#include "process/control/upstream_manager.h"

namespace bamboograde::process::control {

class operator_api
{
public:
  operator_api(context& aContext, committer& aCommitter, map_gossip& aMap, table_manager& aTable,
               session_manager& aSessions, upstream_manager& aUpstream);

  void SetDrainAction(std::function<void()> aAction) { mDrainAction = std::move(aAction); }
  common::result<void> Listen();
  // State of this daemon. Other daemons request it too, to answer their operators.
  common::json Summary() const;
  // Collects the request traces that the tasks of this daemon have recorded for a request.
  void CollectTraces(const common::request_id& aRequest,
                     std::function<void(common::json)> aCallback);
  void OnQueryReply(trace_reply aReply);

private:
  using handler = void (operator_api::*)(const connection::http_exchange_ptr&);
  void Route(const char* aMethod, const char* aPath, handler aHandler);

  void GetTable(const connection::http_exchange_ptr& aExchange);
  void PutTable(const connection::http_exchange_ptr& aExchange);
  void GetHistory(const connection::http_exchange_ptr& aExchange);
  void GetOwner(const connection::http_exchange_ptr& aExchange);
  void GetMap(const connection::http_exchange_ptr& aExchange);
  void GetStatus(const connection::http_exchange_ptr& aExchange);
  void GetCounters(const connection::http_exchange_ptr& aExchange);
  void GetExplain(const connection::http_exchange_ptr& aExchange);
  void GetAudit(const connection::http_exchange_ptr& aExchange);
  void PostDrain(const connection::http_exchange_ptr& aExchange);
  void RespondWithRows(const connection::http_exchange_ptr& aExchange, const std::string& aPrefix,
                       const std::string& aAfter);
  // Sends the body to every daemon in the map, including this one, and responds with the list of
  // their replies under aListName and the list of daemons that did not reply.
  void QueryAllDaemons(const connection::http_exchange_ptr& aExchange, const std::string& aPath,
                       const common::json& aBody, const char* aListName);

  struct trace_collection
  {
    size_t outstanding = 0;
    common::json traces = common::json::array();
    std::function<void(common::json)> callback;
  };

  context& mContext;
  committer& mCommitter;
  map_gossip& mMap;
  table_manager& mTable;
  session_manager& mSessions;
  upstream_manager& mUpstream;
  connection::http_server mServer;
  std::map<std::string, std::map<std::string, handler>> mRoutes;
  std::function<void()> mDrainAction;
  uint64_t mNextQuery = 1;
  std::map<uint64_t, trace_collection> mTraceCollections;
};

} // namespace bamboograde::process::control
