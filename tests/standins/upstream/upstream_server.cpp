#include "upstream_server.h"

#include "request/headers.h"

#include <cstdlib>

namespace bamboograde::standins::upstream {

using common::json;
using connection::http_exchange_ptr;

namespace {

constexpr common::milliseconds kAnnouncePeriod{ 500 };
constexpr size_t kMaxBodyBytes = 64 << 20;
constexpr unsigned kIdleSeconds = 600;
constexpr int kCrashExitCode = 42;

int64_t ParseNumber(const std::string& aText)
{
  return std::strtoll(aText.c_str(), nullptr, 10);
}

} // namespace

upstream_server::upstream_server(upstream_options aOptions)
  : mOptions(std::move(aOptions))
  , mServer({ kMaxBodyBytes, kIdleSeconds })
  , mClient({})
  , mLog(mOptions.logPath)
{
  mServer.Handle("/grant", [this](const http_exchange_ptr& aExchange) { OnGrant(aExchange); });
  // Always reports a healthy upstream.
  mServer.Handle("/health", [](const http_exchange_ptr& aExchange) {
    aExchange->RespondJson(200, R"({"ok":true})");
  });
  mServer.HandleDefault([this](const http_exchange_ptr& aExchange) { OnWork(aExchange); });
}

common::result<void> upstream_server::Listen()
{
  auto listening = mServer.Listen(mOptions.listen, false);
  if (listening.has_value() && !mOptions.daemon.Empty()) {
    Announce();
    mAnnounceTimer.StartRepeating(kAnnouncePeriod, [this] { Announce(); });
  }
  return listening;
}

void upstream_server::Announce()
{
  connection::http_request request;
  request.method = "POST";
  request.authority = mOptions.daemon.Str();
  request.target = "/announce";
  request.body = common::Dump({ { "address", mOptions.listen.Str() },
                                { "slots", mOptions.slots },
                                { "cold_ms", uint64_t(mOptions.cold.count()) },
                                { "checks_fences", mOptions.checksFences } });
  mClient.Send(request, mClock.Now() + kAnnouncePeriod, mClock.Now(),
               [](const connection::http_result&) {});
}

void upstream_server::Leave()
{
  mAnnounceTimer.Stop();
  connection::http_request request;
  request.method = "POST";
  request.authority = mOptions.daemon.Str();
  request.target = "/leave";
  mClient.Send(request, mClock.Now() + kAnnouncePeriod, mClock.Now(),
               [](const connection::http_result&) {});
}

void upstream_server::OnGrant(const http_exchange_ptr& aExchange)
{
  auto body = common::ParseJson(aExchange->TakeBody());
  if (body.has_value()) {
    mSession = common::GetString(body.assume_value(), "session");
    mGrantEndUs = int64_t(common::GetNumber(body.assume_value(), "end_boot_us"));
  }
  aExchange->RespondJson(200, "{}");
}

std::string upstream_server::CheckFence(const http_exchange_ptr& aExchange) const
{
  if (!mOptions.checksFences) {
    return "";
  }
  int64_t nowUs = common::ToMicros(mClock.Now());
  if (ParseNumber(aExchange->Header(request::kGrantEndHeader)) <= nowUs) {
    return "the grant has ended";
  }
  return "";
}

void upstream_server::RespondNotRun(const http_exchange_ptr& aExchange, const std::string& aReason)
{
  aExchange->Respond({ 503, { { request::kUpstreamRunHeader, "not-run" } }, aReason });
}

void upstream_server::OnWork(const http_exchange_ptr& aExchange)
{
  if (aExchange->Header("Standin-Do") == "crash") {
    std::_Exit(kCrashExitCode);
  }
  std::string refusal = CheckFence(aExchange);
  if (!refusal.empty()) {
    RespondNotRun(aExchange, refusal);
    return;
  }
  if (mRunning.size() >= mOptions.slots && !mOptions.daemon.Empty()) {
    RespondNotRun(aExchange, "all slots are taken");
    return;
  }
  mRunning.emplace_back();
  auto item = std::prev(mRunning.end());
  item->exchange = aExchange;
  item->entry = { { "start_us", common::ToMicros(mClock.Now()) },
                  { "upstream", mOptions.listen.Str() },
                  { "method", aExchange->Method() },
                  { "service", aExchange->Header(request::kServiceHeader) },
                  { "key", aExchange->Header(request::kKeyHeader) },
                  { "id", aExchange->Header(request::kRequestIdHeader) },
                  { "ticket", aExchange->Header(request::kIdempotencyHeader) },
                  { "session", aExchange->Header(request::kFenceSessionHeader) },
                  { "epoch", ParseNumber(aExchange->Header(request::kFenceEpochHeader)) } };
  common::microseconds work = mOptions.work;
  std::string requestedWork = aExchange->Query("work_us");
  if (!requestedWork.empty()) {
    work = common::microseconds(ParseNumber(requestedWork));
  }
  if (work.count() == 0) {
    Finish(item);
    return;
  }
  aExchange->WatchDisconnect([this, item] {
    item->cancelled = true;
    Finish(item);
  });
  item->timer.StartOnce(std::chrono::ceil<common::milliseconds>(work),
                        [this, item] { Finish(item); });
}

void upstream_server::Finish(running_iterator aItem)
{
  running& item = *aItem;
  int64_t nowUs = common::ToMicros(mClock.Now());
  bool fenced = mOptions.checksFences && item.timer.Running() == false && !mSession.empty() &&
                (mSession != item.entry["session"].get<std::string>() || mGrantEndUs <= nowUs);
  item.entry["end_us"] = nowUs;
  item.entry["effect"] = !item.cancelled && !fenced;
  if (!mOptions.logPath.empty()) {
    mLog.Write(item.entry);
  }
  http_exchange_ptr exchange = std::move(item.exchange);
  std::string key = item.entry["key"].get<std::string>();
  bool effect = item.entry["effect"].get<bool>();
  mRunning.erase(aItem);
  if (!effect) {
    RespondNotRun(exchange, "the grant ended or the request was cancelled");
    return;
  }
  ++mCompleted;
  std::string padding(size_t(ParseNumber(exchange->Query("bytes"))), 'x');
  json body = { { "nonce", exchange->Header("Load-Nonce") },
                { "key", key },
                { "upstream", mOptions.listen.Str() },
                { "ran", mCompleted } };
  std::string text = common::Dump(body) + padding;
  exchange->Respond({ 200, { { "Content-Type", "application/json" } }, text });
}

} // namespace bamboograde::standins::upstream
