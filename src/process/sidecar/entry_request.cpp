#include "process/sidecar/entry_request.h"

#include "common/hash.h"
#include "process/sidecar/remote_attempt.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace bamboograde::process::sidecar {

namespace {

constexpr int kNotFound = 404;
constexpr int kBodyTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
// Failed health checks of a daemon after which a request with a large response is hedged.
constexpr unsigned kFailedChecksOfBulk = 2;
// Responses up to this size are buffered until complete, so that a failed attempt can still be
// retried.
constexpr size_t kMaxBufferedResponseBytes = size_t(64) * 1024;
// A request with a key is rejected at the latest at its next refusal after this many. The placement
// search limits the attempts of a request without a key.
constexpr unsigned kMaxRefusals = 3;
// Maximum fraction of a request's time spent waiting for the owner of its key.
constexpr double kMaxOwnerWaitShare = 0.2;
// Maximum Retry-After as a fraction of the caller's remaining time.
constexpr double kMaxRetryAfterShare = 0.3;
// Minimum remaining time for another attempt.
constexpr common::milliseconds kMinAttemptTime{ 20 };
constexpr common::milliseconds kMinRetryAfter{ 50 };
// For requests without a deadline on routes without a timeout.
constexpr common::milliseconds kDefaultTimeout{ 30000 };

common::microseconds Fraction(common::microseconds aTime, double aFraction)
{
  return common::microseconds(int64_t(double(aTime.count()) * aFraction));
}

// Host header without the port.
std::string HostOf(const connection::http::request_head& aHead)
{
  const std::string* host = aHead.headers.Find("Host");
  return host == nullptr ? std::string() : host->substr(0, host->find(':'));
}

std::string_view PathOf(const connection::http::request_head& aHead)
{
  std::string_view target = aHead.target;
  return target.substr(0, target.find('?'));
}

// Covers the part of the body that has arrived whenever a request is placed, so that it does not
// depend on the pieces in which the body arrives.
uint64_t Fingerprint(const common::service_name& aOrigin,
                     const connection::http::request_head& aHead, const std::string& aBody)
{
  std::string text = aOrigin.Str() + "\n" + aHead.method + "\n" + aHead.target + "\n";
  if (aHead.body.framing == connection::http::body_framing::kLength) {
    text += std::to_string(aHead.body.length) + "\n";
  }
  text.append(aBody, 0, request_body::kMaxBufferedBytes);
  return common::HashBytes(text);
}

} // namespace

entry_request::entry_request(entry_context& aContext,
                             connection::http::server_exchange_ptr aExchange)
  : mContext(aContext)
  , mExchange(std::move(aExchange))
  , mBody(mExchange)
  , mRelay(mExchange, kMaxBufferedResponseBytes)
  , mDeadline(aContext.process.loop, [this] { OnDeadline(); })
  , mArrivedAt(aContext.process.Now())
  , mSearch(aContext.placement)
{
}

void entry_request::Handle(entry_context& aContext,
                           const connection::http::server_exchange_ptr& aExchange)
{
  boost::intrusive_ptr<entry_request> self(new entry_request(aContext, aExchange));
  self->mSelf = self;
  ++aContext.process.inFlight;
  aExchange->SetObserver(self.get());
  if (self->ReadRequest() && self->mBody.ReadyToPlace()) {
    self->Place();
  }
}

