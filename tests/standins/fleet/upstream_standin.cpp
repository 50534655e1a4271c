#include "standins/fleet/upstream_standin.h"

#include "common/json.h"
#include "process/sidecar/small_message.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

using connection::http::server_exchange_ptr;

constexpr common::milliseconds kAnnounceTimeout{ 1000 };
// Longest delay of the announcement that follows the release of keys.
constexpr common::milliseconds kMaxReleaseDelay{ 100 };
// How often a release looks whether the requests for its keys have ended.
constexpr common::milliseconds kReleaseCheckPeriod{ 5 };
// Every such key is sampled for the check of tokens.
constexpr uint32_t kTokenSampleStep = 1024;
constexpr int64_t kFirstStartTimeMs = 1700000000000;

std::string HeaderOf(const server_exchange_ptr& aExchange, const char* aName)
{
  const std::string* value = aExchange->Head().headers.Find(aName);
  return value == nullptr ? "" : *value;
}

// Reads a request body to its end and passes its size in bytes to the callback. Deletes itself.
class body_reader : public connection::http::exchange_observer
{
public:
  body_reader(connection::http::event_loop& aLoop, server_exchange_ptr aExchange,
              std::function<void(size_t)> aCallback)
    : mLoop(aLoop)
    , mExchange(std::move(aExchange))
    , mCallback(std::move(aCallback))
  {
    mExchange->SetObserver(this);
    OnRequestBody();
  }
  void OnRequestBody() override
  {
    bool complete = mExchange->BodyComplete();
    mBytes += mExchange->TakeBody().size();
    if (complete) {
      End();
      mCallback(mBytes);
    }
  }
  void OnCallerDisconnected() override { End(); }

private:
  void End()
  {
    mExchange->SetObserver(nullptr);
    mLoop.Defer([this] { delete this; });
  }

  connection::http::event_loop& mLoop;
  server_exchange_ptr mExchange;
  std::function<void(size_t)> mCallback;
  size_t mBytes = 0;
};

} // namespace

upstream_standin::upstream_standin(connection::http::event_loop& aLoop,
                                   upstream_standin_options aOptions, fleet_record& aRecord)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mPool(aLoop)
  , mTimer(aLoop, [this] { Announce(); })
  , mCrashTimer(aLoop, [this] { mListener == nullptr ? (void)Start() : CrashNow(); })
{
}

common::result<void> upstream_standin::Start()
{
  ++mIncarnation;
  mSequence = 0;
  mLeaving = false;
  mDeregistered = false;
  mHolds.clear();
  mGranted.clear();
  mSeen.clear();
  mRunningKeys.clear();
  mReleased = common::json::array();
  mCrashTimer.Cancel();
  mListener = std::make_unique<connection::http::tcp_listener>(mLoop, [this](int aFd) {
    if (mServe) {
      mServe(aFd);
    } else if (mRawResponder) {
      ServeRaw(mLoop, aFd, mRawResponder);
    } else if (mEndlessBlock.empty()) {
      connection::http::server_connection::Serve(mLoop, *this, aFd);
    } else {
      ++mEndlessResponses;
      ServeEndlessly(mLoop, aFd, mEndlessStart, mEndlessBlock);
    }
  });
  auto listening = mListener->Listen(mOptions.address);
  Announce();
  return listening;
}

void upstream_standin::Crash()
{
  mListener.reset();
  mTimer.Cancel();
  for (const server_exchange_ptr& exchange : std::exchange(mRunningExchanges, {})) {
    exchange->Abort();
  }
  mHolds.clear();
  mGranted.clear();
  mWorkTimers.clear();
  mRunningKeys.clear();
  mRunning = 0;
}

void upstream_standin::CrashOn(std::string aTarget, common::milliseconds aDownTime)
{
  mCrashTarget = std::move(aTarget);
  mDownTime = aDownTime;
}

void upstream_standin::CrashNow()
{
  ++mCrashes;
  Crash();
  mCrashTimer.Arm(mLoop.Now() + mDownTime);
}

bool upstream_standin::Holds(uint32_t aKey) const
{
  common::boot_time now = mLoop.Now();
  bool inResponse = now < mHoldUntil && std::any_of(mHolds.begin(), mHolds.end(),
                                                    [aKey](const version::held_range& aHeld) {
                                                      return aHeld.range.Contains(aKey);
                                                    });
  return inResponse ||
         std::any_of(mGranted.begin(), mGranted.end(), [&](const granted_range& aGranted) {
           return now < aGranted.until && aGranted.held.range.Contains(aKey);
         });
}

