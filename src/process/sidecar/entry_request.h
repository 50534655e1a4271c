// A request of a caller on this VM, from its arrival to its answer.
#pragma once

#include "process/sidecar/local_attempt.h"
#include "process/sidecar/peer_watch.h"
#include "process/sidecar/request_body.h"
#include "process/sidecar/response_relay.h"
#include "request/placement_search.h"
#include "request/shared_budget.h"

#include <set>

namespace bamboograde::process::sidecar {

// What all requests of this daemon's callers share.
struct entry_context
{
  runtime& process;
  upstream_gate& gate;
  request::placement& placement;
  peer_watch& watch;
  // Budget of repeats, by service.
  std::map<common::service_name, request::shared_budget>& budgets;
  // Requests that wait for a change of a key map.
  std::set<class entry_request*>& waiting;
  // The daemon stops: what is in flight is finished.
  const bool& stopping;
  // The daemon ends soon: whoever still comes is sent away.
  const bool& closing;
};

class entry_request
  : public boost::intrusive_ref_counter<entry_request, boost::thread_unsafe_counter>
  , private connection::http::exchange_observer
  , private request::attempt_observer
{
public:
  static void Handle(entry_context& aContext,
                     const connection::http::server_exchange_ptr& aExchange);
  ~entry_request() override = default;
  // The key map has changed, or some time has passed: looks for the owner again.
  void Reconsider();

private:
  entry_request(entry_context& aContext, connection::http::server_exchange_ptr aExchange);

  bool Accept();
  void Place();
  void PlaceKeyed(const version::key_map_ptr& aMap);
  void PlaceAnywhere();
  // Daemons with an upstream of the request's service, and what placement knows of them.
  std::vector<const version::member*> FindCandidates(
    std::vector<request::placement_candidate>* aCandidates) const;
  void Begin(const version::member& aTarget);
  void WaitForOwner();
  bool MayRepeat();
  // Looks for another upstream than the last one. aMayWait: also where no slot is free.
  void SearchAnew(bool aMayWait);
  // Passes on the end of the upstream's answer. aFailed: the upstream failed the request.
  void EndAnswer(bool aFailed);
  void OnDeadline();
  // Answers that the request has not run and will not.
  // As Reject, with the longest pause that callers keep to.
  void RejectLater(const char* aReason);
  void Reject(const char* aReason, common::microseconds aRetryAfter);
  void Fail(int aStatus, const std::string& aReason);
  void Respond(int aStatus, connection::http::response_head aHead);
  void Release();
  common::json Describe(const char* aOutcome, const std::string& aReason) const;

  // exchange_observer
  void OnRequestBody() override;
  void OnCallerGone() override;
  void OnResponseWritable() override;
  // attempt_observer
  void OnAttemptHead(connection::http::response_head& aHead) override;
  void OnAttemptBody(std::string_view aBytes) override;
  void OnAttemptEnd() override;
  void OnAttemptRefused(const request::attempt_refusal& aRefusal) override;
  void OnAttemptFailed(const request::attempt_failure& aFailure) override;
  void OnAttemptWritable() override;
  bool OnAttemptSilent() override;

  entry_context& mContext;
  connection::http::server_exchange_ptr mExchange;
  request_body mBody;
  response_relay mRelay;
  request::attempt_ptr mAttempt;
  request::request_facts mFacts;
  connection::http::loop_timer mDeadline;
  common::boot_time mArrivedAt;
  version::config_version mConfigVersion;
  unsigned mMaxAttempts = 1;
  // Upstreams that the request has reached, or may have.
  unsigned mSent = 0;
  // One of them may have run it.
  bool mMayHaveRun = false;
  // Placements that ended without the request being sent.
  unsigned mRefusals = 0;
  request::placement_search mSearch;
  std::string mTarget;
  std::string mLastRefusal;
  common::microseconds mRetryAfter{ 0 };
  bool mPlaced = false;
  // The whole answer of an upstream that failed the request, in case that no other one answers.
  bool mHoldsAnswer = false;
  // A repeat has been taken from the budget ahead of the attempt's end.
  bool mRepeatGranted = false;
  boost::intrusive_ptr<entry_request> mSelf;
};

} // namespace bamboograde::process::sidecar
