// The owner's admission, queueing and dispatch of requests, and the report whether each one ran.
//
// Does no I/O and reads no clock: calls carry the time, and results are returned as events, so
// tests can replay any order of events. Each daemon has one gate, for the upstream on its own VM.
#pragma once

#include "request/attempt_log.h"
#include "request/fair_queue.h"
#include "request/ledger.h"
#include "request/request_trace_log.h"
#include "request/row_limiter.h"
#include "request/slot_pool.h"
#include "request/suspect_list.h"

#include <unordered_map>
#include <variant>

namespace bamboograde::request {

// Checks that enforce the gate's guarantees. All are on in the daemon; a test switches one off to
// show that the fault which the check prevents does occur without it.
struct gate_guards
{
  // No dispatch after the lease has expired.
  bool leaseAtDispatch = true;
  // No response is delivered after the lease has expired or the slice has been lost.
  bool leaseAtResponse = true;
  // Non-idempotent requests need a ticket that the ledger accepts.
  bool tickets = true;
  // An attempt that was closed or has arrived before is refused.
  bool closedAttempts = true;
  // At most one crash suspect runs at a time.
  bool suspectsOneAtATime = true;
  // InFlight() of a range counts the requests that still run at the upstream, so that a hand-off
  // can wait for them. When off, it returns 0.
  bool waitForInFlight = true;
};

struct gate_settings
{
  size_t maxQueued = 2000;
  // The upstream is probed when requests are in flight and none has completed for this long.
  common::milliseconds stallLimit{ 400 };
  // Consecutive request timeouts after which the upstream counts as lost.
  unsigned maxFailuresInRow = 5;
  size_t traceCapacity = 20000;
  ledger_settings ledgerSettings;
  gate_guards guards;
};

// How a dispatch to the upstream ended.
enum class dispatch_result
{
  kAnswered,
  // The upstream reported that it refused the request before running any of it.
  kShed,
  // The connection could not be opened.
  kNotConnected,
  // The caller closed its connection before the request was sent to the upstream.
  kNotSent,
  // The connection broke after the request was sent; it may have run.
  kBroken,
  kTimeout,
  // The caller closed its connection after the request was sent; it may have run.
  kCancelled,
};

struct dispatch_event
{
  request_token token;
  common::session_id session;
  common::slice_epoch epoch;
  common::boot_time leaseEnd;
};

struct refuse_event
{
  request_token token;
  refusal why;
};

// A retry is answered with the response that was recorded for its ticket.
struct replay_event
{
  request_token token;
  connection::http_response answer;
  common::row_id row;
  common::table_version tableVersion;
};

// The upstream's response may be sent to the caller.
struct deliver_event
{
  request_token token;
  common::row_id row;
  common::table_version tableVersion;
  common::slice_epoch epoch;
};

// Asks for a health check: whether the upstream still accepts connections and answers.
struct probe_event
{};

// The upstream is lost; the daemon should release its slices at once.
struct upstream_lost_event
{
  // The observation that led to this conclusion, for people.
  std::string cause;
};

using gate_event = std::variant<dispatch_event, refuse_event, replay_event, deliver_event,
                                probe_event, upstream_lost_event>;

// Not synchronized; the task that owns the gate publishes them.
struct gate_counters
{
  uint64_t submitted = 0;
  uint64_t dispatched = 0;
  uint64_t answered = 0;
  uint64_t replayed = 0;
  std::map<common::row_id, uint64_t> requestsByRow;
  std::map<common::row_id, std::map<refusal_reason, uint64_t>> refusalsByRow;
};

class gate
{
public:
  gate(gate_settings aSettings, common::service_name aService, std::string aSecret);

  // Sets the slices that this daemon owns. Queued requests for slices that are no longer listed are
  // refused as not owned.
  void SetOwnership(const common::session_id& aSession, std::vector<version::owned_slice> aSlices,
                    common::boot_time aNow);
  void SetLease(common::boot_time aEnd) { mLeaseEnd = aEnd; }
  // Starts the hand-off of a slice: its queued and new requests are held until EndMove().
  void BeginMove(const version::slice_range& aRange);
  // Number of requests of the range that run at the upstream.
  size_t InFlight(const version::slice_range& aRange) const;
  // Ends the hand-off and admits the held requests again. aMoved: another owner has the slice now.
  void EndMove(const version::slice_range& aRange, bool aMoved, common::boot_time aNow);

  void SetTable(version::table_ptr aTable);
  void OpenUpstream(size_t aSlots, common::boot_time aNow, common::boot_time aColdUntil);
  // The upstream accepts no new work: queued requests are refused, those in flight continue.
  void CloseUpstream(common::boot_time aNow);
  void OnProbe(bool aConnected, bool aAnswered, common::boot_time aNow);