std::vector<version::key_range> upstream_standin::HeldRanges() const
{
  version::key_owner held;
  for (const version::held_range& range : mHolds) {
    if (mLoop.Now() < mHoldUntil) {
      version::AddRange(&held, { range.range, {}, "" });
    }
  }
  for (const granted_range& granted : mGranted) {
    if (mLoop.Now() < granted.until) {
      version::AddRange(&held, { granted.held.range, {}, "" });
    }
  }
  return version::RangesOf(held);
}

size_t upstream_standin::HeldKeys() const
{
  size_t count = 0;
  for (const version::key_range& range : HeldRanges()) {
    count += range.Size();
  }
  return count;
}

void upstream_standin::RecordTokens(const version::held_range& aRange)
{
  std::string incarnation = mOptions.vm + "@" + std::to_string(mIncarnation);
  uint32_t first = (aRange.range.first + kTokenSampleStep - 1) / kTokenSampleStep;
  for (uint32_t key = first * kTokenSampleStep; key <= aRange.range.last; key += kTokenSampleStep) {
    auto& [holder, token] = mRecord.lastHolders[key];
    mRecord.staleTokens += holder != incarnation && aRange.token.Value() <= token ? 1 : 0;
    if (aRange.token.Value() >= token) {
      holder = incarnation;
      token = aRange.token.Value();
    }
  }
}

void upstream_standin::PerformLate(unsigned aCount, common::milliseconds aDelay)
{
  mLateKeyCalls = aCount;
  mKeyCallDelay = aDelay;
}

void upstream_standin::RejectKeyCalls(unsigned aCount, int aStatus)
{
  mKeyCallsToReject = aCount;
  mRejectStatus = aStatus;
}

void upstream_standin::After(common::milliseconds aDelay, std::function<void()> aAction)
{
  mWorkTimers.push_back(std::make_unique<connection::http::loop_timer>(mLoop, std::move(aAction)));
  mWorkTimers.back()->Arm(mLoop.Now() + aDelay);
}

void upstream_standin::OnKeyCall(const server_exchange_ptr& aExchange)
{
  process::sidecar::ReadBody(mLoop, aExchange, [this](const server_exchange_ptr& aWhole) {
    common::json body = common::json::parse(aWhole->TakeBody());
    common::boot_time arrivedAt = mLoop.Now();
    if (mKeyCallsToReject > 0) {
      --mKeyCallsToReject;
      connection::http::response_head head;
      head.status = mRejectStatus;
      aWhole->Respond(head, "no");
    } else if (mLateKeyCalls > 0) {
      --mLateKeyCalls;
      After(mKeyCallDelay,
            [this, aWhole, body, arrivedAt] { PerformKeyCall(aWhole, body, arrivedAt, false); });
    } else {
      bool answer = mKeyAnswersToDrop == 0;
      mKeyAnswersToDrop -= answer ? 0 : 1;
      PerformKeyCall(aWhole, body, arrivedAt, answer);
      if (!answer) {
        aWhole->Abort();
      }
    }
  });
}

void upstream_standin::PerformKeyCall(const server_exchange_ptr& aExchange,
                                      const common::json& aBody, common::boot_time aArrivedAt,
                                      bool aAnswer)
{
  if (aExchange->Head().target == "/v1/release") {
    Release(aExchange,
            { { aBody["from"], aBody["to"] },
              version::fencing_token(aBody["fence"].get<uint64_t>()),
              "" },
            aAnswer);
    return;
  }
  connection::http::response_head head;
  head.status = TakeGrant(aBody, aArrivedAt) ? 200 : 409;
  if (aAnswer) {
    aExchange->Respond(head, "");
  }
}

// Returns false if a higher token was seen for one of the keys.
bool upstream_standin::TakeGrant(const common::json& aBody, common::boot_time aArrivedAt)
{
  version::held_range held{ { aBody["from"], aBody["to"] },
                            version::fencing_token(aBody["fence"].get<uint64_t>()),
                            aBody.value("handover", "") };
  for (const version::held_range& seen : mSeen) {
    if (seen.token > held.token && version::Intersection(seen.range, held.range).has_value()) {
      return false;
    }
  }
  version::key_owner tokens;
  tokens.ranges = mSeen;
  version::AddRange(&tokens, { held.range, held.token, "" });
  mSeen = tokens.ranges;
  common::boot_time until = aArrivedAt + common::milliseconds(aBody["holdMs"].get<int64_t>());
  std::erase_if(mGranted, [&](const granted_range& aItem) {
    return aItem.until <= mLoop.Now() || (aItem.held.range == held.range && aItem.until <= until);
  });
  if (mLoop.Now() < until) {
    mGranted.push_back({ held, until });
    RecordTokens(held);
  }
  return true;
}

