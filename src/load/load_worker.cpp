#include "load/load_worker.h"

#include "common/json.h"
#include "request/caller_request.h"

#include <memory>

namespace bamboograde::load {

using common::json;
using connection::http_response;

namespace {

constexpr common::milliseconds kSendInterval{ 1 };
// Added to the timeout of a request, since the daemon may respond as late as the deadline.
constexpr common::milliseconds kResponseGrace{ 1000 };
constexpr common::milliseconds kRetryDelay{ 200 };
// Enough connections that requests do not queue in the load tool.
constexpr connection::http_client_limits kClientLimits{ 20000, 20000, 30 };

bool IsUnowned(const std::string& aReason)
{
  return aReason == "no_owner" || aReason == "owner_unreachable" || aReason == "lease_lapsed" ||
         aReason == "not_owner";
}

} // namespace

load_worker::load_worker(const load_options& aOptions, size_t aIndex, size_t aWorkers,
                         FILE* aHistory)
  : mOptions(aOptions)
  , mIndex(aIndex)
  , mRatePerSecond(aOptions.ratePerSecond / double(aWorkers))
  , mHistory(aHistory)
  , mRandom(aOptions.seed * 1000 + aIndex)
  , mKeys(aOptions.keys)
{
}

void load_worker::Start()
{
  mThread = std::thread([this] { Run(); });
}

void load_worker::Join()
{
  mThread.join();
}

void load_worker::Run()
{
  GMainContext* context = g_main_context_new();
  g_main_context_push_thread_default(context);
  mLoop = g_main_loop_new(context, FALSE);
  mClient = std::make_unique<connection::http_client>(kClientLimits);
  mStart = mClock.Now();
  mSendTimer.StartRepeating(kSendInterval, [this] { SendDue(); });
  g_main_loop_run(mLoop);
  mSendTimer.Stop();
  mClient.reset();
  g_main_loop_unref(mLoop);
  g_main_context_pop_thread_default(context);
  g_main_context_unref(context);
}

void load_worker::SendDue()
{
  common::boot_time now = mClock.Now();
  auto total = uint64_t(mRatePerSecond * double(mOptions.duration.count()) / 1000);
  while (mSent < total) {
    // Due times are fixed in advance, so that a slow response does not delay later requests.
    auto offset = common::microseconds(int64_t(double(mSent) * 1e6 / mRatePerSecond));
    if (mStart + offset > now) {
      return;
    }
    ++mSent;
    ++mInFlight;
    ++mTally.sent;
    load_request_ptr next = MakeLoadRequest(mStart + offset);
    if (next->nonIdempotent && !mOptions.direct) {
      RequestTicket(next);
    } else {
      Send(next);
    }
  }
  if (mInFlight == 0) {
    g_main_loop_quit(mLoop);
  }
}

load_worker::load_request_ptr load_worker::MakeLoadRequest(common::boot_time aDue)
{
  load_request_ptr made(new load_request());
  made->due = aDue;
  made->nonce = std::to_string(mIndex) + "-" + std::to_string(mSent);
  made->id = "load-" + std::to_string(mOptions.seed) + "-" + made->nonce;
  made->service = mOptions.services[mRandom.Below(mOptions.services.size())];
  made->callerClass = mOptions.classes[mRandom.Below(mOptions.classes.size())];
  made->entry = mRandom.Below(mOptions.entries.size());
  made->nonIdempotent = mRandom.Unit() < mOptions.nonIdempotentShare;
  made->key = mKeys.Next(mRandom, std::chrono::duration<double>(aDue - mStart).count());
  return made;
}

connection::http_request load_worker::MakeHttpRequest(const load_request& aRequest) const
{
  connection::http_request request;
  request.method = aRequest.nonIdempotent ? "POST" : "GET";
  request.authority = mOptions.entries[aRequest.entry].Str();
  request.target = "/work?work_us=" + std::to_string(mOptions.workUs);
  if (mOptions.bodyBytes > 0) {
    request.target += "&bytes=" + std::to_string(mOptions.bodyBytes);
  }
  request.headers = { { request::kServiceHeader, aRequest.service },
                      { request::kKeyHeader, aRequest.key },
                      { request::kClassHeader, aRequest.callerClass },
                      { request::kRequestIdHeader, aRequest.id },
                      { request::kTimeoutHeader, std::to_string(mOptions.timeout.count()) },
                      { "Load-Nonce", aRequest.nonce } };
  if (!aRequest.ticket.empty()) {
    request.headers.push_back({ request::kIdempotencyHeader, aRequest.ticket });
  }
  return request;
}

void load_worker::RequestTicket(const load_request_ptr& aRequest)
{
  connection::http_request request = MakeHttpRequest(*aRequest);
  request.target = request::kTicketPath;
  mClient->Send(request, mClock.Now() + mOptions.timeout + kResponseGrace, mClock.Now(),
                [this, aRequest](const connection::http_result& aResult) {
                  auto body = common::ParseJson(aResult.response.body);
                  if (aResult.Ok() && aResult.response.status == 201 && body.has_value()) {
                    aRequest->ticket = common::GetString(body.assume_value(), "ticket");
                    Send(aRequest);
                  } else if (aResult.Ok()) {
                    CountRefusal(*aRequest, aResult.response);
                  } else {
                    ++mTally.lost;
                    Finish(*aRequest, "lost");
                  }
                });
}

void load_worker::Send(const load_request_ptr& aRequest)
{
  ++aRequest->attempts;
  mClient->Send(
    MakeHttpRequest(*aRequest), mClock.Now() + mOptions.timeout + kResponseGrace, mClock.Now(),
    [this, aRequest](const connection::http_result& aResult) { OnResponse(aRequest, aResult); });
}

bool load_worker::MatchesRequest(const load_request& aRequest, const http_response& aResponse) const
{
  // The body of a response is a JSON object followed by the padding.
  size_t end = aResponse.body.find('}');
  if (end == std::string::npos) {
    return false;
  }
  auto body = common::ParseJson(aResponse.body.substr(0, end + 1));
  size_t padding = aResponse.body.size() - end - 1;
  // A retry is answered with the recorded response of the first run, which may omit a long body.
  return body.has_value() && padding == mOptions.bodyBytes &&
         common::GetString(body.assume_value(), "nonce") == aRequest.nonce &&
         (mOptions.direct || common::GetString(body.assume_value(), "key") == aRequest.key);
}

void load_worker::OnResponse(const load_request_ptr& aRequest,
                             const connection::http_result& aResult)
{
  const http_response& response = aResult.response;
  if (aResult.Ok() && response.status == 200) {
    bool matches = MatchesRequest(*aRequest, response);
    mTally.served += matches ? 1 : 0;
    mTally.wrong += matches ? 0 : 1;
    mTally.replayed +=
      connection::FindHeader(response.headers, "Bamboograde-Replayed").empty() ? 0 : 1;
    auto took = std::chrono::duration_cast<common::microseconds>(mClock.Now() - aRequest->due);
    mTally.latency.Record(took);
    Finish(*aRequest, matches ? "served" : "wrong");
    return;
  }
  auto outcome = connection::FindHeader(response.headers, request::kOutcomeHeader);
  bool undecided = !aResult.Ok() || outcome != "not-run";
  if (aRequest->nonIdempotent && undecided && aRequest->attempts <= mOptions.retries &&
      !mOptions.direct) {
    // Retries at another daemon, like a caller that lost its connection.
    aRequest->entry = (aRequest->entry + 1) % mOptions.entries.size();
    auto* delay = new connection::timer();
    delay->StartOnce(kRetryDelay, [this, aRequest, delay] {
      Send(aRequest);
      delete delay;
    });
    return;
  }
  if (!aResult.Ok()) {
    ++mTally.lost;
    Finish(*aRequest, "lost");
    return;
  }
  CountRefusal(*aRequest, response);
}

void load_worker::CountRefusal(const load_request& aRequest, const http_response& aResponse)
{
  std::string reason(connection::FindHeader(aResponse.headers, request::kReasonHeader));
  std::string row(connection::FindHeader(aResponse.headers, request::kRowHeader));
  std::string outcome(connection::FindHeader(aResponse.headers, request::kOutcomeHeader));
  ++mTally.refused;
  ++mTally.refusals[{ reason.empty() ? std::to_string(aResponse.status) : reason, row }];
  mTally.unowned += IsUnowned(reason) ? 1 : 0;
  mTally.untraced += row.empty() ? 1 : 0;
  mTally.refusedIds.emplace(reason, aRequest.id);
  Finish(aRequest, outcome.c_str(), reason);
}

void load_worker::Finish(const load_request& aRequest, const char* aOutcome,
                         const std::string& aReason)
{
  --mInFlight;
  if (mHistory == nullptr) {
    return;
  }
  std::string line = common::Dump({ { "id", aRequest.id },
                                    { "key", aRequest.key },
                                    { "service", aRequest.service },
                                    { "ticket", aRequest.ticket },
                                    { "sends", aRequest.attempts },
                                    { "outcome", aOutcome },
                                    { "reason", aReason },
                                    { "due_us", common::ToMicros(aRequest.due) },
                                    { "end_us", common::ToMicros(mClock.Now()) } }) +
                     "\n";
  // One fwrite per line, so that lines of several threads do not interleave.
  std::fwrite(line.data(), 1, line.size(), mHistory);
}

} // namespace bamboograde::load
