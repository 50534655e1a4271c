#include "process/worker_task.h"

#include "common/hash.h"
#include "connection/peer_client.h"
#include "process/gate_task.h"

#include <algorithm>

namespace bamboograde::process {

using connection::http_header;
using connection::http_response;
using connection::transport_failure;
using request::refusal_reason;

namespace {

constexpr char kResolvePath[] = "/resolve";
constexpr common::milliseconds kHousekeepingPeriod{ 20 };
// When a forward has had no response for this long, the owner is queried for the state of the
// attempt on a new connection.
constexpr common::milliseconds kSilenceTimeout{ 1000 };
constexpr common::milliseconds kResolveTimeout{ 500 };
// Time for a former owner's response to arrive after a move.
constexpr common::milliseconds kFormerOwnerGrace{ 200 };
// Long enough for another daemon to take over from a lost owner.
constexpr common::milliseconds kMapWaitTimeout{ 4000 };
constexpr size_t kMaxWaitingForMap = 2000;
constexpr size_t kTraceCapacity = 20000;

const char* StateName(request::attempt_state aState)
{
  switch (aState) {
    case request::attempt_state::kClosed:
      return "closed";
    case request::attempt_state::kOpen:
      return "open";
    case request::attempt_state::kNotRun:
      return "not-run";
    default:
      return "ran";
  }
}

request::attempt_state StateFromName(const std::string& aName)
{
  if (aName == "closed") {
    return request::attempt_state::kClosed;
  }
  if (aName == "not-run") {
    return request::attempt_state::kNotRun;
  }
  return aName == "open" ? request::attempt_state::kOpen : request::attempt_state::kRan;
}

connection::http_client_limits MakeUpstreamLimits(const settings& aSettings)
{
  connection::http_client_limits limits;
  limits.maxConnectionsPerServer =
    std::max<unsigned>(1, aSettings.limits.upstreamConnections / unsigned(aSettings.workers));
  return limits;
}

http_header* FindHeaderMutable(connection::header_list* aHeaders, std::string_view aName)
{
  for (http_header& header : *aHeaders) {
    if (header.name == aName) {
      return &header;
    }
  }
  return nullptr;
}

} // namespace

worker_task::worker_task(size_t aIndex, const settings& aSettings,
                         const common::clock_source& aClock, mailboxes& aMailboxes,
                         counters& aCounters)
  : mIndex(aIndex)
  , mSettings(aSettings)
  , mClock(aClock)
  , mMailboxes(aMailboxes)
  , mCounters(aCounters)
  , mTask("worker-" + std::to_string(aIndex))
  , mTimeouts{ aSettings.limits.defaultTimeout, aSettings.limits.maxTimeout }
  , mTraces(kTraceCapacity)
  , mCountReceived(aCounters.Get("entry_requests_total"))
  , mCountForwarded(aCounters.Get("entry_forwards_total"))
  , mCountAnswered(aCounters.Get("entry_answers_total"))
  , mCountRefused(aCounters.Get("entry_refusals_total"))
  , mCountRetried(aCounters.Get("entry_retries_total"))
{
}

common::result<void> worker_task::Start()
{
  common::result<void> outcome = boost::outcome_v2::success();
  mTask.Start([&] { outcome = SetUp(); }, [this] { TearDown(); });
  return outcome;
}

common::result<void> worker_task::SetUp()
{
  connection::http_server_limits limits{ mSettings.limits.maxBodyBytes,
                                         mSettings.limits.requestTimeoutSeconds };
  mPeerClient = std::make_unique<connection::http_client>(connection::http_client_limits{});
  mUpstreamClient = std::make_unique<connection::http_client>(MakeUpstreamLimits(mSettings));
  mCallerServer = std::make_unique<connection::http_server>(limits);
  mCallerServer->HandleDefault(
    [this](connection::http_exchange_ptr aExchange) { OnCallerRequest(std::move(aExchange)); });
  mPeerServer = std::make_unique<connection::http_server>(limits);
  mPeerServer->Handle(request::kForwardPath, [this](connection::http_exchange_ptr aExchange) {
    OnForwardedRequest(std::move(aExchange));
  });
  mPeerServer->Handle(kResolvePath, [this](connection::http_exchange_ptr aExchange) {
    OnResolveRequest(std::move(aExchange));
  });
  mMailboxes.workers[mIndex].Attach(
    mTask.Context(), [this](worker_message&& aMessage) { OnMessage(std::move(aMessage)); });
  mHousekeeping.StartRepeating(kHousekeepingPeriod, [this] {
    CheckMapWaits();
    CheckForwards();
  });
  common::result<void> listening = mCallerServer->Listen(mSettings.listen.caller, true);
  return listening.has_value() ? mPeerServer->Listen(mSettings.listen.peer, true) : listening;
}

void worker_task::TearDown()
{
  mHousekeeping.Stop();
  mMailboxes.workers[mIndex].Detach();
  mPendingRequests.clear();
  mWaitingForMap.clear();
  mResolveExchanges.clear();
  mCallerServer.reset();
  mPeerServer.reset();
  mPeerClient.reset();
  mUpstreamClient.reset();
}

// Requests received ------------------------------------------------------------------------------

pending_request_ptr worker_task::AddRequest(connection::http_exchange_ptr aExchange)
{
  pending_request_ptr pending(new pending_request());
  pending->token = request::request_token((mNextToken++ << kWorkerBits) | mIndex);
  pending->receivedAt = mClock.Now();
  pending->exchange = std::move(aExchange);
  mPendingRequests[pending->token] = pending;
  return pending;
}

void worker_task::OnCallerRequest(connection::http_exchange_ptr aExchange)
{
  ++mCountReceived;
  mRetryBudget.OnRequest();
  pending_request_ptr pending = AddRequest(std::move(aExchange));
  common::findings found;
  pending->parsed =
    request::ReadCallerRequest(*pending->exchange, mTimeouts, pending->receivedAt, &found);
  if (pending->exchange->Oversized()) {
    RefuseWith(pending, refusal_reason::kBodyTooLarge,
               "At most " + std::to_string(mSettings.limits.maxBodyBytes) + " bytes are accepted.");
    return;
  }
  if (!found.Empty()) {
    RefuseWith(pending, refusal_reason::kBadRequest, found.Format());
    return;
  }
  pending->isTicketRequest = pending->exchange->Path() == request::kTicketPath;
  pending->forward.idempotent = !pending->parsed.nonIdempotent;
  pending->forward.hasTicket = !pending->parsed.ticket.empty();
  if (mTable == nullptr) {
    RefuseWith(pending, refusal_reason::kNoOwner, "The daemon has just started; try again.");
    return;
  }
  if (!mTable->HasService(pending->parsed.service)) {
    RefuseWith(pending, refusal_reason::kUnknownService,
               "No row of the table names this service; check the header or add a row.");
    return;
  }
  if (pending->parsed.nonIdempotent && pending->parsed.ticket.empty()) {
    RefuseWith(pending, refusal_reason::kTicketRequired,
               "POST to " + std::string(request::kTicketPath) +
                 " with the same service and key, and send the ticket as Idempotency-Key.");
    return;
  }
  pending->exchange->WatchDisconnect([this, pending] { OnDisconnect(pending); });
  Route(pending);
}

bool worker_task::CheckPeerKey(connection::http_exchange& aExchange)
{
  if (aExchange.Header(connection::kPeerKeyHeader) == mSettings.peerKey) {
    return true;
  }
  aExchange.RespondJson(401, R"({"error":"The peer key is missing or wrong."})");
  return false;
}

void worker_task::OnForwardedRequest(connection::http_exchange_ptr aExchange)
{
  if (!CheckPeerKey(*aExchange)) {
    return;
  }
  pending_request_ptr pending = AddRequest(std::move(aExchange));
  pending->forwarded = true;
  common::findings found;
  pending->parsed =
    request::ReadForwardedRequest(*pending->exchange, mTimeouts, pending->receivedAt, &found);
  pending->attempt = common::attempt_id(pending->exchange->Header(request::kAttemptHeader));
  if (!found.Empty()) {
    RefuseWith(pending, refusal_reason::kBadRequest, found.Format());
    return;
  }
  pending->isTicketRequest = pending->parsed.target == request::kTicketPath;
  pending->exchange->WatchDisconnect([this, pending] { OnDisconnect(pending); });
  SubmitToGate(pending);
}

void worker_task::OnResolveRequest(connection::http_exchange_ptr aExchange)
{
  if (!CheckPeerKey(*aExchange)) {
    return;
  }
  request::request_token token((mNextToken++ << kWorkerBits) | mIndex);
  common::attempt_id attempt(aExchange->Header(request::kAttemptHeader));
  mResolveExchanges[token] = std::move(aExchange);
  mMailboxes.gate.Send(resolve_attempt{ mIndex, token, attempt });
}

void worker_task::OnDisconnect(const pending_request_ptr& aRequest)
{
  mMailboxes.gate.Send(cancel_request{ aRequest->token });
  // Cancelling the call closes its connection, which tells the owner or the upstream to cancel the
  // request.
  if (aRequest->call != nullptr) {
    aRequest->call->Cancel();
  }
  if (!aRequest->forwarded && aRequest->upstream.Empty()) {
    aRequest->disconnected = true;
    aRequest->mapWaitDeadline = common::boot_time();
    RemoveRequest(aRequest);
  }
}

// Entry role -------------------------------------------------------------------------------------

void worker_task::Route(const pending_request_ptr& aRequest)
{
  const version::route* route =
    mMap == nullptr ? nullptr : mMap->Find(aRequest->parsed.service, aRequest->parsed.hash);
  if (route == nullptr) {
    WaitForMap(aRequest);
    return;
  }
  ++aRequest->forward.attempts;
  aRequest->targetSession = route->owner->session;
  if (route->owner->session == mOwnSession) {
    SubmitToGate(aRequest);
    return;
  }
  SendToOwner(aRequest, *route);
}

void worker_task::SendToOwner(const pending_request_ptr& aRequest, const version::route& aRoute)
{
  ++mCountForwarded;
  common::boot_time now = mClock.Now();
  common::attempt_id attempt(aRequest->parsed.id.Str().substr(0, 64) + "-" +
                             std::to_string(aRequest->token.Value()) + "-" +
                             common::ToHex(uint64_t(common::ToMicros(now))));
  aRequest->attempt = attempt;
  aRequest->targetPeer = aRoute.owner->peer;
  aRequest->sentAt = now;
  aRequest->silenceDeadline = now + kSilenceTimeout;
  auto forward =
    request::MakeForward(aRequest->parsed, aRoute.owner->peer, attempt, mSettings.peerKey, now);
  aRequest->call = mPeerClient->Send(forward, aRequest->parsed.deadline, now,
                                     [this, aRequest, attempt](connection::http_result aResult) {
                                       OnForwardResult(aRequest, attempt, std::move(aResult));
                                     });
}

void worker_task::OnForwardResult(const pending_request_ptr& aRequest,
                                  const common::attempt_id& aAttempt,
                                  connection::http_result aResult)
{
  // A late response to a cancelled attempt must not be taken for that of the present attempt.
  if (aRequest->disconnected || aRequest->attempt != aAttempt) {
    return;
  }
  aRequest->call = nullptr;
  request::refusal refused = request::RefusalFromResponse(aResult.response);
  auto decision = request::AfterForward(aRequest->forward, aResult.failure, refused.reason);
  if (decision.step == request::forward_step::kAnswer) {
    aRequest->response = std::move(aResult.response);
  }
  ApplyDecision(aRequest, decision);
}

void worker_task::ResolveAttempt(const pending_request_ptr& aRequest)
{
  if (aRequest->resolving) {
    return;
  }
  aRequest->resolving = true;
  connection::http_request query;
  query.method = "POST";
  query.authority = aRequest->targetPeer.Str();
  query.target = kResolvePath;
  query.newConnection = true;
  query.headers = { { connection::kPeerKeyHeader, mSettings.peerKey },
                    { request::kAttemptHeader, aRequest->attempt.Str() } };
  common::boot_time now = mClock.Now();
  mPeerClient->Send(
    query, now + kResolveTimeout, now,
    [this, aRequest, attempt = aRequest->attempt](const connection::http_result& aResult) {
      OnResolveResult(aRequest, attempt, aResult);
    });
}

void worker_task::OnResolveResult(const pending_request_ptr& aRequest,
                                  const common::attempt_id& aAttempt,
                                  const connection::http_result& aResult)
{
  aRequest->resolving = false;
  if (aRequest->disconnected || aRequest->attempt != aAttempt || !aRequest->exchange->Open()) {
    return;
  }
  bool reachable = aResult.Ok() && aResult.response.status == 200;
  auto state = StateFromName(aResult.response.body);
  bool callPending = aRequest->call != nullptr;
  // The connection may only be slow: the forward goes on while the owner still handles the attempt
  // or does not reply to the query.
  if (callPending && (!reachable || state == request::attempt_state::kOpen)) {
    aRequest->silenceDeadline = mClock.Now() + kSilenceTimeout;
    return;
  }
  if (callPending) {
    CancelForward(aRequest);
  }
  ApplyDecision(aRequest, request::AfterResolve(aRequest->forward, reachable, state));
}

bool worker_task::SentToFormerOwner(const pending_request& aRequest, common::boot_time aNow) const
{
  // A move ends only after the former owner has responded to its requests in flight, so that the
  // response may still be on its way.
  if (aRequest.sentAt + kFormerOwnerGrace > aNow) {
    return false;
  }
  const version::route* route = mMap->Find(aRequest.parsed.service, aRequest.parsed.hash);
  return route != nullptr && route->owner->session != aRequest.targetSession;
}

void worker_task::CancelForward(const pending_request_ptr& aRequest)
{
  auto call = std::move(aRequest->call);
  // OnForwardResult() ignores the result of the cancelled call because the attempt ids differ.
  aRequest->attempt = common::attempt_id();
  call->Cancel();
}

void worker_task::ApplyDecision(const pending_request_ptr& aRequest,
                                request::forward_decision aDecision)
{
  switch (aDecision.step) {
    case request::forward_step::kAnswer: {
      auto outcome = connection::FindHeader(aRequest->response.headers, request::kOutcomeHeader);
      std::string text(outcome.empty() ? "ran" : outcome);
      Respond(aRequest, std::move(aRequest->response), text.c_str());
      return;
    }
    case request::forward_step::kResolve:
      ResolveAttempt(aRequest);
      return;
    case request::forward_step::kAwaitMap:
      WaitForMap(aRequest);
      return;
    case request::forward_step::kForwardAgain:
      if (!mRetryBudget.TryRetry()) {
        RefuseWith(aRequest, refusal_reason::kOwnerUnreachable, "The retry budget is used up.");
        return;
      }
      ++mCountRetried;
      Route(aRequest);
      return;
    default:
      RefuseWith(aRequest, aDecision.reason, "The owner's server could not serve the request.");
  }
}

void worker_task::WaitForMap(const pending_request_ptr& aRequest)
{
  if (mWaitingForMap.size() >= kMaxWaitingForMap) {
    RefuseWith(aRequest, refusal_reason::kOwnerUnreachable, "Too many requests wait for an owner.");
    return;
  }
  common::boot_time until = mClock.Now() + kMapWaitTimeout;
  aRequest->mapWaitDeadline = std::min(until, aRequest->parsed.deadline);
  mWaitingForMap.push_back(aRequest);
  CheckMapWaits();
}

void worker_task::CheckMapWaits()
{
  common::boot_time now = mClock.Now();
  std::vector<pending_request_ptr> waiting = std::exchange(mWaitingForMap, {});
  for (const pending_request_ptr& item : waiting) {
    if (item->disconnected || !item->exchange->Open()) {
      continue;
    }
    const version::route* route = mMap->Find(item->parsed.service, item->parsed.hash);
    if (route != nullptr && route->owner->session != item->targetSession) {
      ++mCountRetried;
      Route(item);
    } else if (now >= item->mapWaitDeadline) {
      RefuseWith(item, refusal_reason::kOwnerUnreachable,
                 "The key's server was lost and no other has taken over yet; try again.");
    } else {
      mWaitingForMap.push_back(item);
    }
  }
}

void worker_task::CheckForwards()
{
  common::boot_time now = mClock.Now();
  std::vector<pending_request_ptr> silent;
  std::vector<pending_request_ptr> sentToFormerOwner;
  for (const auto& [token, item] : mPendingRequests) {
    bool isForward = item->call != nullptr && !item->targetPeer.Empty() && item->upstream.Empty();
    if (isForward && SentToFormerOwner(*item, now)) {
      sentToFormerOwner.push_back(item);
    } else if (isForward && item->silenceDeadline <= now) {
      silent.push_back(item);
    }
  }
  for (const pending_request_ptr& item : sentToFormerOwner) {
    CancelForward(item);
    ApplyDecision(item, request::AfterResolve(item->forward, false, request::attempt_state::kOpen));
  }
  for (const pending_request_ptr& item : silent) {
    ResolveAttempt(item);
  }
}

// Owner role -------------------------------------------------------------------------------------

void worker_task::SubmitToGate(const pending_request_ptr& aRequest)
{
  const request::caller_request& parsed = aRequest->parsed;
  if (aRequest->isTicketRequest) {
    mMailboxes.gate.Send(issue_ticket{ mIndex, aRequest->token, parsed.hash });
    return;
  }
  request::gate_request_ptr gateRequest(new request::gate_request());
  gateRequest->token = aRequest->token;
  gateRequest->id = parsed.id;
  gateRequest->callerClass = parsed.callerClass;
  gateRequest->key = parsed.key;
  gateRequest->hash = parsed.hash;
  gateRequest->deadline = parsed.deadline;
  gateRequest->nonIdempotent = parsed.nonIdempotent;
  gateRequest->ticket = parsed.ticket;
  gateRequest->fingerprint =
    request::Fingerprint(parsed.method, parsed.target, parsed.key, parsed.body);
  if (aRequest->forwarded) {
    gateRequest->attempt = aRequest->attempt;
  }
  mMailboxes.gate.Send(submit_request{ mIndex, std::move(gateRequest) });
}

void worker_task::SendToUpstream(const pending_request_ptr& aRequest,
                                 const request::dispatch_event& aDispatch)
{
  const request::caller_request& parsed = aRequest->parsed;
  connection::http_request call;
  call.method = parsed.method;
  call.authority = mUpstream.Str();
  call.target = parsed.target;
  call.headers = parsed.headers;
  auto add = [&](const char* aName, const std::string& aValue) {
    call.headers.push_back({ aName, aValue });
  };
  add(request::kServiceHeader, parsed.service.Str());
  add(request::kKeyHeader, parsed.key);
  add(request::kFenceSessionHeader, aDispatch.session.Str());
  add(request::kFenceEpochHeader, std::to_string(aDispatch.epoch.Value()));
  add(request::kGrantEndHeader, std::to_string(common::ToMicros(aDispatch.leaseEnd)));
  add(request::kDeadlineHeader, std::to_string(common::ToMicros(parsed.deadline)));
  if (connection::FindHeader(parsed.headers, request::kRequestIdHeader).empty()) {
    add(request::kRequestIdHeader, parsed.id.Str());
  }
  call.body = parsed.body;
  aRequest->upstream = mUpstream;
  aRequest->call = mUpstreamClient->Send(call, parsed.deadline, mClock.Now(),
                                         [this, aRequest](connection::http_result aResult) {
                                           OnUpstreamResult(aRequest, std::move(aResult));
                                         });
}

void worker_task::OnUpstreamResult(const pending_request_ptr& aRequest,
                                   connection::http_result aResult)
{
  aRequest->call = nullptr;
  finish_request finish{ aRequest->token, request::dispatch_result::kAnswered, {} };
  switch (aResult.failure) {
    case transport_failure::kNone:
      if (connection::FindHeader(aResult.response.headers, request::kUpstreamRunHeader) ==
          "not-run") {
        finish.result = request::dispatch_result::kShed;
      }
      std::erase_if(aResult.response.headers, [](const http_header& aHeader) {
        return request::IsInternalHeader(aHeader.name);
      });
      if (aRequest->parsed.nonIdempotent) {
        finish.response = aResult.response;
      }
      aRequest->response = std::move(aResult.response);
      break;
    case transport_failure::kNotConnected:
      finish.result = request::dispatch_result::kNotConnected;
      break;
    case transport_failure::kTimeout:
      finish.result = request::dispatch_result::kTimeout;
      break;
    case transport_failure::kCancelled:
      finish.result = request::dispatch_result::kCancelled;
      break;
    default:
      finish.result = request::dispatch_result::kBroken;
  }
  mMailboxes.gate.Send(std::move(finish));
}

// Responses --------------------------------------------------------------------------------------

request::request_trace worker_task::MakeEntryTrace(const pending_request& aRequest) const
{
  request::request_trace trace;
  trace.id = aRequest.parsed.id;
  trace.role = "entry";
  trace.unixMs = mClock.UnixMs();
  trace.session = aRequest.targetSession;
  trace.attempts = aRequest.forward.attempts;
  return trace;
}

void worker_task::RefuseWith(const pending_request_ptr& aRequest, refusal_reason aReason,
                             const std::string& aDetail)
{
  request::refusal refused{ aReason, {}, {}, aDetail };
  const request::caller_request& parsed = aRequest->parsed;
  const version::table_row* row =
    mTable == nullptr ? nullptr : mTable->Match(parsed.service, parsed.callerClass, parsed.key);
  if (row != nullptr) {
    refused.row = row->id;
    refused.tableVersion = mTable->Version();
  }
  Refuse(aRequest, std::move(refused));
}

void worker_task::Refuse(const pending_request_ptr& aRequest, request::refusal aRefusal)
{
  if (!aRequest->forwarded) {
    ++mCountRefused;
    mCounters.Get("entry_refusals_by_reason_total",
                  "reason=\"" + std::string(request::NameOf(aRefusal.reason)) + "\"")++;
  }
  if (!aRequest->forwarded) {
    request::request_trace trace = MakeEntryTrace(*aRequest);
    trace.row = aRefusal.row;
    trace.tableVersion = aRefusal.tableVersion;
    trace.outcome = request::NameOf(aRefusal.reason);
    trace.detail = aRefusal.detail;
    mTraces.Add(std::move(trace));
  }
  aRequest->exchange->Respond(request::RefusalResponse(aRefusal, aRequest->parsed.id));
  RemoveRequest(aRequest);
}

void worker_task::Respond(const pending_request_ptr& aRequest, http_response aResponse,
                          const char* aOutcome)
{
  std::erase_if(aResponse.headers, [](const http_header& aHeader) {
    bool isOwn = aHeader.name.starts_with("Bamboograde-");
    bool isReplaced = aHeader.name == "Server" || aHeader.name == "Date";
    return isReplaced || (!isOwn && request::IsInternalHeader(aHeader.name));
  });
  auto add = [&](const char* aName, const std::string& aValue) {
    if (FindHeaderMutable(&aResponse.headers, aName) == nullptr) {
      aResponse.headers.push_back({ aName, aValue });
    }
  };
  add(request::kOutcomeHeader, aOutcome);
  add(request::kRequestIdHeader, aRequest->parsed.id.Str());
  if (mDraining) {
    add("Connection", "close");
  }
  if (!aRequest->forwarded) {
    ++mCountAnswered;
    mCounters.Record("entry_time", std::chrono::duration_cast<common::microseconds>(
                                     mClock.Now() - aRequest->receivedAt));
    request::request_trace trace = MakeEntryTrace(*aRequest);
    trace.outcome = aOutcome;
    mTraces.Add(std::move(trace));
  }
  aRequest->exchange->Respond(aResponse);
  RemoveRequest(aRequest);
}

void worker_task::RemoveRequest(const pending_request_ptr& aRequest)
{
  request::request_token token = aRequest->token;
  mPendingRequests.erase(token);
  ReportIdle();
}

// Messages ---------------------------------------------------------------------------------------

pending_request_ptr worker_task::FindRequest(request::request_token aToken) const
{
  auto found = mPendingRequests.find(aToken);
  return found == mPendingRequests.end() ? nullptr : found->second;
}

void worker_task::OnMessage(worker_message&& aMessage)
{
  std::visit([this](auto&& aItem) { Handle(std::forward<decltype(aItem)>(aItem)); },
             std::move(aMessage));
}

void worker_task::Handle(request::dispatch_event&& aMessage)
{
  pending_request_ptr pending = FindRequest(aMessage.token);
  if (pending == nullptr) {
    // The caller closed its connection after the gate had dispatched its request.
    mMailboxes.gate.Send(finish_request{ aMessage.token, request::dispatch_result::kNotSent, {} });
    return;
  }
  SendToUpstream(pending, aMessage);
}

void worker_task::Handle(request::refuse_event&& aMessage)
{
  pending_request_ptr pending = FindRequest(aMessage.token);
  if (pending == nullptr) {
    return;
  }
  pending->upstream = common::endpoint();
  bool ownerUnable = aMessage.why.reason == refusal_reason::kNotOwner ||
                     aMessage.why.reason == refusal_reason::kLeaseLapsed ||
                     aMessage.why.reason == refusal_reason::kUpstreamUnavailable;
  if (!pending->forwarded && ownerUnable) {
    auto decision =
      request::AfterForward(pending->forward, transport_failure::kNone, aMessage.why.reason);
    if (decision.step == request::forward_step::kAwaitMap) {
      WaitForMap(pending);
      return;
    }
  }
  Refuse(pending, std::move(aMessage.why));
}

void worker_task::Handle(request::replay_event&& aMessage)
{
  pending_request_ptr pending = FindRequest(aMessage.token);
  if (pending == nullptr) {
    return;
  }
  aMessage.answer.headers.push_back({ "Bamboograde-Replayed", "true" });
  aMessage.answer.headers.push_back({ request::kRowHeader, aMessage.row.Str() });
  Respond(pending, std::move(aMessage.answer), "ran");
}

void worker_task::Handle(request::deliver_event&& aMessage)
{
  pending_request_ptr pending = FindRequest(aMessage.token);
  if (pending == nullptr) {
    return;
  }
  auto& headers = pending->response.headers;
  headers.push_back({ request::kRowHeader, aMessage.row.Str() });
  headers.push_back(
    { request::kTableVersionHeader, std::to_string(aMessage.tableVersion.Value()) });
  headers.push_back({ request::kOwnerHeader, mSettings.listen.caller.Str() });
  headers.push_back({ request::kEpochHeader, std::to_string(aMessage.epoch.Value()) });
  Respond(pending, std::move(pending->response), "ran");
}

void worker_task::Handle(ticket_issued&& aMessage)
{
  pending_request_ptr pending = FindRequest(aMessage.token);
  if (pending == nullptr) {
    return;
  }
  if (aMessage.refuse != refusal_reason::kNone) {
    Handle(request::refuse_event{ aMessage.token, { aMessage.refuse, {}, {}, "" } });
    return;
  }
  common::json body = { { "ticket", aMessage.ticket } };
  Respond(pending, { 201, { { "Content-Type", "application/json" } }, common::Dump(body) }, "ran");
}

void worker_task::Handle(attempt_resolved&& aMessage)
{
  auto found = mResolveExchanges.find(aMessage.token);
  if (found == mResolveExchanges.end()) {
    return;
  }
  found->second->Respond({ 200, {}, StateName(aMessage.state) });
  mResolveExchanges.erase(found);
}

void worker_task::Handle(set_routing&& aMessage)
{
  mMap = std::move(aMessage.map);
  mTable = std::move(aMessage.table);
  mOwnSession = aMessage.ownSession;
  CheckMapWaits();
}

void worker_task::Handle(set_upstream&& aMessage)
{
  mUpstream = aMessage.upstream;
}

void worker_task::Handle(abort_upstream_calls&&)
{
  for (const auto& [token, item] : mPendingRequests) {
    if (item->call != nullptr && !item->upstream.Empty()) {
      item->call->Cancel();
    }
  }
}

void worker_task::Handle(drain_worker&&)
{
  mDraining = true;
  mCallerServer->StopListening();
  ReportIdle();
}

void worker_task::ReportIdle()
{
  if (mDraining && mPendingRequests.empty()) {
    mMailboxes.control.Send(worker_idle{ mIndex });
  }
}

void worker_task::Handle(trace_query&& aMessage)
{
  mMailboxes.control.Send(trace_reply{ aMessage.id, mTraces.Find(aMessage.request) });
}

} // namespace bamboograde::process