void upstream_standin::Release(const server_exchange_ptr& aExchange,
                               const version::held_range& aRange, bool aAnswer)
{
  std::vector<granted_range> kept;
  for (const granted_range& granted : mGranted) {
    version::key_owner rest;
    rest.ranges.push_back(granted.held);
    if (granted.held.token <= aRange.token) {
      version::RemoveRange(&rest, aRange.range);
    }
    for (const version::held_range& range : rest.ranges) {
      kept.push_back({ range, granted.until });
    }
  }
  mGranted = std::move(kept);
  if (aAnswer) {
    AnswerRelease(aExchange, aRange);
  }
}

// Responds when the requests for the keys have ended.
void upstream_standin::AnswerRelease(const server_exchange_ptr& aExchange,
                                     const version::held_range& aRange)
{
  auto running = mRunningKeys.lower_bound(aRange.range.first);
  if (running != mRunningKeys.end() && *running <= aRange.range.last) {
    After(kReleaseCheckPeriod, [this, aExchange, aRange] { AnswerRelease(aExchange, aRange); });
    return;
  }
  connection::http::response_head head;
  head.status = 200;
  head.headers.Add("X-Bamboograde-Handover",
                   "from-" + mOptions.vm + "-" + std::to_string(aRange.token.Value()));
  aExchange->Respond(head, "");
}

void upstream_standin::Announce()
{
  mTimer.Arm(mLoop.Now() + mOptions.announcePeriod);
  SendAnnouncement(mLeaving ? "draining" : "ready", ++mSequence);
}

void upstream_standin::DeliverLateAnnouncement(std::optional<uint64_t> aSequence)
{
  SendAnnouncement("ready", aSequence.has_value() ? *aSequence : ++mSequence);
}

void upstream_standin::Deregister()
{
  StopAnnouncing();
  mLeaving = true;
  mDeregistered = false;
  connection::http::Fetch(mLoop, mPool,
                          { mOptions.daemon, "DELETE", "/v1/instances/i-" + mOptions.vm, "",
                            mLoop.Now() + kAnnounceTimeout },
                          [this](const connection::http::fetch_result& aResult) {
                            mDeregistered = aResult.status == 200;
                          });
}

void upstream_standin::SendAnnouncement(const char* aState, uint64_t aSequence)
{
  common::json holds = common::json::array();
  for (const version::held_range& held : mHolds) {
    if (mLoop.Now() < mHoldUntil) {
      holds.push_back({ held.range.first, held.range.last, held.token.Value() });
    }
  }
  common::json body = { { "address", mOptions.address.Str() },
                        { "born", kFirstStartTimeMs + int64_t(mIncarnation) },
                        { "info",
                          { { "service", mOptions.service }, { "slots", mOptions.slots } } },
                        { "status", { { "state", aState }, { "callSeq", aSequence } } } };
  if (!mOptions.directGrants) {
    body["holds"] = holds;
    body["freed"] = mReleased;
  }
  common::boot_time now = mLoop.Now();
  connection::http::Fetch(
    mLoop, mPool,
    { mOptions.daemon, "PUT", "/v1/instances/i-" + mOptions.vm, common::Dump(body),
      now + kAnnounceTimeout },
    [this, now, incarnation = mIncarnation](const connection::http::fetch_result& aResult) {
      if (incarnation == mIncarnation && mListener != nullptr) {
        OnAcknowledged(aResult, now);
      }
    });
}

void upstream_standin::OnAcknowledged(const connection::http::fetch_result& aResult,
                                      common::boot_time aSentAt)
{
  if (aResult.status != 200) {
    return;
  }
  mReleased = common::json::array();
  common::json body = common::json::parse(aResult.body);
  if (!body.contains("holds")) {
    return;
  }
  std::vector<version::held_range> formerHolds;
  formerHolds.swap(mHolds);
  for (const common::json& row : body["holds"]) {
    mHolds.push_back(
      { { row[0], row[1] }, version::fencing_token(row[2].get<uint64_t>()), row[3] });
    RecordTokens(mHolds.back());
  }
  mHoldUntil = aSentAt + common::milliseconds(body["holdMs"].get<int64_t>());
  for (const version::held_range& held : formerHolds) {
    version::key_owner released;
    released.ranges.push_back(held);
    for (const version::held_range& kept : mHolds) {
      version::RemoveRange(&released, kept.range);
    }
    for (const version::held_range& releasedRange : released.ranges) {
      mReleased.push_back(
        { releasedRange.range.first, releasedRange.range.last,
          "from-" + mOptions.vm + "-" + std::to_string(releasedRange.token.Value()) });
    }
  }
  if (!mReleased.empty() && mTimer.Armed()) {
    mTimer.Arm(mLoop.Now() +
               std::min<common::milliseconds>(mOptions.announcePeriod / 4, kMaxReleaseDelay));
  }
}

