#include "standins/fleet/upstream_standin.h"

#include "common/json.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

using connection::http::server_exchange_ptr;

constexpr common::milliseconds kAcknowledgeTime{ 1000 };
// An upstream that has let go of keys announces itself again within this time.
constexpr common::milliseconds kReleasePause{ 100 };
constexpr int64_t kFirstLife = 1700000000000;

std::string HeaderOf(const server_exchange_ptr& aExchange, const char* aName)
{
  const std::string* value = aExchange->Head().headers.Find(aName);
  return value == nullptr ? "" : *value;
}

// Reads a body of any size, then goes on.
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

upstream_standin::upstream_standin(connection::http::event_loop& aLoop, upstream_standin_plan aPlan,
                                   fleet_record& aRecord)
  : mLoop(aLoop)
  , mPlan(std::move(aPlan))
  , mRecord(aRecord)
  , mPool(aLoop)
  , mTimer(aLoop, [this] { Announce(); })
{
}

common::result<void> upstream_standin::Start()
{
  ++mLife;
  mSequence = 0;
  mLeaving = false;
  mHolds.clear();
  mReleased = common::json::array();
  mListener = std::make_unique<connection::http::tcp_listener>(
    mLoop, [this](int aFd) { connection::http::server_connection::Serve(mLoop, *this, aFd); });
  auto listening = mListener->Listen(mPlan.address);
  Announce();
  return listening;
}

void upstream_standin::Crash()
{
  mListener.reset();
  mTimer.Cancel();
  mHolds.clear();
  mWork.clear();
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
  common::json holds = common::json::array();
  for (const version::held_range& held : mHolds) {
    if (mLoop.Now() < mHoldUntil) {
      holds.push_back({ held.range.first, held.range.last, held.token.Value() });
    }
  }
  common::json body = {
    { "address", mPlan.address.Str() },
    { "born", kFirstLife + int64_t(mLife) },
    { "info", { { "service", mPlan.service }, { "slots", mPlan.slots } } },
    { "status", { { "state", mLeaving ? "draining" : "ready" }, { "callSeq", ++mSequence } } },
    { "holds", holds },
    { "freed", mReleased }
  };
  common::boot_time now = mLoop.Now();
  mTimer.Arm(now + mPlan.announcePeriod);
  connection::http::Fetch(mLoop, mPool,
                          { mPlan.daemon, "PUT", "/v1/instances/i-" + mPlan.vm, common::Dump(body),
                            now + kAcknowledgeTime },
                          [this, now, life = mLife](const connection::http::fetch_result& aResult) {
                            if (life == mLife && mListener != nullptr) {
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
  std::vector<version::held_range> before;
  before.swap(mHolds);
  for (const common::json& row : body["holds"]) {
    mHolds.push_back(
      { { row[0], row[1] }, version::fencing_token(row[2].get<uint64_t>()), row[3] });
  }
  mHoldUntil = aSentAt + common::milliseconds(body["holdMs"].get<int64_t>());
  for (const version::held_range& held : before) {
    version::key_owner left;
    left.ranges.push_back(held);
    for (const version::held_range& kept : mHolds) {
      version::RemoveRange(&left, kept.range);
    }
    for (const version::held_range& gone : left.ranges) {
      mReleased.push_back({ gone.range.first, gone.range.last,
                            "from-" + mPlan.vm + "-" + std::to_string(gone.token.Value()) });
    }
  }
  if (!mReleased.empty()) {
    mTimer.Arm(mLoop.Now() +
               std::min<common::milliseconds>(mPlan.announcePeriod / 4, kReleasePause));
  }
}

void upstream_standin::OnRequest(const server_exchange_ptr& aExchange)
{
  std::string id = HeaderOf(aExchange, "X-Bamboograde-Request-Id");
  std::string key = HeaderOf(aExchange, "X-Bamboograde-Shard-Key");
  connection::http::response_head refusal;
  refusal.headers.Add("X-Bamboograde-Request-Id", id);
  bool meant = HeaderOf(aExchange, "X-Bamboograde-Target-Instance") == "i-" + mPlan.vm;
  if (!meant || (!key.empty() && !Holds(uint32_t(std::stoul(key))))) {
    ++mRecord.misdirected;
    refusal.status = 421;
    refusal.headers.Add("X-Bamboograde-Not-Executed", "1");
    aExchange->Respond(refusal, "");
    return;
  }
  mRecord.beyondSlots += mRunning >= mPlan.slots ? 1 : 0;
  ++mRunning;
  ++mRecord.runs[id];
  new body_reader(mLoop, aExchange, [this, aExchange, id](size_t aBytes) {
    mRecord.bodyBytes[id] = aBytes;
    Run(aExchange, id);
  });
}

void upstream_standin::Run(const server_exchange_ptr& aExchange, const std::string& aId)
{
  mWork.push_back(std::make_unique<connection::http::loop_timer>(
    mLoop, [this, aExchange, aId] { Finish(aExchange, aId); }));
  mWork.back()->Arm(mLoop.Now() + mPlan.work);
}

void upstream_standin::Finish(const server_exchange_ptr& aExchange, const std::string& aId)
{
  mRunning -= mRunning > 0 ? 1 : 0;
  if (mLostAnswers > 0) {
    --mLostAnswers;
    aExchange->Abort();
    return;
  }
  connection::http::response_head head;
  head.status = mFailures > 0 ? 500 : 200;
  mFailures -= mFailures > 0 ? 1 : 0;
  head.headers.Add("X-Bamboograde-Request-Id", aId);
  head.headers.Add("X-Bamboograde-Server-Stamp", mPlan.vm);
  aExchange->Respond(head, "answer to " + aId);
}

} // namespace bamboograde::tests