bool entry_request::ReadRequest()
{
  runtime& process = mContext.process;
  process.counters.Add("bamboograde_requests_total");
  const version::route_config_ptr& config = process.fleet.Config();
  connection::http::request_head& head = mExchange->Head();
  request::caller_facts caller = process.headers.ReadCaller(head.headers);
  mFacts.id = caller.id;
  mFacts.deadline = mArrivedAt + caller.timeout.value_or(kDefaultTimeout);
  if (config == nullptr || mContext.closing) {
    Reject(mContext.closing ? "stopping" : "no_configuration", kMinRetryAfter);
    return false;
  }
  mConfigVersion = config->Version();
  const version::route_rule* route = config->Find(HostOf(head), PathOf(head));
  if (route == nullptr) {
    Fail(kNotFound, "no_route");
    return false;
  }
  bool tooLarge = config->Callers().maxBodyBytes > 0 &&
                  head.body.framing == connection::http::body_framing::kLength &&
                  head.body.length > config->Callers().maxBodyBytes;
  if (tooLarge) {
    Fail(kBodyTooLarge, "body_too_large");
    return false;
  }
  double total = 0;
  for (const version::weighted_service& part : route->services) {
    total += part.weight;
  }
  double pick = total * double(process.random.Below(UINT32_MAX)) / double(UINT32_MAX);
  mFacts.service = route->services.back().service;
  for (const version::weighted_service& part : route->services) {
    if (pick < part.weight) {
      mFacts.service = part.service;
      break;
    }
    pick -= part.weight;
  }
  common::milliseconds timeout =
    caller.timeout.value_or(route->timeout.count() > 0 ? route->timeout : kDefaultTimeout);
  if (route->timeout.count() > 0) {
    timeout = std::min(timeout, route->timeout);
  }
  mFacts.deadline = mArrivedAt + timeout;
  mFacts.target = mArrivedAt + route->targetLatency;
  mFacts.origin = process.settings.service;
  mFacts.work = route->name;
  mFacts.rank = route->rank;
  mFacts.idempotent = route->idempotent;
  mFacts.bulk = route->bulk;
  if (route->bulk) {
    mRelay.Pace(process.bulk, mFacts.deadline);
  }
  if (process.fleet.IsKeyed(mFacts.service)) {
    mFacts.key = caller.key.value_or(0);
  }
  bool outlivesProcess =
    mContext.stopping &&
    mContext.responseTimes.LatestEnd(mFacts.work, mArrivedAt, mFacts.deadline) > mContext.exitAt;
  if (outlivesProcess) {
    RejectWithLongestRetryAfter("stopping");
    return false;
  }
  mMaxAttempts = std::max(route->maxAttempts, 1U);
  mContext.budgets
    .try_emplace(mFacts.service,
                 request::shared_retry_budget_settings{ process.settings.bounds.retryRatio,
                                                        process.settings.bounds.retrySlack,
                                                        process.settings.bounds.retryWindow })
    .first->second.OnRequest(mArrivedAt);
  mDeadline.Arm(mFacts.deadline);
  connection::http::RemoveHopByHopHeaders(&head.headers);
  RemoveDaemonHeaders(&head.headers);
  return true;
}

void entry_request::Place()
{
  if (!mBodyTaken) {
    mBodyTaken = true;
    const connection::http::request_head& head = mExchange->Head();
    mFacts.fingerprint = Fingerprint(mFacts.origin, head, mBody.Take());
    if (!mBody.Whole()) {
      // The body is streamed and can not be sent again: the first refusal or failure is final.
      mMaxAttempts = 1;
      mRefusals = kMaxRefusals;
    }
  }
  if (mContext.gate.Suspects().IsRefused(mFacts.fingerprint)) {
    if (!mAttempts.empty()) {
      // A crash suspect runs at one upstream at a time.
      return;
    }
    PlaceTrial();
    return;
  }
  if (mFacts.key.has_value()) {
    PlaceKeyed(mContext.process.fleet.KeyMap(mFacts.service));
  } else {
    PlaceAnywhere();
  }
}

