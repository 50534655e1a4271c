// Stand-in for an upstream: announces itself to its daemon, holds the keys it is granted in the
// responses or by calls, and runs requests.
//
// Records violations that an upstream can detect: requests beyond its slots and requests for keys
// it does not hold. Also counts how often each request ran.
#pragma once

#include "connection/http/fetch.h"
#include "connection/http/server_connection.h"
#include "standins/fleet/raw_sender.h"
#include "version/key_map.h"

#include <set>

namespace bamboograde::tests {

struct upstream_standin_options
{
  std::string vm;
  std::string service;
  common::endpoint address;
  // Address at which the daemon accepts announcements.
  common::endpoint daemon;
  unsigned slots = 4;
  common::milliseconds work{ 20 };
  common::milliseconds announcePeriod{ 100 };
  // Keys are granted by calls; announcements say nothing about keys.
  bool directGrants = false;
};

// Observations of all upstreams of a test.
struct fleet_record
{
  // Number of runs by request id.
  std::map<std::string, unsigned> runs;
  // The largest number of keys that two upstreams held at the same time.
  size_t sharedKeys = 0;
  // Size of the received body in bytes, by request id.
  std::map<std::string, size_t> bodyBytes;
  // Keys that an upstream took with a fencing token that another incarnation had had.
  unsigned staleTokens = 0;
  // The incarnation that last took each of the sampled keys, and its token.
  std::map<uint32_t, std::pair<std::string, uint64_t>> lastHolders;
  unsigned misdirected = 0;
  unsigned exceededSlots = 0;
};

class upstream_standin : public connection::http::exchange_handler
{
public:
  upstream_standin(connection::http::event_loop& aLoop, upstream_standin_options aOptions,
                   fleet_record& aRecord);
  common::result<void> Start();
  // Stops listening and announcing, as a crash does. Start() begins a new incarnation.
  void Crash();
  void Leave() { mLeaving = true; }
  // Goes on serving without announcing itself.
  void StopAnnouncing() { mTimer.Cancel(); }
  void ResumeAnnouncing() { Announce(); }
  // Deregisters without announcing the shutdown, and goes on serving without announcing itself.
  void Deregister();
  // Whether the last deregistration was acknowledged.
  bool Deregistered() const { return mDeregistered; }
  // Delivers an announcement from before the shutdown that was delayed on its way: the one with
  // this sequence, or the last one.
  void DeliverLateAnnouncement(std::optional<uint64_t> aSequence = {});
  // Whether requests for the health path get a response.
  void SetHealthAnswered(bool aAnswered) { mHealthAnswered = aAnswered; }
  // Requests for the health path get their response after this time.
  void SetHealthDelay(common::milliseconds aDelay) { mHealthDelay = aDelay; }
  // Responds to requests for the health path as a full upstream does.
  void SetHealthRejected(bool aRejected) { mHealthRejected = aRejected; }
  // Crashes when it begins to run a request with this target, and is back after aDownTime.
  void CrashOn(std::string aTarget, common::milliseconds aDownTime);
  unsigned Crashes() const { return mCrashes; }
  // Number of requests that it has run.
  unsigned Requests() const { return mRequests; }
  // Answers requests on new connections with the bytes that aResponder returns.
  void RespondRaw(raw_responder aResponder) { mRawResponder = std::move(aResponder); }
  // Passes new connections to aServe, which takes ownership of the descriptor.
  void ServeWith(std::function<void(int aFd)> aServe) { mServe = std::move(aServe); }
  // Answers requests on new connections with aStart, in which "$ID" stands for the request's id,
  // and then aBlock without end, until the caller closes the connection.
  void SendEndlessly(std::string aStart, std::string aBlock);
  unsigned EndlessResponses() const { return mEndlessResponses; }
  // Runs the next requests, but closes their connections without a response.
  void DropResponses(unsigned aCount) { mResponsesToDrop = aCount; }
  // Calls about keys: the next ones are performed after a delay and not answered, or are performed
  // at once and their connections are closed, or get this response and are not performed.
  void PerformLate(unsigned aCount, common::milliseconds aDelay);
  void DropKeyAnswers(unsigned aCount) { mKeyAnswersToDrop = aCount; }
  void RejectKeyCalls(unsigned aCount, int aStatus);
  // Adds a header to the responses from now on; an empty value removes it.
  void SetHeader(const std::string& aName, const std::string& aValue);
  // When each request arrived, in order.
  const std::vector<common::boot_time>& Arrivals() const { return mArrivals; }
  // Sets how long requests run from now on.
  void SetWork(common::milliseconds aWork) { mOptions.work = aWork; }
  // Runs the next requests and responds with status 500.
  void FailRequests(unsigned aCount) { mResponsesToFail = aCount; }
  bool Holds(uint32_t aKey) const;
  std::vector<version::key_range> HeldRanges() const;
  size_t HeldKeys() const;
  const std::string& Vm() const { return mOptions.vm; }

