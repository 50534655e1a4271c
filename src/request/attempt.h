// One attempt to have a request answered by one upstream, on this VM or through the daemon of
// another VM.
#pragma once

#include "common/json.h"
#include "connection/http/message.h"
#include "request/placement.h"
#include "request/upstream_notice.h"
#include "version/member.h"
#include "version/route_config.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>

namespace bamboograde::request {

// What the daemons need to know of a request to route and admit it, without its method, headers and
// body.
struct request_facts
{
  common::request_id id;
  common::service_name service;
  // The service whose instance sent the request.
  common::service_name origin;
  // Class of requests that take about the same time.
  std::string work;
  unsigned rank = 0;
  bool idempotent = false;
  std::optional<uint32_t> key;
  common::boot_time deadline;
  // End of the target latency.
  common::boot_time target;
  // Equal for equal requests of one caller; identifies requests that crash upstreams.
  uint64_t fingerprint = 0;
  // Version of the key map with which the upstream was chosen.
  common::row_version mapVersion;
  // Query for a free slot: the gate refuses the request rather than queue it.
  bool onlyIfFree = false;
  // The limit that the entry daemon has passed on to callers, and the upstream that named it.
  std::optional<request_rate> namedLimit;
  version::upstream_incarnation namedBy;
  // Time that requests of this class usually take at the upstreams of the service, as the entry
  // daemon sees it; 0 when it does not know.
  common::microseconds usualTime{ 0 };
  // The response is large.
  bool bulk = false;
};

// Why an attempt ended without running the request.
enum class attempt_refusal_reason
{
  // It could not be answered before its deadline.
  kOverloaded,
  // No upstream of the service is on the daemon's VM, or that upstream is draining.
  kNoUpstream,
  // Another upstream owns the key, or the key is in a hand-off to another upstream.
  kNotOwner,
  // The daemon could not be reached.
  kUnreachable,
  // The request was in flight at too many crashes of upstreams.
  kCrashSuspect,
  // The upstream reported that it did not run the request.
  kUpstreamRefused,
  // No slot is free, and onlyIfFree forbids queueing; or the request would take much longer than
  // usualTime.
  kBusy,
};

std::string_view RefusalName(attempt_refusal_reason aReason);

// End of an attempt whose request certainly did not run.
struct attempt_refusal
{
  attempt_refusal_reason reason = attempt_refusal_reason::kUnreachable;
  // Time after which a retry may succeed; for kBusy, the expected wait in the gate's queue.
  common::microseconds retryAfter{ 0 };
  // For kBusy: expected time until the request would be complete, if the gate knows the speed of
  // its upstream; else 0.
  common::microseconds completion{ 0 };
};

// End of an attempt without a response whose request may have run.
struct attempt_failure
{
  std::string reason;
};

// Receives the response of an attempt. The last call is exactly one of OnAttemptEnd,
// OnAttemptRefused and OnAttemptFailed.
class attempt_observer
{
public:
  virtual ~attempt_observer() = default;
  virtual void OnAttemptHead(connection::http::response_head& aHead) = 0;
  virtual void OnAttemptBody(std::string_view aBytes) = 0;
  virtual void OnAttemptEnd() = 0;
  virtual void OnAttemptRefused(const attempt_refusal& aRefusal) = 0;
  virtual void OnAttemptFailed(const attempt_failure& aFailure) = 0;
  // More of the request's body may be sent.
  virtual void OnAttemptWritable() {}
  // The remote daemon has failed that many health checks since it was last heard. The attempt goes
  // on.
  virtual void OnAttemptUnresponsive(unsigned aFailedChecks) {}
};

class attempt : public boost::intrusive_ref_counter<attempt, boost::thread_unsafe_counter>
{
public:
  virtual ~attempt() = default;
  // aBody: the part of the request's body that has arrived. aBodyDone: it is the whole body.
  virtual void Start(std::string aBody, bool aBodyDone) = 0;
  virtual void SendBody(std::string_view aBytes) = 0;
  virtual void FinishBody() = 0;
  // Whether the sender of the body should pause until OnAttemptWritable.
  virtual bool Congested() const = 0;
  virtual void PauseResponse() = 0;
  virtual void ResumeResponse() = 0;
  // Gives up the attempt. The observer is not called afterwards.
  virtual void Cancel() = 0;
  // Whether the request may have reached the upstream.
  virtual bool MayHaveRun() const = 0;
};

using attempt_ptr = boost::intrusive_ptr<attempt>;

// Encoding between daemons. Times are encoded as remaining microseconds, because clocks differ.
common::json EncodeFacts(const request_facts& aFacts, common::boot_time aNow);
request_facts DecodeFacts(const common::json& aValue, common::boot_time aNow);
common::json EncodeRefusal(const attempt_refusal& aRefusal);
attempt_refusal DecodeRefusal(const common::json& aValue);
common::json EncodeLoad(const load_report& aReport);
load_report DecodeLoad(const common::json& aValue);

} // namespace bamboograde::request
