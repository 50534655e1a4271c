#include "standins/fleet/upstream_standin.h"

#include "common/json.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

using connection::http::server_exchange_ptr;

constexpr common::milliseconds kAnnounceTimeout{ 1000 };
// Longest delay of the announcement that follows the release of keys.
constexpr common::milliseconds kMaxReleaseDelay{ 100 };
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

// Sends a start and then the same block again and again, until the caller closes the connection.
// Deletes itself.
class endless_sender : public connection::http::stream_owner
{
public:
  endless_sender(connection::http::event_loop& aLoop, int aFd, std::string aStart,
                 std::string aBlock)
    : mLoop(aLoop)
    , mStart(std::move(aStart))
    , mBlock(std::move(aBlock))
    , mTimer(aLoop, [this] { Send(); })
  {
    mStream = connection::http::tcp_stream::Adopt(aLoop, *this, aFd);
    mStream->Start();
  }
  void OnInput() override
  {
    mStream->Input().clear();
    if (!mStarted) {
      mStarted = true;
      mStream->Write(mStart);
      Send();
    }
  }
  void OnEnd(connection::http::stream_end) override
  {
    mTimer.Cancel();
    mStream->Close();
    mLoop.Defer([this] { delete this; });
  }

private:
  void Send()
  {
    if (mStream->PendingBytes() == 0) {
      mStream->Write(mBlock);
    }
    mTimer.Arm(mLoop.Now() + kSendPeriod);
  }

  static constexpr common::microseconds kSendPeriod{ 200 };

  connection::http::event_loop& mLoop;
  connection::http::tcp_stream_ptr mStream;
  std::string mStart;
  std::string mBlock;
  bool mStarted = false;
  connection::http::loop_timer mTimer;
};

} // namespace

upstream_standin::upstream_standin(connection::http::event_loop& aLoop,
                                   upstream_standin_options aOptions, fleet_record& aRecord)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mPool(aLoop)
  , mTimer(aLoop, [this] { Announce(); })
{
}

common::result<void> upstream_standin::Start()
{
  ++mIncarnation;
  mSequence = 0;
  mLeaving = false;
  mDeregistered = false;
  mHolds.clear();
  mReleased = common::json::array();
  mListener = std::make_unique<connection::http::tcp_listener>(mLoop, [this](int aFd) {
    if (mEndlessBlock.empty()) {
      connection::http::server_connection::Serve(mLoop, *this, aFd);
    } else {
      ++mEndlessResponses;
      new endless_sender(mLoop, aFd, mEndlessStart, mEndlessBlock);
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
  mHolds.clear();
  mWorkTimers.clear();
  mRunning = 0;
}

bool upstream_standin::Holds(uint32_t aKey) const
{
  return mLoop.Now() < mHoldUntil &&
         std::any_of(mHolds.begin(), mHolds.end(), [aKey](const version::held_range& aHeld) {
           return aHeld.range.Contains(aKey);
         });
}

size_t upstream_standin::HeldKeys() const
{
  size_t count = 0;
  for (const version::held_range& held : mHolds) {
    count += mLoop.Now() < mHoldUntil ? held.range.Size() : 0;
  }
  return count;
}

void upstream_standin::Announce()
{
  mTimer.Arm(mLoop.Now() + mOptions.announcePeriod);
  SendAnnouncement(mLeaving ? "draining" : "ready");
}

void upstream_standin::DeliverLateAnnouncement()
{
  SendAnnouncement("ready");
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

void upstream_standin::SendAnnouncement(const char* aState)
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
                        { "status", { { "state", aState }, { "callSeq", ++mSequence } } },
                        { "holds", holds },
                        { "freed", mReleased } };
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
  connection::http::response_head head;
  head.status = mLeaving ? 503 : 200;
  head.headers.Add("X-Bamboograde-Instance-Id", "i-" + mOptions.vm);
  // Requests come on connections of their own.
  head.headers.Add("Keep-Alive", "timeout=1");
  aExchange->Respond(head, "");
}

void upstream_standin::OnRequest(const server_exchange_ptr& aExchange)
{
  if (aExchange->Head().target == "/health") {
    RespondHealth(aExchange);
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
  ++mRecord.runs[id];
  new body_reader(mLoop, aExchange, [this, aExchange, id](size_t aBytes) {
    mRecord.bodyBytes[id] = aBytes;
    Run(aExchange, id);
  });
}

void upstream_standin::Run(const server_exchange_ptr& aExchange, const std::string& aId)
{
  mWorkTimers.push_back(std::make_unique<connection::http::loop_timer>(
    mLoop, [this, aExchange, aId] { Finish(aExchange, aId); }));
  mWorkTimers.back()->Arm(mLoop.Now() + mOptions.work);
}

void upstream_standin::Finish(const server_exchange_ptr& aExchange, const std::string& aId)
{
  mRunning -= mRunning > 0 ? 1 : 0;
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
  aExchange->Respond(head, "answer to " + aId);
}

} // namespace bamboograde::tests