  connection::http::caller_limits Limits() const override { return {}; }
  void OnRequest(const connection::http::server_exchange_ptr& aExchange) override;

private:
  // A range granted by a call.
  struct granted_range
  {
    version::held_range held;
    common::boot_time until;
  };

  void OnKeyCall(const connection::http::server_exchange_ptr& aExchange);
  void PerformKeyCall(const connection::http::server_exchange_ptr& aExchange,
                      const common::json& aBody, common::boot_time aArrivedAt, bool aAnswer);
  bool TakeGrant(const common::json& aBody, common::boot_time aArrivedAt);
  void Release(const connection::http::server_exchange_ptr& aExchange,
               const version::held_range& aRange, bool aAnswer);
  void AnswerRelease(const connection::http::server_exchange_ptr& aExchange,
                     const version::held_range& aRange);
  void After(common::milliseconds aDelay, std::function<void()> aAction);
  void RecordTokens(const version::held_range& aRange);
  void Announce();
  void SendAnnouncement(const char* aState, uint64_t aSequence);
  void OnAcknowledged(const connection::http::fetch_result& aResult, common::boot_time aSentAt);
  void RespondHealth(const connection::http::server_exchange_ptr& aExchange);
  void AnswerHealth(const connection::http::server_exchange_ptr& aExchange);
  void CrashNow();
  void Run(const connection::http::server_exchange_ptr& aExchange, const std::string& aId,
           const std::string& aKey);
  void Finish(const connection::http::server_exchange_ptr& aExchange, const std::string& aId);

  connection::http::event_loop& mLoop;
  upstream_standin_options mOptions;
  fleet_record& mRecord;
  std::unique_ptr<connection::http::tcp_listener> mListener;
  connection::http::client_pool mPool;
  connection::http::loop_timer mTimer;
  std::vector<std::unique_ptr<connection::http::loop_timer>> mWorkTimers;
  std::vector<version::held_range> mHolds;
  common::boot_time mHoldUntil;
  common::json mReleased = common::json::array();
  std::vector<granted_range> mGranted;
  // Highest token seen for each range.
  std::vector<version::held_range> mSeen;
  std::multiset<uint32_t> mRunningKeys;
  unsigned mLateKeyCalls = 0;
  common::milliseconds mKeyCallDelay{ 0 };
  unsigned mKeyAnswersToDrop = 0;
  unsigned mKeyCallsToReject = 0;
  int mRejectStatus = 0;
  unsigned mRequests = 0;
  unsigned mRunning = 0;
  std::set<connection::http::server_exchange_ptr> mRunningExchanges;
  unsigned mResponsesToDrop = 0;
  unsigned mResponsesToFail = 0;
  uint64_t mSequence = 0;
  uint64_t mIncarnation = 0;
  bool mLeaving = false;
  std::map<std::string, std::string> mExtraHeaders;
  std::vector<common::boot_time> mArrivals;
  raw_responder mRawResponder;
  std::function<void(int)> mServe;
  std::string mEndlessStart;
  std::string mEndlessBlock;
  unsigned mEndlessResponses = 0;
  bool mDeregistered = false;
  bool mHealthAnswered = true;
  bool mHealthRejected = false;
  common::milliseconds mHealthDelay{ 0 };
  std::string mCrashTarget;
  common::milliseconds mDownTime{ 0 };
  unsigned mCrashes = 0;
  connection::http::loop_timer mCrashTimer;
  // Exchanges of requests for the health path that get no response.
  std::vector<connection::http::server_exchange_ptr> mUnanswered;
};

} // namespace bamboograde::tests