void upstream_standin::SendEndlessly(std::string aStart, std::string aBlock)
{
  mEndlessStart = std::move(aStart);
  mEndlessBlock = std::move(aBlock);
}

void upstream_standin::RespondHealth(const server_exchange_ptr& aExchange)
{
  if (!mHealthAnswered) {
    mUnanswered.push_back(aExchange);
    return;
  }
  if (mHealthDelay.count() > 0) {
    After(mHealthDelay, [this, aExchange] { AnswerHealth(aExchange); });
  } else {
    AnswerHealth(aExchange);
  }
}

void upstream_standin::AnswerHealth(const server_exchange_ptr& aExchange)
{
  connection::http::response_head head;
  head.status = mLeaving || mHealthRejected ? 503 : 200;
  head.headers.Add("X-Bamboograde-Instance-Id", "i-" + mOptions.vm);
  // Requests come on connections of their own.
  head.headers.Add("Keep-Alive", "timeout=1");
  aExchange->Respond(head, "");
}

void upstream_standin::OnRequest(const server_exchange_ptr& aExchange)
{
  if (mListener == nullptr) {
    aExchange->Abort();
    return;
  }
  if (aExchange->Head().target == "/health") {
    RespondHealth(aExchange);
    return;
  }
  if (!mCrashTarget.empty() && aExchange->Head().target == mCrashTarget) {
    ++mRecord.runs[HeaderOf(aExchange, "X-Bamboograde-Request-Id")];
    mRunningExchanges.insert(aExchange);
    mCrashTimer.Arm(mLoop.Now());
    return;
  }
  if (aExchange->Head().target == "/v1/grant" || aExchange->Head().target == "/v1/release") {
    OnKeyCall(aExchange);
    return;
  }
  std::string id = HeaderOf(aExchange, "X-Bamboograde-Request-Id");
  std::string key = HeaderOf(aExchange, "X-Bamboograde-Shard-Key");
  connection::http::response_head refusal;
  refusal.headers.Add("X-Bamboograde-Request-Id", id);
  bool addressedHere = HeaderOf(aExchange, "X-Bamboograde-Target-Instance") == "i-" + mOptions.vm;
  if (!addressedHere || (!key.empty() && !Holds(uint32_t(std::stoul(key))))) {
    ++mRecord.misdirected;
    refusal.status = 421;
    refusal.headers.Add("X-Bamboograde-Not-Executed", "1");
    aExchange->Respond(refusal, "");
    return;
  }
  mRecord.exceededSlots += mRunning >= mOptions.slots ? 1 : 0;
  ++mRunning;
  ++mRequests;
  ++mRecord.runs[id];
  new body_reader(mLoop, aExchange, [this, aExchange, id, key](size_t aBytes) {
    mRecord.bodyBytes[id] = aBytes;
    Run(aExchange, id, key);
  });
}

void upstream_standin::SetHeader(const std::string& aName, const std::string& aValue)
{
  mExtraHeaders.erase(aName);
  if (!aValue.empty()) {
    mExtraHeaders[aName] = aValue;
  }
}

void upstream_standin::Run(const server_exchange_ptr& aExchange, const std::string& aId,
                           const std::string& aKey)
{
  mArrivals.push_back(mLoop.Now());
  mRunningExchanges.insert(aExchange);
  std::optional<uint32_t> key;
  if (!aKey.empty()) {
    key = uint32_t(std::stoul(aKey));
    mRunningKeys.insert(*key);
  }
  After(mOptions.work, [this, aExchange, aId, key] {
    if (auto found = key.has_value() ? mRunningKeys.find(*key) : mRunningKeys.end();
        found != mRunningKeys.end()) {
      mRunningKeys.erase(found);
    }
    Finish(aExchange, aId);
  });
}

void upstream_standin::Finish(const server_exchange_ptr& aExchange, const std::string& aId)
{
  mRunning -= mRunning > 0 ? 1 : 0;
  mRunningExchanges.erase(aExchange);
  if (mResponsesToDrop > 0) {
    --mResponsesToDrop;
    aExchange->Abort();
    return;
  }
  connection::http::response_head head;
  head.status = mResponsesToFail > 0 ? 500 : 200;
  mResponsesToFail -= mResponsesToFail > 0 ? 1 : 0;
  head.headers.Add("X-Bamboograde-Request-Id", aId);
  head.headers.Add("X-Bamboograde-Server-Stamp", mOptions.vm);
  for (const auto& [name, value] : mExtraHeaders) {
    head.headers.Add(name, value);
  }
  aExchange->Respond(head, "answer to " + aId);
}

} // namespace bamboograde::tests
