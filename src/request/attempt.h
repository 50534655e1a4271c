// One try to have a request answered by one upstream, beside this daemon or beside another.
#pragma once

#include "common/json.h"
#include "connection/http/message.h"
#include "request/placement.h"
#include "version/route_config.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>

namespace bamboograde::request {

// Everything about a request that decisions need, apart from its bytes.
struct request_facts
{
  common::request_id id;
  common::service_name service;
  // The service beside which the request began.
  common::service_name origin;
  // Class of requests that take about the same time.
  std::string work;
  unsigned rank = 0;
  bool idempotent = false;
  std::optional<uint32_t> key;
  common::boot_time deadline;
  common::boot_time target;
  // Equal for equal requests of one caller; recognizes requests that crash upstreams.
  uint64_t fingerprint = 0;
  // Version of the key map by which the upstream was chosen.
  common::row_version mapVersion;
  // The request goes elsewhere rather than wait for a slot.
  bool onlyIfFree = false;
};

// Why a request was not given to an upstream.
enum class refusal_reason
{
  // It could not be answered before its deadline.
  kOverloaded,
  // No upstream of the service is beside this daemon, or it is leaving.
  kNoUpstream,
  // The key belongs to another upstream, or is on its way to one.
  kNotOwner,
  // The daemon could not be reached.
  kUnreachable,
  // The request has crashed upstreams.
  kCrashSuspect,
  // The upstream said that it did not run the request.
  kUpstreamRefused,
  // No slot is free, and the request asked for nothing else.
  kBusy,
};

std::string_view RefusalName(refusal_reason aReason);

// A request that certainly has not run.
struct attempt_refusal
{
  refusal_reason reason = refusal_reason::kUnreachable;
  // When trying again may succeed; how long the request would wait, when the gate is busy.
  common::microseconds retryAfter{ 0 };
};

// A request that may have run and has no answer.
struct attempt_failure
{
  std::string reason;
};

// Exactly one of OnAttemptEnd, OnAttemptRefused and OnAttemptFailed is called, last.
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
  // The daemon that was asked shows no sign of life. True: the request is sent elsewhere, and the
  // attempt should end as failed; false: it goes on waiting.
  virtual bool OnAttemptSilent() { return false; }
};

class attempt : public boost::intrusive_ref_counter<attempt, boost::thread_unsafe_counter>
{
public:
  virtual ~attempt() = default;
  // aBody: what has arrived of the request's body; aBodyDone: nothing follows.
  virtual void Start(std::string aBody, bool aBodyDone) = 0;
  virtual void SendBody(std::string_view aBytes) = 0;
  virtual void FinishBody() = 0;
  virtual bool Congested() const = 0;
  virtual void PauseResponse() = 0;
  virtual void ResumeResponse() = 0;
  // The answer is not wanted any more. No call to the observer follows.
  virtual void Cancel() = 0;
  // Whether the request may have reached the upstream.
  virtual bool MayHaveRun() const = 0;
};

using attempt_ptr = boost::intrusive_ptr<attempt>;

// Facts as one daemon tells them to another. Times are told as what is left of them.
common::json EncodeFacts(const request_facts& aFacts, common::boot_time aNow);
request_facts DecodeFacts(const common::json& aValue, common::boot_time aNow);
common::json EncodeRefusal(const attempt_refusal& aRefusal);
attempt_refusal DecodeRefusal(const common::json& aValue);
common::json EncodeLoad(const load_report& aReport);
load_report DecodeLoad(const common::json& aValue);

} // namespace bamboograde::request
