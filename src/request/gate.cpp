#include "request/gate.h"

#include "common/hash.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

// Requests whose connection broke at most this long before a crash was detected count as in flight
// at the crash.
constexpr common::milliseconds kCrashWindow{ 2000 };

int64_t MicrosBetween(common::boot_time aFrom, common::boot_time aTo)
{
  return (aTo - aFrom).count();
}

} // namespace

gate::gate(gate_settings aSettings, common::service_name aService, std::string aSecret)
  : mSettings(aSettings)
  , mService(std::move(aService))
  , mLedger(aSettings.ledgerSettings, std::move(aSecret))
  , mTraces(aSettings.traceCapacity)
{
}

gate::slice_state* gate::FindSlice(common::key_hash aHash)
{
  for (slice_state& state : mSlices) {
    if (state.slice.range.Contains(aHash)) {
      return &state;
    }
  }
  return nullptr;
}

bool gate::Owns(const version::owned_slice& aSlice) const
{
  return std::any_of(mSlices.begin(), mSlices.end(), [&](const slice_state& aState) {
    return aState.slice.epoch == aSlice.epoch && aState.slice.range.first <= aSlice.range.first &&
           aSlice.range.last <= aState.slice.range.last;
  });
}

void gate::SetOwnership(const common::session_id& aSession,
                        std::vector<version::owned_slice> aSlices, common::boot_time aNow)
{
  mSession = aSession;
  std::vector<slice_state> previous = std::exchange(mSlices, {});
  for (const version::owned_slice& slice : aSlices) {
    auto known = std::find_if(previous.begin(), previous.end(),
                              [&](const slice_state& aState) { return aState.slice == slice; });
    mSlices.push_back({ slice, known != previous.end() && known->moving });
    mLedger.Cover(slice, aNow);
  }
  for (const slice_state& state : previous) {
    if (!Owns(state.slice)) {
      mLedger.Drop(state.slice.range);
    }
  }
  std::vector<gate_request_ptr> lost;
  for (const auto& [token, request] : mRequests) {
    if (request->state == gate_state::kQueued && !Owns(request->slice)) {
      lost.push_back(request);
    }
  }
  for (const gate_request_ptr& request : lost) {
    mQueue.Remove(*request);
    Refuse(*request, refusal_reason::kNotOwner, "The slice has moved to another owner.", aNow);
  }
}

void gate::BeginMove(const version::slice_range& aRange)
{
  for (slice_state& state : mSlices) {
    state.moving = state.moving || state.slice.range == aRange;
  }
  // Queued requests are held like new ones. If the hand-off succeeds, they are refused as not
  // owned, and their entry daemons send them to the new owner.
  std::vector<gate_request_ptr> held;
  for (const auto& [token, request] : mRequests) {
    if (request->state == gate_state::kQueued && aRange.Contains(request->hash)) {
      held.push_back(request);
    }
  }
  for (const gate_request_ptr& request : held) {
    mQueue.Remove(*request);
    request->state = gate_state::kHeld;
  }
}

size_t gate::InFlight(const version::slice_range& aRange) const
{
  if (!mSettings.guards.waitForInFlight) {
    return 0;
  }
  return size_t(std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aItem) {
    return aItem.second->state == gate_state::kDispatched && aRange.Contains(aItem.second->hash);
  }));
}

void gate::EndMove(const version::slice_range& aRange, bool aMoved, common::boot_time aNow)
{
  for (slice_state& state : mSlices) {
    state.moving = state.moving && state.slice.range != aRange;
  }
  if (aMoved) {
    std::erase_if(mSlices, [&](const slice_state& aState) { return aState.slice.range == aRange; });
    mLedger.Drop(aRange);
  }
  std::vector<gate_request_ptr> held;
  for (const auto& [token, request] : mRequests) {
    if (request->state == gate_state::kHeld && aRange.Contains(request->hash)) {
      held.push_back(request);
    }
  }
  for (const gate_request_ptr& request : held) {
    Admit(request, aNow);
  }
  DispatchNext(aNow);
}

void gate::SetTable(version::table_ptr aTable)
{
  mTable = std::move(aTable);
  mQueue.SetWeights(*mTable);
  mLimiter.SetTable(*mTable, mService);
}

