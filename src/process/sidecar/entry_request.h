// A request of a caller on this VM, from its arrival to its response.
#pragma once

#include "process/sidecar/entry_attempt.h"
#include "process/sidecar/failure_detector.h"
#include "process/sidecar/local_attempt.h"
#include "process/sidecar/request_body.h"
#include "process/sidecar/response_relay.h"
#include "process/sidecar/upstream_notices.h"
#include "request/placement_search.h"
#include "request/shared_retry_budget.h"

#include <set>

namespace bamboograde::process::sidecar {

// State shared by all requests of this daemon's callers.
struct entry_context
{
  runtime& process;
  upstream_gate& gate;
  request::placement& placement;
  failure_detector& failureDetector;
  upstream_notices& notices;
  // By route, from the arrival of a request to its response.
  request::mean_times& responseTimes;
  // By service and route, of requests that started at once at an upstream.
  request::mean_times& usualTimes;
  // Retry budgets by service.
  std::map<common::service_name, request::shared_retry_budget>& budgets;
  // Requests that wait until their key has a usable owner.
  std::set<class entry_request*>& waitingForOwner;
  // The daemon is stopping; requests in flight are finished.
  const bool& stopping;
  // When a stopping daemon exits, even with requests in flight.
  const common::boot_time& exitAt;
  // The daemon is about to exit; new requests are rejected.
  const bool& closing;
};

class entry_request
  : public boost::intrusive_ref_counter<entry_request, boost::thread_unsafe_counter>
  , private connection::http::exchange_observer
  , private entry_attempt_observer
{
public:
  static void Handle(entry_context& aContext,
                     const connection::http::server_exchange_ptr& aExchange);
  ~entry_request() override = default;
  // Looks for the owner again, after a change of the key map or after a delay.
  void RetryPlacement();

private:
  entry_request(entry_context& aContext, connection::http::server_exchange_ptr aExchange);

  bool ReadRequest();
  void Place();
  void PlaceKeyed(const version::key_map_ptr& aMap);
  void PlaceAnywhere();
  // Sends a crash suspect to the VM whose turn it is to run the trial, or rejects it.
  void PlaceTrial();
  bool KeysHaveNoSuccessor(const version::key_map& aMap, const version::member& aOwner) const;
  // Members with an upstream of the request's service, and the matching placement candidates by the
  // same index.
  std::vector<const version::member*> FindCandidates(
    std::vector<request::placement_candidate>* aCandidates) const;
  // Identifies the class in usualTimes.
  std::string UsualTimeKey() const { return mFacts.service.Str() + ' ' + mFacts.work; }
  void StartAttempt(const version::member& aTarget);
  void WaitForOwner();
  // Takes the attempt out of those in flight.
  void Remove(entry_attempt& aAttempt, const char* aHedgeResult);
  // Cancels an attempt in flight.
  void Abandon(entry_attempt& aAttempt, const char* aReason);
  // Abandons the attempts in flight except aAttempt, which may be null.
  void AbandonOthers(const entry_attempt* aAttempt, const char* aReason);
  // Counts an attempt that may have reached an upstream.
  void CountSent(entry_attempt& aAttempt);
  // Takes a retry from the budget, beside the attempts in flight. Returns whether there may be one.
  bool TryTakeRetry();
  // Whether no daemon of the attempts in flight responds to pings.
  bool AllSilent() const;
  // Starts another attempt beside those in flight, for which a retry was taken. Returns whether a
  // gate was found.
  bool PlaceHedge();
  // Restarts the search for an upstream, excluding the target of the last attempt. aMayWait: also
  // considers upstreams without a free slot.
  void RestartSearch(const entry_attempt& aLast, bool aMayWait);
  // Completes the response to the caller with the upstream's response. aFailed: the upstream
  // returned a server error.
  void CompleteResponse(bool aFailed);
  void OnDeadline();
  // Rejects with the longest Retry-After that leaves the caller time for another attempt.
  void RejectWithLongestRetryAfter(const char* aReason);
  // Responds that the request has not run and will not run.
  void Reject(const char* aReason, common::microseconds aRetryAfter);
  void Fail(int aStatus, const std::string& aReason);
  void Respond(int aStatus, connection::http::response_head aHead);
  void Release();
  common::json Describe(const char* aOutcome, const std::string& aReason) const;
  // Also describes one attempt, with the time since data last came from its daemon.
  common::json DescribeAttempt(const entry_attempt& aAttempt, const char* aOutcome,
                               const char* aReason) const;

  // exchange_observer
  void OnRequestBody() override;
  void OnCallerDisconnected() override;
  void OnResponseWritable() override;
  // entry_attempt_observer
  void OnHead(entry_attempt& aAttempt, connection::http::response_head& aHead) override;
  void OnBody(entry_attempt& aAttempt, std::string_view aBytes) override;
  void OnEnd(entry_attempt& aAttempt) override;
  void OnRefused(entry_attempt& aAttempt, const request::attempt_refusal& aRefusal) override;
  void OnFailed(entry_attempt& aAttempt, const request::attempt_failure& aFailure) override;
  void OnWritable(entry_attempt& aAttempt) override;
  // The request is hedged: tried elsewhere as well, where it may be repeated. A silent daemon is
  // seldom lost, so its attempt is abandoned only when another one has responded.
  void OnUnresponsive(entry_attempt& aAttempt, unsigned aFailedChecks) override;

  entry_context& mContext;
  connection::http::server_exchange_ptr mExchange;
  request_body mBody;
  response_relay mRelay;
  // Those in flight; more than one while the request is hedged.
  std::vector<entry_attempt_ptr> mAttempts;
  // The attempt in flight whose response the relay holds; null if there is none.
  const entry_attempt* mResponder = nullptr;
  request::request_facts mFacts;
  connection::http::loop_timer mDeadline;
  common::boot_time mArrivedAt;
  version::config_version mConfigVersion;
  unsigned mMaxAttempts = 1;
  // Attempts that have reached an upstream, or may have.
  unsigned mSent = 0;
  // One of these attempts may have run the request.
  bool mEarlierAttemptMayHaveRun = false;
  // Attempts that were refused without running the request.
  unsigned mRefusals = 0;
  // Attempts that were started beside others in flight.
  unsigned mHedges = 0;
  request::placement_search mSearch;
  // Where the request was last sent.
  std::string mLastVm;
  std::string mLastRefusal;
  common::microseconds mRetryAfter{ 0 };
  bool mBodyTaken = false;
  // The request runs as the trial of a crash suspect, at one upstream only.
  bool mOnTrial = false;
  // The relay holds the server error of an upstream, to be returned if no retry gets a response.
  bool mHoldsFailedResponse = false;
  // A retry was taken from the budget for a hedge that was not sent, or has not run.
  bool mHoldsRetry = false;
  boost::intrusive_ptr<entry_request> mSelf;
};

} // namespace bamboograde::process::sidecar