void entry_request::PlaceTrial()
{
  runtime& process = mContext.process;
  auto turn = mContext.gate.Suspects().TrialTurn(mFacts.fingerprint, process.Now());
  // One that waited for the owner of its key is placed again.
  bool hasRun = mOnTrial && !mFacts.key.has_value();
  if (!turn.has_value() || hasRun) {
    Reject("crash_suspect", common::microseconds(0));
    return;
  }
  mOnTrial = true;
  if (mFacts.key.has_value()) {
    PlaceKeyed(process.fleet.KeyMap(mFacts.service));
    return;
  }
  const version::route_config_ptr& config = process.fleet.Config();
  const version::route_rule* route =
    config->Find(HostOf(mExchange->Head()), PathOf(mExchange->Head()));
  std::vector<std::string> vms;
  for (const auto& item : process.fleet.Members().All()) {
    const version::member& member = item.second;
    bool ofRoute = route != nullptr &&
                   std::any_of(route->services.begin(), route->services.end(),
                               [&](const auto& aPart) { return aPart.service == member.service; });
    if (ofRoute && !member.stopping && !process.fleet.IsEvacuated(member.zone)) {
      vms.push_back(member.vm);
    }
  }
  const version::member* target =
    process.fleet.Members().Find(request::ChooseTrialVm(vms, mFacts.fingerprint, *turn));
  bool usable =
    target != nullptr && target->Serves(target->service) && !mContext.notices.IsLeaving(*target);
  if (!usable) {
    Reject("crash_suspect", common::microseconds(0));
    return;
  }
  mFacts.service = target->service;
  mFacts.onlyIfFree = false;
  StartAttempt(*target);
}

void entry_request::PlaceKeyed(const version::key_map_ptr& aMap)
{
  const version::key_owner* owner = aMap == nullptr ? nullptr : aMap->Find(*mFacts.key);
  const version::member* target =
    owner == nullptr ? nullptr : mContext.process.fleet.Members().Find(owner->vm);
  bool usable =
    target != nullptr && !mContext.placement.IsAvoided(target->vm, mContext.process.Now());
  bool stale = aMap != nullptr && mFacts.mapVersion == aMap->version;
  if (target != nullptr && !usable) {
    // The owner is unreachable; a takeover takes longer than a caller should wait.
    RejectWithLongestRetryAfter("owner_unreachable");
    return;
  }
  if (usable && KeysHaveNoSuccessor(*aMap, *target)) {
    RejectWithLongestRetryAfter("evacuated");
    return;
  }
  // The keys of an upstream that leaves are being handed off.
  bool closed = usable && mContext.process.Now() >= mContext.notices.ClosesAt(*target);
  if (!usable || stale || closed) {
    WaitForOwner();
    return;
  }
  mFacts.mapVersion = aMap->version;
  StartAttempt(*target);
}

// Whether the owner is in an evacuated zone, and no other zone has an owner for its keys.
bool entry_request::KeysHaveNoSuccessor(const version::key_map& aMap,
                                        const version::member& aOwner) const
{
  const fleet_state& fleet = mContext.process.fleet;
  return fleet.IsEvacuated(aOwner.zone) &&
         std::none_of(aMap.owners.begin(), aMap.owners.end(),
                      [&](const version::key_owner& aOther) {
                        const version::member* other = fleet.Members().Find(aOther.vm);
                        return other != nullptr && other->Serves(aMap.service) &&
                               !fleet.IsEvacuated(other->zone);
                      });
}

std::vector<const version::member*> entry_request::FindCandidates(
  std::vector<request::placement_candidate>* aCandidates) const
{
  const sidecar_settings& settings = mContext.process.settings;
  std::vector<const version::member*> members;
  for (const auto& [vm, member] : mContext.process.fleet.Members().All()) {
    bool here = vm == settings.vm;
    bool serves = here ? mContext.gate.Ready() && mContext.gate.Service() == mFacts.service
                       : member.Serves(mFacts.service);
    bool evacuated = mContext.process.fleet.IsEvacuated(member.zone);
    if (serves && !evacuated && !mContext.notices.IsLeaving(member)) {
      request::distance away = here                           ? request::distance::kSameVm
                               : member.zone == settings.zone ? request::distance::kSameZone
                                                              : request::distance::kOtherZone;
      aCandidates->push_back({ vm, away, member.slots });
      members.push_back(&member);
    }
  }
  return members;
}