void gate::OpenUpstream(size_t aSlots, common::boot_time aNow, common::boot_time aColdUntil)
{
  mSlots.Open(aSlots, aNow, aColdUntil);
  mFailuresInRow = 0;
  mLastProgress = aNow;
  DispatchNext(aNow);
}

void gate::CloseUpstream(common::boot_time aNow)
{
  mSlots.Close();
  RefuseQueued(refusal_reason::kUpstreamUnavailable, "The owner's upstream takes no work.", aNow);
}

void gate::Submit(gate_request_ptr aRequest, common::boot_time aNow)
{
  ++mCounters.submitted;
  mRequests[aRequest->token] = aRequest;
  attempt_begin begin =
    aRequest->attempt.Empty() ? attempt_begin::kNew : mAttempts.Begin(aRequest->attempt, aNow);
  if (begin != attempt_begin::kNew && mSettings.guards.closedAttempts) {
    aRequest->attempt = common::attempt_id();
    Refuse(*aRequest,
           begin == attempt_begin::kClosed ? refusal_reason::kAttemptClosed
                                           : refusal_reason::kDuplicateRunning,
           "The entry daemon has given this attempt up, or sent it before.", aNow);
    return;
  }
  Admit(aRequest, aNow);
  DispatchNext(aNow);
}

void gate::Admit(const gate_request_ptr& aRequest, common::boot_time aNow)
{
  gate_request& request = *aRequest;
  const version::table_row* row =
    mTable == nullptr ? nullptr : mTable->Match(mService, request.callerClass, request.key);
  if (row == nullptr) {
    Refuse(request, refusal_reason::kUnknownService,
           "The table has no row for this service; an operator must add one.", aNow);
    return;
  }
  request.row = row->id;
  request.tableVersion = mTable->Version();
  slice_state* slice = FindSlice(request.hash);
  if (slice == nullptr) {
    Refuse(request, refusal_reason::kNotOwner, "Another daemon owns this key.", aNow);
    return;
  }
  if (!LeaseHeld(aNow)) {
    Refuse(request, refusal_reason::kLeaseLapsed,
           "The owner's lease has lapsed; a new owner takes over within seconds.", aNow);
    return;
  }
  if (slice->moving) {
    request.state = gate_state::kHeld;
    return;
  }
  request.slice = slice->slice;
  if (mSuspects.IsRefused(request.fingerprint)) {
    Refuse(request, refusal_reason::kSuspectedOfCrash,
           "This request was running at two crashes of upstreams and is not run again.", aNow);
    return;
  }
  const connection::http_response* replay = nullptr;
  refusal_reason reason = CheckTicket(request, aNow, &replay);
  if (replay != nullptr) {
    ++mCounters.replayed;
    mEvents.push_back(replay_event{ request.token, *replay, request.row, request.tableVersion });
    EndRequest(request, true, "replayed", "", aNow);
    return;
  }
  if (reason == refusal_reason::kNone) {
    reason = CheckQueue(request, aNow);
  }
  // The rate limit is checked last, so that requests refused for other reasons take no tokens.
  if (reason == refusal_reason::kNone && !mLimiter.TryTake(request.row, aNow)) {
    reason = refusal_reason::kLimit;
  }
  if (reason != refusal_reason::kNone) {
    Refuse(request, reason, "", aNow);
    return;
  }
  ++mCounters.requestsByRow[request.row];
  request.enqueuedAt = aNow;
  request.state = gate_state::kQueued;
  mQueue.Push(request);
  if (request.queuePosition > 0) {
    mDispatchedBefore[request.token] = mQueue.PoppedByRow();
  }
}

refusal_reason gate::CheckTicket(const gate_request& aRequest, common::boot_time aNow,
                                 const connection::http_response** aReplay)
{
  if (!aRequest.nonIdempotent || !mSettings.guards.tickets) {
    return refusal_reason::kNone;
  }
  if (aRequest.ticket.empty()) {
    return refusal_reason::kTicketRequired;
  }
  ledger_decision decision = mLedger.Check(aRequest.ticket, aRequest.hash, aNow);
  *aReplay = decision.replay;
  return decision.refuse;
}

