// A worker task: accepts requests from callers (entry role) and forwarded requests from other
// daemons (owner role), on sockets of its own. As entry daemon it sends each request to the owner
// of its key; as owner it submits requests to the gate and sends those that the gate dispatches to
// the upstream.
#pragma once

#include "common/random.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/timer.h"
#include "process/counters.h"
#include "process/messages.h"
#include "process/settings.h"
#include "process/task.h"
#include "request/caller_request.h"
#include "request/forward_plan.h"
#include "request/retry_budget.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace bamboograde::process {

// A request that the worker has not responded to yet.
struct pending_request
  : public boost::intrusive_ref_counter<pending_request, boost::thread_unsafe_counter>
{
  request::request_token token;
  connection::http_exchange_ptr exchange;
  request::caller_request parsed;
  // An entry daemon forwarded the request; refusals go back to that daemon.
  bool forwarded = false;
  // Asks for an idempotency ticket instead of being sent to the upstream.
  bool isTicketRequest = false;
  common::boot_time receivedAt;
  // Owner role: the upstream that the request was sent to; empty before that.
  common::endpoint upstream;
  connection::http_response response;
  // The call to the upstream or to the owner's daemon in progress; null when there is none.
  connection::http_call_ptr call;
  // Entry role: the state and the target of the last attempt.
  request::forward_state forward{ 0, true, false };
  common::attempt_id attempt;
  common::session_id targetSession;
  common::endpoint targetPeer;
  common::boot_time sentAt;
  // If there is no response by then, the owner is queried for the state of the attempt.
  common::boot_time silenceDeadline;
  // A query to the owner for the state of the attempt is in progress.
  bool resolving = false;
  // The caller closed its connection.
  bool disconnected = false;
  // The request waits for a newer routing map until this time; zero when it does not wait.
  common::boot_time mapWaitDeadline;
};

using pending_request_ptr = boost::intrusive_ptr<pending_request>;

class worker_task
{
public:
  worker_task(size_t aIndex, const settings& aSettings, const common::clock_source& aClock,
              mailboxes& aMailboxes, counters& aCounters);
  // Starts the thread and listens; the error names the address that can not be listened on.
  common::result<void> Start();
  void Stop() { mTask.Stop(); }

private:
  common::result<void> SetUp();
  void TearDown();

  // Requests received from callers and other daemons.
  void OnCallerRequest(connection::http_exchange_ptr aExchange);
  void OnForwardedRequest(connection::http_exchange_ptr aExchange);
  void OnResolveRequest(connection::http_exchange_ptr aExchange);
  bool CheckPeerKey(connection::http_exchange& aExchange);
  pending_request_ptr AddRequest(connection::http_exchange_ptr aExchange);
  void OnDisconnect(const pending_request_ptr& aRequest);

  // Entry role.
  void Route(const pending_request_ptr& aRequest);
  void SendToOwner(const pending_request_ptr& aRequest, const version::route& aRoute);
  void OnForwardResult(const pending_request_ptr& aRequest, const common::attempt_id& aAttempt,
                       connection::http_result aResult);
  void ResolveAttempt(const pending_request_ptr& aRequest);
  void OnResolveResult(const pending_request_ptr& aRequest, const common::attempt_id& aAttempt,
                       const connection::http_result& aResult);
  void ApplyDecision(const pending_request_ptr& aRequest, request::forward_decision aDecision);
  void WaitForMap(const pending_request_ptr& aRequest);
  void CheckMapWaits();
  void CheckForwards();
  // True when the routing map names another owner than the one that the request was sent to, and
  // the former owner's response is overdue.
  bool SentToFormerOwner(const pending_request& aRequest, common::boot_time aNow) const;
  void CancelForward(const pending_request_ptr& aRequest);

  // Owner role.
  void SubmitToGate(const pending_request_ptr& aRequest);
  void SendToUpstream(const pending_request_ptr& aRequest,
                      const request::dispatch_event& aDispatch);
  void OnUpstreamResult(const pending_request_ptr& aRequest, connection::http_result aResult);

  // Responses to callers and entry daemons.
  request::request_trace MakeEntryTrace(const pending_request& aRequest) const;
  void Refuse(const pending_request_ptr& aRequest, request::refusal aRefusal);
  void RefuseWith(const pending_request_ptr& aRequest, request::refusal_reason aReason,
                  const std::string& aDetail);
  void Respond(const pending_request_ptr& aRequest, connection::http_response aResponse,
               const char* aOutcome);
  void RemoveRequest(const pending_request_ptr& aRequest);

  void OnMessage(worker_message&& aMessage);
  void Handle(request::dispatch_event&& aMessage);
  void Handle(request::refuse_event&& aMessage);
  void Handle(request::replay_event&& aMessage);
  void Handle(request::deliver_event&& aMessage);
  void Handle(ticket_issued&& aMessage);
  void Handle(attempt_resolved&& aMessage);
  void Handle(set_routing&& aMessage);
  void Handle(set_upstream&& aMessage);
  void Handle(abort_upstream_calls&& aMessage);
  void Handle(drain_worker&& aMessage);
  void Handle(trace_query&& aMessage);
  pending_request_ptr FindRequest(request::request_token aToken) const;
  void ReportIdle();

  size_t mIndex;
  const settings& mSettings;
  const common::clock_source& mClock;
  mailboxes& mMailboxes;
  counters& mCounters;
  task mTask;
  request::timeout_limits mTimeouts;
  std::unique_ptr<connection::http_server> mCallerServer;
  std::unique_ptr<connection::http_server> mPeerServer;
  std::unique_ptr<connection::http_client> mPeerClient;
  std::unique_ptr<connection::http_client> mUpstreamClient;
  connection::timer mHousekeeping;
  common::endpoint mUpstream;
  version::routing_map_ptr mMap;
  version::table_ptr mTable;
  common::session_id mOwnSession;
  request::retry_budget mRetryBudget;
  request::request_trace_log mTraces;
  std::unordered_map<request::request_token, pending_request_ptr, common::id_hash> mPendingRequests;
  std::vector<pending_request_ptr> mWaitingForMap;
  // Queries of entry daemons for the state of their attempts that the gate has not replied to yet.
  std::unordered_map<request::request_token, connection::http_exchange_ptr, common::id_hash>
    mResolveExchanges;
  uint64_t mNextToken = 1;
  bool mDraining = false;

  counter& mCountReceived;
  counter& mCountForwarded;
  counter& mCountAnswered;
  counter& mCountRefused;
  counter& mCountRetried;
};

} // namespace bamboograde::process