void entry_request::PlaceAnywhere()
{
  common::boot_time now = mContext.process.Now();
  std::vector<request::placement_candidate> candidates;
  auto members = FindCandidates(&candidates);
  mContext.placement.OnReport(mContext.process.settings.vm, mContext.gate.Load(), now);
  // A retry takes any free slot, because it may not be queued.
  common::microseconds usualTime =
    mContext.usualTimes.SettledMean(UsualTimeKey()).value_or(common::microseconds(0));
  mFacts.usualTime = mSent == 0 ? usualTime : common::microseconds(0);
  mSearch.SetUsualTime(usualTime);
  auto step = mSearch.Next(candidates, now);
  if (!step.has_value()) {
    if (!mAttempts.empty()) {
      // No hedge for now; the attempts in flight go on.
      return;
    }
    if (mLastRefusal.empty()) {
      RejectWithLongestRetryAfter(candidates.empty() ? "no_upstream" : "unreachable");
      return;
    }
    Reject(mLastRefusal.c_str(), std::max<common::microseconds>(mRetryAfter, kMinRetryAfter));
    return;
  }
  // A body that is not buffered whole can not be offered to a second gate.
  mFacts.onlyIfFree = step->onlyIfFree && mBody.Whole();
  StartAttempt(*members[step->index]);
}

void entry_request::StartAttempt(const version::member& aTarget)
{
  boost::intrusive_ptr<entry_request> self(this);
  runtime& process = mContext.process;
  mLastVm = aTarget.vm;
  mFacts.namedLimit = mContext.notices.Limit(aTarget);
  mFacts.namedBy = aTarget.Incarnation();
  entry_attempt_ptr attempt(
    new entry_attempt(this, aTarget, mFacts.onlyIfFree, !mAttempts.empty(), process.Now()));
  mHedges += attempt->Hedge() ? 1 : 0;
  mAttempts.push_back(attempt);
  request::attempt_ptr running;
  if (aTarget.vm == process.settings.vm) {
    running =
      new local_attempt(process, mContext.gate, mExchange->Head(), mFacts, attempt->Observer());
  } else {
    running = new remote_attempt(process, mContext.placement, mContext.failureDetector, aTarget,
                                 mExchange->Head(), mFacts, attempt->Observer());
  }
  attempt->Start(std::move(running), mBody.Take(), mBody.Whole());
  if (attempt->Running() != nullptr) {
    // Sends the part of the body that has arrived since.
    mBody.Pump(*attempt->Running());
  }
}

void entry_request::Remove(entry_attempt& aAttempt, const char* aHedgeResult)
{
  if (aAttempt.Hedge()) {
    mContext.process.counters.Add(std::string("bamboograde_hedges_total{result=\"") + aHedgeResult +
                                  "\"}");
  }
  std::erase(mAttempts, &aAttempt);
}

void entry_request::Abandon(entry_attempt& aAttempt, const char* aReason)
{
  runtime& process = mContext.process;
  if (aAttempt.MayHaveRun()) {
    process.counters.Add(std::string("bamboograde_attempts_abandoned_total{reason=\"") + aReason +
                         "\"}");
  }
  if (mHedges > 0) {
    process.log.Write(line_class::kTrouble, "attempt_abandoned",
                      [&] { return DescribeAttempt(aAttempt, "abandoned", aReason); });
  }
  if (mResponder == &aAttempt) {
    mResponder = nullptr;
  }
  aAttempt.Cancel();
  Remove(aAttempt, aReason);
}

void entry_request::AbandonOthers(const entry_attempt* aAttempt, const char* aReason)
{
  std::vector<entry_attempt_ptr> attempts = mAttempts;
  for (const entry_attempt_ptr& attempt : attempts) {
    if (attempt.get() != aAttempt) {
      Abandon(*attempt, aReason);
    }
  }
}

void entry_request::WaitForOwner()
{
  common::boot_time now = mContext.process.Now();
  auto timeout = std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mArrivedAt);
  if (now > mArrivedAt + Fraction(timeout, kMaxOwnerWaitShare)) {
    RejectWithLongestRetryAfter(mLastRefusal.empty() ? "no_owner" : mLastRefusal.c_str());
    return;
  }
  mContext.waitingForOwner.insert(this);
}