refusal_reason gate::CheckQueue(const gate_request& aRequest, common::boot_time aNow) const
{
  if (mSlots.Slots() == 0) {
    return refusal_reason::kUpstreamUnavailable;
  }
  if (aRequest.deadline <= aNow) {
    return refusal_reason::kDeadlineInQueue;
  }
  if (mQueue.Size() >= mSettings.maxQueued) {
    return refusal_reason::kQueueFull;
  }
  // A request that can not start before its deadline would only delay others in the queue.
  if (aNow + mQueue.EstimateWait(aRequest.row, mSlots.Capacity(aNow)) >= aRequest.deadline) {
    return refusal_reason::kDeadlineTooShort;
  }
  return refusal_reason::kNone;
}

void gate::DispatchNext(common::boot_time aNow)
{
  if (mQueue.Size() > 0 && !LeaseHeld(aNow) && mSettings.guards.leaseAtDispatch) {
    RefuseQueued(refusal_reason::kLeaseLapsed,
                 "The owner's lease has lapsed; a new owner takes over within seconds.", aNow);
    return;
  }
  while (mQueue.Size() > 0 && mSlots.InUse() < mSlots.Capacity(aNow)) {
    gate_request& request = *mQueue.Pop();
    if (request.deadline <= aNow) {
      mQueue.Charge(request, common::microseconds(0));
      Refuse(request, refusal_reason::kDeadlineInQueue, "", aNow);
      continue;
    }
    if (!HoldIfSuspect(request)) {
      Dispatch(request, aNow);
    }
  }
}

bool gate::HoldIfSuspect(gate_request& aRequest)
{
  if (!mSuspects.IsSuspect(aRequest.fingerprint) || !mSettings.guards.suspectsOneAtATime) {
    return false;
  }
  if (mDispatchedSuspect == request_token()) {
    mDispatchedSuspect = aRequest.token;
    return false;
  }
  mQueue.Charge(aRequest, common::microseconds(0));
  aRequest.state = gate_state::kHeld;
  mHeldSuspects.emplace_back(&aRequest);
  return true;
}

void gate::Dispatch(gate_request& aRequest, common::boot_time aNow)
{
  // A duplicate may have been queued before the first request with the same ticket was dispatched.
  if (aRequest.nonIdempotent && mSettings.guards.tickets) {
    ledger_decision decision = mLedger.Check(aRequest.ticket, aRequest.hash, aNow);
    if (decision.refuse != refusal_reason::kNone || decision.replay != nullptr) {
      mQueue.Charge(aRequest, common::microseconds(0));
      Refuse(aRequest, refusal_reason::kDuplicateRunning, "", aNow);
      return;
    }
    mLedger.Start(aRequest.ticket, aRequest.hash, aNow);
  }
  if (mSlots.InUse() == 0) {
    mLastProgress = aNow;
  }
  mSlots.TryTake(aNow);
  aRequest.state = gate_state::kDispatched;
  aRequest.dispatchedAt = aNow;
  ++mCounters.dispatched;
  mEvents.push_back(dispatch_event{ aRequest.token, mSession, aRequest.slice.epoch, mLeaseEnd });
}

void gate::Cancel(request_token aToken, common::boot_time aNow)
{
  auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return;
  }
  gate_request_ptr request = found->second;
  if (request->state == gate_state::kQueued) {
    mQueue.Remove(*request);
  }
  if (request->state == gate_state::kQueued || request->state == gate_state::kHeld) {
    Refuse(*request, refusal_reason::kCancelled, "The caller closed its connection.", aNow);
  }
}

void gate::Finish(request_token aToken, dispatch_result aResult,
                  const connection::http_response& aResponse, common::boot_time aNow)
{
  auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return;
  }
  gate_request_ptr request = found->second;
  mSlots.Release();
  mQueue.Charge(*request, aNow - request->dispatchedAt);
  if (aToken == mDispatchedSuspect) {
    mDispatchedSuspect = request_token();
  }
  if (aResult == dispatch_result::kAnswered) {
    FinishWithResponse(*request, aResponse, aNow);
  } else {
    FinishWithoutResponse(*request, aResult, aNow);
  }
  ReleaseHeldSuspect();
  DispatchNext(aNow);
}