  void Submit(gate_request_ptr aRequest, common::boot_time aNow);
  // The caller closed its connection. Ends a request that has not been dispatched; has no effect on
  // one that has.
  void Cancel(request_token aToken, common::boot_time aNow);
  void Finish(request_token aToken, dispatch_result aResult,
              const connection::http_response& aResponse, common::boot_time aNow);
  attempt_state Resolve(const common::attempt_id& aAttempt, common::boot_time aNow);
  // Issues a ticket for the key, or returns why this daemon can not.
  refusal_reason IssueTicket(common::key_hash aKey, common::boot_time aNow, uint64_t aNonce,
                             std::string* aTicket);
  // Refuses and removes what has expired, and checks the upstream for stalls. Call at least every
  // few milliseconds while requests are queued.
  void Tick(common::boot_time aNow, int64_t aUnixMs);

  std::vector<gate_event> TakeEvents() { return std::exchange(mEvents, {}); }
  bool LeaseHeld(common::boot_time aNow) const { return aNow < mLeaseEnd; }
  size_t Queued() const { return mQueue.Size(); }
  size_t InFlight() const { return mSlots.InUse(); }
  const gate_counters& Counters() const { return mCounters; }
  row_limiter& Limiter() { return mLimiter; }
  suspect_list& Suspects() { return mSuspects; }
  ledger& Ledger() { return mLedger; }
  request_trace_log& Traces() { return mTraces; }

private:
  struct slice_state
  {
    version::owned_slice slice;
    bool moving = false;
  };

  struct broken_request
  {
    uint64_t fingerprint;
    common::boot_time at;
  };

  slice_state* FindSlice(common::key_hash aHash);
  bool Owns(const version::owned_slice& aSlice) const;
  void Admit(const gate_request_ptr& aRequest, common::boot_time aNow);
  // kNone when the request may be queued; sets aReplay when the recorded response is to be
  // returned.
  refusal_reason CheckTicket(const gate_request& aRequest, common::boot_time aNow,
                             const connection::http_response** aReplay);
  refusal_reason CheckQueue(const gate_request& aRequest, common::boot_time aNow) const;
  void DispatchNext(common::boot_time aNow);
  // Holds a crash suspect while another one runs. False when the request may be dispatched.
  bool HoldIfSuspect(gate_request& aRequest);
  void Dispatch(gate_request& aRequest, common::boot_time aNow);
  void FinishWithResponse(gate_request& aRequest, const connection::http_response& aResponse,
                          common::boot_time aNow);
  void FinishWithoutResponse(gate_request& aRequest, dispatch_result aResult,
                             common::boot_time aNow);
  void RefuseQueued(refusal_reason aReason, const std::string& aDetail, common::boot_time aNow);
  void Refuse(gate_request& aRequest, refusal_reason aReason, const std::string& aDetail,
              common::boot_time aNow);
  void EndRequest(gate_request& aRequest, bool aRan, const std::string& aOutcome,
                  const std::string& aDetail, common::boot_time aNow);
  void ReleaseHeldSuspect();
  void DeclareLost(const std::string& aCause, common::boot_time aNow);
  // Requests of each row that were dispatched while this one was queued.
  common::json CountServedAhead(const gate_request& aRequest) const;

  gate_settings mSettings;
  common::service_name mService;
  version::table_ptr mTable;
  common::session_id mSession;
  common::boot_time mLeaseEnd;
  std::vector<slice_state> mSlices;
  fair_queue mQueue;
  row_limiter mLimiter;
  slot_pool mSlots;
  ledger mLedger;
  suspect_list mSuspects;
  attempt_log mAttempts;
  request_trace_log mTraces;
  std::unordered_map<request_token, gate_request_ptr, common::id_hash> mRequests;
  // Dispatch counts of the rows at the time when a request was queued.
  std::unordered_map<request_token, std::map<common::row_id, uint64_t>, common::id_hash>
    mDispatchedBefore;
  std::vector<gate_request_ptr> mHeldSuspects;
  request_token mDispatchedSuspect;
  std::vector<broken_request> mBrokenRequests;
  // Crashes of the upstream that this gate has seen.
  uint64_t mCrashes = 0;
  common::boot_time mLastProgress;
  bool mProbing = false;
  unsigned mFailuresInRow = 0;
  int64_t mUnixMs = 0;
  gate_counters mCounters;
  std::vector<gate_event> mEvents;
};

} // namespace bamboograde::request