void entry_request::RetryPlacement()
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.waitingForOwner.erase(this);
  // Allows another attempt at the same owner under the same map version.
  mFacts.mapVersion = common::row_version();
  Place();
}

void entry_request::CountSent(entry_attempt& aAttempt)
{
  mSent += aAttempt.Count() ? 1 : 0;
}

bool entry_request::TryTakeRetry()
{
  runtime& process = mContext.process;
  for (const entry_attempt_ptr& attempt : mAttempts) {
    CountSent(*attempt);
  }
  bool time = process.Now() + kMinAttemptTime < mFacts.deadline;
  if (mSent >= mMaxAttempts || !time || !mBody.Whole()) {
    return false;
  }
  if (std::exchange(mHoldsRetry, false)) {
    return true;
  }
  return mContext.budgets[mFacts.service].TryTake(process.fleet.RunningMemberCount(),
                                                  process.Now());
}

void entry_request::RestartSearch(const entry_attempt& aLast, bool aMayWait)
{
  mSearch.OnRefused(aLast.Target().vm);
  mSearch.Restart(aMayWait);
}

void entry_request::OnRequestBody()
{
  boost::intrusive_ptr<entry_request> self(this);
  // The rest of a body is not needed once the response is complete.
  if (mRelay.Ended()) {
    return;
  }
  if (!mAttempts.empty()) {
    // Only a request whose body is complete is hedged.
    mBody.Pump(*mAttempts.front()->Running());
  } else if (!mBodyTaken && mBody.ReadyToPlace()) {
    Place();
  }
}

void entry_request::OnCallerDisconnected()
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.process.counters.Add("bamboograde_callers_gone_total");
  mContext.process.log.Write(line_class::kRoutine, "caller_gone",
                             [this] { return Describe("cancelled", ""); });
  AbandonOthers(nullptr, "caller_gone");
  Release();
}

void entry_request::OnResponseWritable()
{
  mRelay.OnWritable();
}

void entry_request::OnHead(entry_attempt& aAttempt, connection::http::response_head& aHead)
{
  runtime& process = mContext.process;
  if (auto notice = process.headers.ReadNotice(aHead.headers); notice.has_value()) {
    mContext.notices.OnResponse(aAttempt.Target(), *notice,
                                process.Now() + process.settings.bounds.drain -
                                  upstream_gate::kDrainMargin);
  }
  if (aAttempt.OnlyIfFree()) {
    mContext.placement.OnFreeSlotQuery(true);
  }
  if (mResponder != nullptr) {
    bool replacesError =
      mRelay.Status() >= kFirstServerError && aHead.status < kFirstServerError && !mRelay.Started();
    if (!replacesError) {
      return;
    }
    mRelay.Discard();
  }
  mResponder = &aAttempt;
  mHoldsFailedResponse = false;
  mRelay.OnHead(aHead);
}

void entry_request::OnBody(entry_attempt& aAttempt, std::string_view aBytes)
{
  if (mResponder != &aAttempt) {
    return;
  }
  mRelay.OnBody(aBytes, aAttempt.Running());
  // Until then, another attempt can replace a response that breaks off.
  if (mRelay.Started()) {
    AbandonOthers(&aAttempt, "answered_elsewhere");
  }
}