void gate::FinishWithResponse(gate_request& aRequest, const connection::http_response& aResponse,
                              common::boot_time aNow)
{
  mLastProgress = aNow;
  mFailuresInRow = 0;
  mSlots.OnCompleted();
  mSuspects.Clear(aRequest.fingerprint, aNow);
  if (aRequest.nonIdempotent) {
    mLedger.FinishRan(aRequest.ticket, aResponse);
  }
  // After the lease has expired, another owner may have changed what the response describes.
  bool expired = !LeaseHeld(aNow) || !Owns(aRequest.slice);
  if (expired && mSettings.guards.leaseAtResponse) {
    Refuse(aRequest, refusal_reason::kAnswerAfterLapse,
           "The owner's lease lapsed while the request ran.", aNow);
    return;
  }
  ++mCounters.answered;
  mEvents.push_back(
    deliver_event{ aRequest.token, aRequest.row, aRequest.tableVersion, aRequest.slice.epoch });
  EndRequest(aRequest, true, "ran", "", aNow);
}

void gate::FinishWithoutResponse(gate_request& aRequest, dispatch_result aResult,
                                 common::boot_time aNow)
{
  bool notRun = aResult == dispatch_result::kShed || aResult == dispatch_result::kNotConnected ||
                aResult == dispatch_result::kNotSent;
  if (aRequest.nonIdempotent && notRun) {
    mLedger.Forget(aRequest.ticket);
  } else if (aRequest.nonIdempotent) {
    mLedger.FinishUnknown(aRequest.ticket);
  }
  switch (aResult) {
    case dispatch_result::kShed:
      mSlots.OnShed(aNow);
      mLastProgress = aNow;
      Refuse(aRequest, refusal_reason::kUpstreamShed, "The upstream shed the request.", aNow);
      return;
    case dispatch_result::kNotSent:
      Refuse(aRequest, refusal_reason::kCancelled, "The caller closed its connection.", aNow);
      return;
    case dispatch_result::kNotConnected:
      Refuse(aRequest, refusal_reason::kUpstreamUnavailable, "The upstream accepts no connections.",
             aNow);
      DeclareLost("the upstream accepts no connections", aNow);
      return;
    case dispatch_result::kBroken:
      mBrokenRequests.push_back({ aRequest.fingerprint, aNow });
      Refuse(aRequest, refusal_reason::kUpstreamLost,
             "The connection to the upstream broke while the request ran.", aNow);
      if (!std::exchange(mProbing, true)) {
        mEvents.push_back(probe_event{});
      }
      return;
    case dispatch_result::kTimeout:
      ++mFailuresInRow;
      Refuse(aRequest, refusal_reason::kUpstreamTimeout,
             "The upstream did not answer before the request's deadline.", aNow);
      if (mFailuresInRow >= mSettings.maxFailuresInRow) {
        DeclareLost("requests in a row ended without an answer", aNow);
      }
      return;
    default:
      Refuse(aRequest, refusal_reason::kUpstreamTimeout, "The caller closed its connection.", aNow);
  }
}

void gate::OnProbe(bool aConnected, bool aAnswered, common::boot_time aNow)
{
  mProbing = false;
  if (!aConnected) {
    common::crash_id crash(common::HashBytes(mSession.Str() + "\n" + std::to_string(++mCrashes)));
    for (const broken_request& broken : mBrokenRequests) {
      if (broken.at + kCrashWindow > aNow) {
        mSuspects.Add(broken.fingerprint, crash, aNow);
      }
    }
    mBrokenRequests.clear();
    DeclareLost("the upstream crashed", aNow);
  } else if (!aAnswered) {
    DeclareLost("the upstream answers neither requests nor a probe", aNow);
  }
}

void gate::DeclareLost(const std::string& aCause, common::boot_time aNow)
{
  if (mSlots.Slots() == 0) {
    return;
  }
  CloseUpstream(aNow);
  mEvents.push_back(upstream_lost_event{ aCause });
}

attempt_state gate::Resolve(const common::attempt_id& aAttempt, common::boot_time aNow)
{
  return mAttempts.Resolve(aAttempt, aNow);
}

refusal_reason gate::IssueTicket(common::key_hash aKey, common::boot_time aNow, uint64_t aNonce,
                                 std::string* aTicket)
{
  slice_state* slice = FindSlice(aKey);
  if (slice == nullptr || slice->moving) {
    return refusal_reason::kNotOwner;
  }
  if (!LeaseHeld(aNow)) {
    return refusal_reason::kLeaseLapsed;
  }
  *aTicket = mLedger.Issue(slice->slice, aKey, aNow, aNonce);
  return refusal_reason::kNone;
}

