#include "process/sidecar/entry_request.h"

#include "common/hash.h"
#include "process/sidecar/remote_attempt.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace bamboograde::process::sidecar {

namespace {

constexpr int kNotFound = 404;
constexpr int kBodyTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
// Answers up to this size are held until they are whole.
constexpr size_t kHoldBytes = size_t(64) * 1024;
// Placements of one request that may end with "not sent" before it is rejected.
constexpr unsigned kMaxRefusals = 3;
// Waiting for the owner of a key uses at most this share of a request's time.
constexpr double kOwnerWaitShare = 0.2;
// Callers come back after at most this share of the time that they have left.
constexpr double kMaxReturnShare = 0.3;
// A second upstream needs at least this much time to be worth asking.
constexpr common::milliseconds kLeastTime{ 20 };
constexpr common::milliseconds kFirstRetryAfter{ 50 };
// Requests without a deadline on routes without a time-out.
constexpr common::milliseconds kDefaultPatience{ 30000 };

common::microseconds Share(common::microseconds aTime, double aShare)
{
  return common::microseconds(int64_t(double(aTime.count()) * aShare));
}

// The host without its port.
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

} // namespace

entry_request::entry_request(entry_context& aContext,
                             connection::http::server_exchange_ptr aExchange)
  : mContext(aContext)
  , mExchange(std::move(aExchange))
  , mBody(mExchange)
  , mRelay(mExchange, kHoldBytes)
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
  if (self->Accept() && self->mBody.Placeable()) {
    self->Place();
  }
}

bool entry_request::Accept()
{
  runtime& process = mContext.process;
  process.counters.Add("bamboograde_requests_total");
  const version::route_config_ptr& config = process.fleet.Config();
  connection::http::request_head& head = mExchange->Head();
  request::caller_facts caller = process.headers.ReadCaller(head.headers);
  mFacts.id = caller.id;
  mFacts.deadline = mArrivedAt + caller.patience.value_or(kDefaultPatience);
  if (config == nullptr || mContext.closing) {
    Reject(mContext.closing ? "stopping" : "no_configuration", kFirstRetryAfter);
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
  common::milliseconds patience =
    caller.patience.value_or(route->timeout.count() > 0 ? route->timeout : kDefaultPatience);
  if (route->timeout.count() > 0) {
    patience = std::min(patience, route->timeout);
  }
  mFacts.deadline = mArrivedAt + patience;
  mFacts.target = mArrivedAt + route->targetLatency;
  mFacts.origin = process.settings.service;
  mFacts.work = route->name;
  mFacts.rank = route->rank;
  mFacts.idempotent = route->idempotent;
  if (process.fleet.IsKeyed(mFacts.service)) {
    mFacts.key = caller.key.value_or(0);
  }
  mMaxAttempts = std::max(route->maxAttempts, 1U);
  mContext.budgets
    .try_emplace(mFacts.service, request::budget_terms{ process.settings.bounds.retryRatio,
                                                        process.settings.bounds.retrySlack,
                                                        process.settings.bounds.retryWindow })
    .first->second.OnRequest(mArrivedAt);
  mDeadline.Arm(mFacts.deadline);
  connection::http::RemoveHopHeaders(&head.headers);
  return true;
}

void entry_request::Place()
{
  if (!mPlaced) {
    mPlaced = true;
    const connection::http::request_head& head = mExchange->Head();
    std::string body = mBody.Take();
    mFacts.fingerprint = common::HashBytes(mFacts.origin.Str() + "\n" + head.method + "\n" +
                                           head.target + "\n" + body);
    if (!mBody.Whole()) {
      // Passed on as it arrives; it can not be sent a second time.
      mMaxAttempts = 1;
      mRefusals = kMaxRefusals;
    }
  }
  if (mContext.gate.Suspects().IsRefused(mFacts.fingerprint)) {
    Reject("crash_suspect", common::microseconds(0));
    return;
  }
  if (mFacts.key.has_value()) {
    PlaceKeyed(mContext.process.fleet.KeyMap(mFacts.service));
  } else {
    PlaceAnywhere();
  }
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
    // The owner is lost; whoever takes over needs longer than a caller should be held.
    RejectLater("owner_unreachable");
    return;
  }
  if (!usable || stale) {
    WaitForOwner();
    return;
  }
  mFacts.mapVersion = aMap->version;
  Begin(*target);
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
    if (serves) {
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
  auto step = mSearch.Next(candidates, now);
  if (!step.has_value()) {
    if (mLastRefusal.empty()) {
      RejectLater(candidates.empty() ? "no_upstream" : "unreachable");
      return;
    }
    Reject(mLastRefusal.c_str(), std::max<common::microseconds>(mRetryAfter, kFirstRetryAfter));
    return;
  }
  // A body that is not kept can not be offered to a second gate.
  mFacts.onlyIfFree = step->onlyIfFree && mBody.Whole();
  Begin(*members[step->index]);
}

void entry_request::Begin(const version::member& aTarget)
{
  boost::intrusive_ptr<entry_request> self(this);
  mTarget = aTarget.vm;
  if (aTarget.vm == mContext.process.settings.vm) {
    mAttempt = new local_attempt(mContext.process, mContext.gate, mExchange->Head(), mFacts, this);
  } else {
    mAttempt = new remote_attempt(mContext.process, mContext.placement, mContext.watch, aTarget,
                                  mExchange->Head(), mFacts, this);
  }
  request::attempt_ptr attempt = mAttempt;
  attempt->Start(mBody.Take(), mBody.Whole());
  if (mAttempt == attempt) {
    // What has arrived while the request waited to be placed.
    mBody.Pump(*attempt);
  }
}

void entry_request::WaitForOwner()
{
  common::boot_time now = mContext.process.Now();
  auto patience = std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mArrivedAt);
  if (now > mArrivedAt + Share(patience, kOwnerWaitShare)) {
    RejectLater(mLastRefusal.empty() ? "no_owner" : mLastRefusal.c_str());
    return;
  }
  mContext.waiting.insert(this);
}