void entry_request::OnEnd(entry_attempt& aAttempt)
{
  boost::intrusive_ptr<entry_request> self(this);
  if (mResponder != &aAttempt) {
    // Not used, because the response of another attempt had begun.
    OnFailed(aAttempt, { "answered_elsewhere" });
    return;
  }
  mResponder = nullptr;
  bool failed = mRelay.Status() >= kFirstServerError && !mRelay.Started();
  bool mayRepeat = mFacts.idempotent && !mFacts.key.has_value() && !mOnTrial;
  bool retries = failed && mayRepeat && (mAttempts.size() > 1 || TryTakeRetry());
  mLastVm = aAttempt.Target().vm;
  Remove(aAttempt, failed ? "failed" : "answered");
  if (retries) {
    CountSent(aAttempt);
    mEarlierAttemptMayHaveRun = true;
    mHoldsFailedResponse = true;
    if (!mAttempts.empty()) {
      mSearch.OnRefused(aAttempt.Target().vm);
      return;
    }
    mContext.process.counters.Add("bamboograde_repeats_total");
    mContext.process.log.Write(line_class::kTrouble, "repeated",
                               [this] { return Describe("repeated", "upstream_error"); });
    // Does not wait for a slot: a retry must not displace the first attempt of another request.
    RestartSearch(aAttempt, false);
    Place();
    return;
  }
  AbandonOthers(nullptr, "answered_elsewhere");
  runtime& process = mContext.process;
  auto spent = std::chrono::duration_cast<common::microseconds>(process.Now() - mArrivedAt);
  process.counters.Observe("bamboograde_request_seconds", spent);
  mContext.responseTimes.Add(mFacts.work, spent);
  if (aAttempt.OnlyIfFree() && !failed) {
    mContext.usualTimes.Add(UsualTimeKey(), std::chrono::duration_cast<common::microseconds>(
                                              process.Now() - aAttempt.StartedAt()));
  }
  CompleteResponse(failed);
}

void entry_request::CompleteResponse(bool aFailed)
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.process.counters.Add(aFailed ? "bamboograde_upstream_errors_total"
                                        : "bamboograde_answers_total");
  mContext.process.log.Write(
    aFailed ? line_class::kTrouble : line_class::kRoutine, "answered",
    [this] { return Describe("answered", std::to_string(mRelay.Status())); });
  // A complete response is delivered, even if writing it takes until after the deadline.
  mDeadline.Cancel();
  mRelay.OnEnd([this] { Release(); });
}

void entry_request::OnRefused(entry_attempt& aAttempt, const request::attempt_refusal& aRefusal)
{
  boost::intrusive_ptr<entry_request> self(this);
  Remove(aAttempt, "refused");
  bool othersGoOn = !mAttempts.empty();
  ++mRefusals;
  mLastRefusal = request::RefusalName(aRefusal.reason);
  mRetryAfter =
    mRetryAfter.count() == 0 ? aRefusal.retryAfter : std::min(mRetryAfter, aRefusal.retryAfter);
  common::boot_time now = mContext.process.Now();
  if (aRefusal.reason == request::attempt_refusal_reason::kUpstreamRefused) {
    // Sent to the same upstream again, the request could run while a late copy of this refusal is
    // taken for its response.
    bool mayRunUnnoticed = mFacts.key.has_value() && !mFacts.idempotent;
    CountSent(aAttempt);
    if (othersGoOn) {
      mSearch.OnRefused(aAttempt.Target().vm);
      return;
    }
    if (mayRunUnnoticed || !TryTakeRetry()) {
      Reject("upstream_refused", kMinRetryAfter);
      return;
    }
  }
  // A hedge that has not run leaves its retry to the next one.
  mHoldsRetry = mHoldsRetry || (aAttempt.Hedge() && othersGoOn);
  bool searches = !mFacts.key.has_value() && mBody.Whole();
  bool overloadedOwner =
    mFacts.key.has_value() && aRefusal.reason == request::attempt_refusal_reason::kOverloaded;
  // The placement search limits the number of gates to which a request without a key is offered.
  bool tryAgain = (searches || mRefusals <= kMaxRefusals) &&
                  now + kMinAttemptTime < mFacts.deadline && !mOnTrial &&
                  aRefusal.reason != request::attempt_refusal_reason::kCrashSuspect &&
                  !overloadedOwner;
  if (!tryAgain) {
    if (!othersGoOn) {
      Reject(mLastRefusal.c_str(), std::max<common::microseconds>(mRetryAfter, kMinRetryAfter));
    }
    return;
  }
  if (aRefusal.reason == request::attempt_refusal_reason::kBusy) {
    mSearch.OnBusy(aAttempt.Target().vm, aRefusal.retryAfter, aRefusal.completion);
  } else {
    mSearch.OnRefused(aAttempt.Target().vm);
  }
  if (!othersGoOn) {
    Place();
  } else if (AllSilent() && TryTakeRetry()) {
    PlaceHedge();
  }
}