void gate::Tick(common::boot_time aNow, int64_t aUnixMs)
{
  mUnixMs = aUnixMs;
  for (gate_request* request : mQueue.TakeExpired(aNow)) {
    Refuse(*request, refusal_reason::kDeadlineInQueue, "", aNow);
  }
  std::vector<gate_request_ptr> expired;
  for (const auto& [token, request] : mRequests) {
    if (request->state == gate_state::kHeld && request->deadline <= aNow) {
      expired.push_back(request);
    }
  }
  for (const gate_request_ptr& request : expired) {
    Refuse(*request, refusal_reason::kDeadlineInQueue, "", aNow);
  }
  mLedger.Expire(aNow);
  mSuspects.Expire(aNow);
  mAttempts.Expire(aNow);
  std::erase_if(mBrokenRequests,
                [&](const broken_request& aItem) { return aItem.at + kCrashWindow <= aNow; });
  bool stalled = mSlots.InUse() > 0 && mLastProgress + mSettings.stallLimit <= aNow;
  if (stalled && mSlots.Slots() > 0 && !std::exchange(mProbing, true)) {
    mLastProgress = aNow;
    mEvents.push_back(probe_event{});
  }
  DispatchNext(aNow);
}

void gate::RefuseQueued(refusal_reason aReason, const std::string& aDetail, common::boot_time aNow)
{
  for (gate_request* request : mQueue.TakeAll()) {
    Refuse(*request, aReason, aDetail, aNow);
  }
}

void gate::Refuse(gate_request& aRequest, refusal_reason aReason, const std::string& aDetail,
                  common::boot_time aNow)
{
  ++mCounters.refusalsByRow[aRequest.row][aReason];
  mEvents.push_back(
    refuse_event{ aRequest.token, { aReason, aRequest.row, aRequest.tableVersion, aDetail } });
  bool ran = OutcomeOf(aReason) != run_outcome::kNotRun;
  EndRequest(aRequest, ran, NameOf(aReason), aDetail, aNow);
}

void gate::EndRequest(gate_request& aRequest, bool aRan, const std::string& aOutcome,
                      const std::string& aDetail, common::boot_time aNow)
{
  bool wasDispatched = aRequest.state == gate_state::kDispatched;
  bool wasQueued = aRequest.enqueuedAt != common::boot_time();
  request_trace record;
  record.id = aRequest.id;
  record.unixMs = mUnixMs;
  record.row = aRequest.row;
  record.tableVersion = aRequest.tableVersion;
  record.epoch = aRequest.slice.epoch;
  record.session = mSession;
  record.queuePosition = aRequest.queuePosition;
  record.queuedUs = !wasQueued      ? 0
                    : wasDispatched ? MicrosBetween(aRequest.enqueuedAt, aRequest.dispatchedAt)
                                    : MicrosBetween(aRequest.enqueuedAt, aNow);
  record.ranUs = wasDispatched ? MicrosBetween(aRequest.dispatchedAt, aNow) : 0;
  record.servedAhead = CountServedAhead(aRequest);
  record.outcome = aOutcome;
  record.detail = aDetail;
  mTraces.Add(std::move(record));
  if (!aRequest.attempt.Empty()) {
    mAttempts.End(aRequest.attempt, aRan);
  }
  aRequest.state = gate_state::kDone;
  mDispatchedBefore.erase(aRequest.token);
  std::erase_if(mHeldSuspects, [&](const gate_request_ptr& aHeld) { return aHeld == &aRequest; });
  // Erasing the last reference destroys the request, so its token is copied first.
  request_token token = aRequest.token;
  mRequests.erase(token);
}

common::json gate::CountServedAhead(const gate_request& aRequest) const
{
  common::json ahead = common::json::object();
  auto before = mDispatchedBefore.find(aRequest.token);
  if (before == mDispatchedBefore.end()) {
    return ahead;
  }
  for (const auto& [row, count] : mQueue.PoppedByRow()) {
    auto known = before->second.find(row);
    uint64_t served = count - (known == before->second.end() ? 0 : known->second);
    if (served > 0) {
      ahead[row.Str()] = served;
    }
  }
  return ahead;
}

void gate::ReleaseHeldSuspect()
{
  if (mDispatchedSuspect != request_token() || mHeldSuspects.empty()) {
    return;
  }
  gate_request_ptr next = mHeldSuspects.front();
  mHeldSuspects.erase(mHeldSuspects.begin());
  next->state = gate_state::kQueued;
  mQueue.Push(*next);
}

} // namespace bamboograde::request