void entry_request::Reconsider()
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.waiting.erase(this);
  // After a pause the same owner may be asked again.
  mFacts.mapVersion = common::row_version();
  Place();
}

// Whether the request may go to another upstream after one to which it may have been sent.
bool entry_request::MayRepeat()
{
  runtime& process = mContext.process;
  ++mSent;
  bool time = process.Now() + kLeastTime < mFacts.deadline;
  if (mSent >= mMaxAttempts || !time || !mBody.Whole()) {
    return false;
  }
  return mContext.budgets[mFacts.service].TryTake(process.fleet.LiveMembers(), process.Now());
}

void entry_request::SearchAnew(bool aMayWait)
{
  mSearch.OnRefused(mTarget);
  mSearch.Restart(aMayWait);
}

void entry_request::OnRequestBody()
{
  boost::intrusive_ptr<entry_request> self(this);
  if (mAttempt != nullptr) {
    mBody.Pump(*mAttempt);
  } else if (!mPlaced && mBody.Placeable()) {
    Place();
  }
}

void entry_request::OnCallerGone()
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.process.counters.Add("bamboograde_callers_gone_total");
  mContext.process.log.Write(line_class::kRoutine, "caller_gone",
                             [this] { return Describe("cancelled", ""); });
  if (mAttempt != nullptr) {
    mAttempt->Cancel();
  }
  Release();
}

void entry_request::OnResponseWritable()
{
  if (mAttempt != nullptr) {
    mRelay.OnWritable(*mAttempt);
  }
}

void entry_request::OnAttemptHead(connection::http::response_head& aHead)
{
  mHoldsAnswer = false;
  if (mFacts.onlyIfFree) {
    mContext.placement.OnAsked(true);
  }
  mRelay.OnHead(aHead);
}

void entry_request::OnAttemptBody(std::string_view aBytes)
{
  mRelay.OnBody(aBytes, *mAttempt);
}

void entry_request::OnAttemptEnd()
{
  boost::intrusive_ptr<entry_request> self(this);
  bool failed = mRelay.Status() >= kFirstServerError && !mRelay.Started();
  if (failed && mFacts.idempotent && !mFacts.key.has_value() && MayRepeat()) {
    mMayHaveRun = true;
    mContext.process.counters.Add("bamboograde_repeats_total");
    mContext.process.log.Write(line_class::kTrouble, "repeated",
                               [this] { return Describe("repeated", "upstream_error"); });
    mHoldsAnswer = true;
    // While others wait for a slot, a second try would take the place of a first one.
    SearchAnew(false);
    Place();
    return;
  }
  runtime& process = mContext.process;
  auto spent = std::chrono::duration_cast<common::microseconds>(process.Now() - mArrivedAt);
  process.counters.Observe("bamboograde_request_seconds", spent);
  EndAnswer(failed);
}

void entry_request::EndAnswer(bool aFailed)
{
  boost::intrusive_ptr<entry_request> self(this);
  mContext.process.counters.Add(aFailed ? "bamboograde_upstream_errors_total"
                                        : "bamboograde_answers_total");
  mContext.process.log.Write(
    aFailed ? line_class::kTrouble : line_class::kRoutine, "answered",
    [this] { return Describe("answered", std::to_string(mRelay.Status())); });
  mRelay.OnEnd();
  Release();
}