void entry_request::OnFailed(entry_attempt& aAttempt, const request::attempt_failure& aFailure)
{
  boost::intrusive_ptr<entry_request> self(this);
  CountSent(aAttempt);
  mLastVm = aAttempt.Target().vm;
  Remove(aAttempt, "failed");
  bool responded = mResponder == &aAttempt;
  if (responded) {
    mResponder = nullptr;
  }
  if (responded && mRelay.Sent()) {
    mContext.process.counters.Add("bamboograde_cut_answers_total");
    mContext.process.log.Write(line_class::kTrouble, "answer_cut",
                               [&] { return Describe("aborted", aFailure.reason); });
    mExchange->Abort();
    Release();
    return;
  }
  if (responded) {
    mRelay.Discard();
  }
  mEarlierAttemptMayHaveRun = true;
  if (!mAttempts.empty()) {
    mSearch.OnRefused(aAttempt.Target().vm);
    return;
  }
  if (mFacts.idempotent && !mOnTrial && TryTakeRetry()) {
    mContext.process.counters.Add("bamboograde_repeats_total");
    mContext.process.log.Write(line_class::kTrouble, "repeated",
                               [&] { return Describe("repeated", aFailure.reason); });
    mFacts.mapVersion = common::row_version();
    RestartSearch(aAttempt, true);
    Place();
    return;
  }
  Fail(kBadGateway, aFailure.reason);
}

void entry_request::OnWritable(entry_attempt& aAttempt)
{
  mBody.Pump(*aAttempt.Running());
}

void entry_request::OnUnresponsive(entry_attempt& aAttempt, unsigned aFailedChecks)
{
  // Large responses delay the responses to pings on narrow links, and a hedge would add to that
  // load.
  bool mayBeDelay = mFacts.bulk && aFailedChecks < kFailedChecksOfBulk;
  // Only the owner of a key can serve its requests.
  bool mayRepeat = mFacts.idempotent && !mFacts.key.has_value() && !mOnTrial && !mRelay.Started();
  if (mayBeDelay || !mayRepeat || !AllSilent() || !TryTakeRetry()) {
    return;
  }
  mContext.process.pool.CloseIdleConnections(aAttempt.Target().forward);
  for (const entry_attempt_ptr& attempt : mAttempts) {
    mSearch.OnRefused(attempt->Target().vm);
  }
  // Most daemons are heard again soon, so the first hedge must not displace other requests.
  mSearch.Restart(aFailedChecks > 1);
  if (PlaceHedge()) {
    mContext.process.log.Write(line_class::kTrouble, "peer_unresponsive", [&] {
      return DescribeAttempt(aAttempt, "hedged", "peer is silent");
    });
  }
}

bool entry_request::AllSilent() const
{
  return std::all_of(mAttempts.begin(), mAttempts.end(), [this](const auto& aAttempt) {
    return mContext.failureDetector.IsSilent(aAttempt->Target().vm);
  });
}

bool entry_request::PlaceHedge()
{
  unsigned before = mHedges;
  Place();
  bool started = mHedges > before;
  mHoldsRetry = mHoldsRetry || !started;
  return started;
}

void entry_request::OnDeadline()
{
  boost::intrusive_ptr<entry_request> self(this);
  bool mayHaveRun = std::any_of(mAttempts.begin(), mAttempts.end(),
                                [](const auto& aAttempt) { return aAttempt->MayHaveRun(); });
  AbandonOthers(nullptr, "deadline");
  if (mRelay.Sent()) {
    mExchange->Abort();
    Release();
  } else if (mayHaveRun || mEarlierAttemptMayHaveRun) {
    Fail(kGatewayTimeout, "deadline");
  } else {
    Reject("deadline", common::microseconds(0));
  }
}