void entry_request::OnAttemptRefused(const request::attempt_refusal& aRefusal)
{
  boost::intrusive_ptr<entry_request> self(this);
  mAttempt.reset();
  ++mRefusals;
  mLastRefusal = request::RefusalName(aRefusal.reason);
  mRetryAfter =
    mRetryAfter.count() == 0 ? aRefusal.retryAfter : std::min(mRetryAfter, aRefusal.retryAfter);
  common::boot_time now = mContext.process.Now();
  if (aRefusal.reason == request::refusal_reason::kUpstreamRefused && !MayRepeat()) {
    Reject("upstream_refused", kFirstRetryAfter);
    return;
  }
  bool searches = !mFacts.key.has_value() && mBody.Whole();
  bool overloadedOwner =
    mFacts.key.has_value() && aRefusal.reason == request::refusal_reason::kOverloaded;
  // The search itself ends when enough gates were asked.
  bool tryAgain = (searches || mRefusals <= kMaxRefusals) && now + kLeastTime < mFacts.deadline &&
                  aRefusal.reason != request::refusal_reason::kCrashSuspect && !overloadedOwner;
  if (!tryAgain) {
    Reject(mLastRefusal.c_str(), std::max<common::microseconds>(mRetryAfter, kFirstRetryAfter));
    return;
  }
  if (aRefusal.reason == request::refusal_reason::kBusy) {
    mSearch.OnBusy(mTarget, aRefusal.retryAfter);
  } else {
    mSearch.OnRefused(mTarget);
  }
  Place();
}

void entry_request::OnAttemptFailed(const request::attempt_failure& aFailure)
{
  boost::intrusive_ptr<entry_request> self(this);
  mAttempt.reset();
  if (mRelay.Started()) {
    mContext.process.counters.Add("bamboograde_cut_answers_total");
    mContext.process.log.Write(line_class::kTrouble, "answer_cut",
                               [&] { return Describe("aborted", aFailure.reason); });
    mExchange->Abort();
    Release();
    return;
  }
  if (!mHoldsAnswer) {
    mRelay.Discard();
  }
  mMayHaveRun = true;
  bool granted = mRepeatGranted;
  mRepeatGranted = false;
  if (mFacts.idempotent && (granted || MayRepeat())) {
    mContext.process.counters.Add("bamboograde_repeats_total");
    mContext.process.log.Write(line_class::kTrouble, "repeated",
                               [&] { return Describe("repeated", aFailure.reason); });
    mFacts.mapVersion = common::row_version();
    SearchAnew(true);
    Place();
    return;
  }
  Fail(kBadGateway, aFailure.reason);
}

void entry_request::OnAttemptWritable()
{
  mBody.Pump(*mAttempt);
}

bool entry_request::OnAttemptSilent()
{
  // The owner of a key is the only one that could answer, and a daemon that stops finishes what is
  // in flight.
  mRepeatGranted =
    !mContext.stopping && !mFacts.key.has_value() && !mRelay.Started() && MayRepeat();
  return mRepeatGranted;
}

void entry_request::OnDeadline()
{
  boost::intrusive_ptr<entry_request> self(this);
  bool mayHaveRun = mAttempt != nullptr && mAttempt->MayHaveRun();
  if (mAttempt != nullptr) {
    mAttempt->Cancel();
    mAttempt.reset();
  }
  if (mRelay.Started()) {
    mExchange->Abort();
    Release();
  } else if (mayHaveRun || mMayHaveRun) {
    Fail(kGatewayTimeout, "deadline");
  } else {
    Reject("deadline", common::microseconds(0));
  }
}

void entry_request::RejectLater(const char* aReason)
{
  auto left =
    std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mContext.process.Now());
  Reject(aReason, Share(left, kMaxReturnShare));
}

void entry_request::Reject(const char* aReason, common::microseconds aRetryAfter)
{
  if (mHoldsAnswer) {
    EndAnswer(true);
    return;
  }
  // An earlier attempt of an idempotent request may have run: nothing may be promised.
  if (mMayHaveRun) {
    Fail(kBadGateway, aReason);
    return;
  }
  auto left =
    std::chrono::duration_cast<common::microseconds>(mFacts.deadline - mContext.process.Now());
  common::microseconds pause = std::min(aRetryAfter, Share(left, kMaxReturnShare));
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
  if (mHoldsAnswer) {
    EndAnswer(true);
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
  mExchange->Respond(std::move(aHead), "");
  Release();
}

void entry_request::Release()
{
  mExchange->SetObserver(nullptr);
  mContext.waiting.erase(this);
  mDeadline.Cancel();
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
                        { "upstream_vm", mTarget },
                        { "sent", mSent },
                        { "refusals", mRefusals },
                        { "spent_us", spent.count() } };
  if (mFacts.key.has_value()) {
    line["key"] = *mFacts.key;
    line["map"] = mFacts.mapVersion.Value();
  }
  return line;
}

} // namespace bamboograde::process::sidecar