void entry_request::RejectWithLongestRetryAfter(const char* aReason)
{
  auto left =
    std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mContext.process.Now());
  Reject(aReason, Fraction(left, kMaxRetryAfterShare));
}

void entry_request::Reject(const char* aReason, common::microseconds aRetryAfter)
{
  if (mHoldsFailedResponse) {
    CompleteResponse(true);
    return;
  }
  // An earlier attempt of an idempotent request may have run, so the response must not say that it
  // did not.
  if (mEarlierAttemptMayHaveRun) {
    Fail(kBadGateway, aReason);
    return;
  }
  auto left =
    std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mContext.process.Now());
  common::microseconds pause = std::min(aRetryAfter, Fraction(left, kMaxRetryAfterShare));
  connection::http::response_head head;
  if (pause.count() > 0) {
    head.headers.Add("Retry-After", fmt::format("{:.3f}", double(pause.count()) / 1e6));
  }
  mContext.process.counters.Add(std::string("bamboograde_rejections_total{reason=\"") + aReason +
                                "\"}");
  mContext.process.log.Write(line_class::kTrouble, "rejected",
                             [&] { return Describe("rejected", aReason); });
  Respond(kUnavailable, std::move(head));
}

void entry_request::Fail(int aStatus, const std::string& aReason)
{
  if (mHoldsFailedResponse) {
    CompleteResponse(true);
    return;
  }
  mContext.process.counters.Add(
    fmt::format("bamboograde_failures_total{{status=\"{}\"}}", aStatus));
  mContext.process.log.Write(line_class::kTrouble, "failed",
                             [&] { return Describe("failed", aReason); });
  Respond(aStatus, {});
}

void entry_request::Respond(int aStatus, connection::http::response_head aHead)
{
  boost::intrusive_ptr<entry_request> self(this);
  aHead.status = aStatus;
  if (!mFacts.id.Empty()) {
    mContext.process.headers.WriteAnswered(mFacts.id, &aHead.headers);
  }
  mExchange->SetObserver(nullptr);
  mRelay.Discard();
  mExchange->Respond(std::move(aHead), "");
  Release();
}

void entry_request::Release()
{
  mExchange->SetObserver(nullptr);
  mContext.waitingForOwner.erase(this);
  mDeadline.Cancel();
  mRelay.Cancel();
  AbandonOthers(nullptr, "ended");
  if (mSelf != nullptr) {
    mContext.process.loop.Defer([self = mSelf] {});
    mSelf.reset();
    --mContext.process.inFlight;
  }
}

common::json entry_request::Describe(const char* aOutcome, const std::string& aReason) const
{
  auto spent =
    std::chrono::duration_cast<common::microseconds>(mContext.process.Now() - mArrivedAt);
  common::json line = { { "request", mFacts.id.Str() },
                        { "route", mFacts.work },
                        { "rank", mFacts.rank },
                        { "service", mFacts.service.Str() },
                        { "config", mConfigVersion.Value() },
                        { "outcome", aOutcome },
                        { "reason", aReason },
                        { "upstream_vm", mLastVm },
                        { "sent", mSent },
                        { "refusals", mRefusals },
                        { "spent_us", spent.count() } };
  if (mHedges > 0) {
    line["hedges"] = mHedges;
  }
  if (mFacts.key.has_value()) {
    line["key"] = *mFacts.key;
    line["map"] = common::EncodeVersion(mFacts.mapVersion);
  }
  return line;
}

common::json entry_request::DescribeAttempt(const entry_attempt& aAttempt, const char* aOutcome,
                                            const char* aReason) const
{
  const std::string& vm = aAttempt.Target().vm;
  common::json line = Describe(aOutcome, aReason);
  line["upstream_vm"] = vm;
  line["hedge"] = aAttempt.Hedge();
  line["attempt_us"] = (mContext.process.Now() - aAttempt.StartedAt()).count();
  line["silent_us"] = mContext.failureDetector.SilentFor(vm).count();
  return line;
}

} // namespace bamboograde::process::sidecar
