// Stand-in for the platform: a table service with conditional transactions and an object store.
// POST /faults injects faults.

#include "connection/http_server.h"
#include "connection/platform_codec.h"
#include "connection/timer.h"
#include "platform_state.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>
#include <list>

ABSL_FLAG(std::string, listen, "127.0.0.1:6900", "IP:PORT to listen at.");

namespace {

using bamboograde::common::json;
using bamboograde::connection::http_exchange_ptr;
namespace common = bamboograde::common;
namespace connection = bamboograde::connection;

constexpr size_t kMaxBodyBytes = 64 << 20;
constexpr unsigned kIdleSeconds = 600;

// Faults that are injected into calls.
struct faults
{
  // "none", "outage" (no response), "refuse" (status 503), or "lose_answers" (commits
  // without a response).
  std::string mode = "none";
  common::milliseconds latency{ 0 };
};

class platform_server
{
public:
  platform_server()
    : mServer({ kMaxBodyBytes, kIdleSeconds })
  {
    mServer.Handle("/v1/transact", [this](const http_exchange_ptr& aExchange) {
      Serve(aExchange, "writes", [this, aExchange] { Transact(aExchange); });
    });
    mServer.Handle("/v1/row", [this](const http_exchange_ptr& aExchange) {
      Serve(aExchange, "reads", [this, aExchange] { Read(aExchange); });
    });
    mServer.Handle("/v1/rows", [this](const http_exchange_ptr& aExchange) {
      Serve(aExchange, "reads", [this, aExchange] { Scan(aExchange); });
    });
    mServer.Handle("/faults", [this](const http_exchange_ptr& aExchange) { SetFaults(aExchange); });
    mServer.Handle("/counters", [this](const http_exchange_ptr& aExchange) {
      aExchange->RespondJson(200, common::Dump(mCallCounts));
    });
    mServer.HandleDefault([this](const http_exchange_ptr& aExchange) {
      Serve(aExchange, "objects", [this, aExchange] { Object(aExchange); });
    });
  }

  common::result<void> Listen(const std::string& aAddress)
  {
    return mServer.Listen(common::endpoint(aAddress), false);
  }

private:
  void Serve(const http_exchange_ptr& aExchange, const char* aKind, std::function<void()> aAction)
  {
    std::string client = aExchange->Header("Platform-Client");
    json& count = mCallCounts[aKind][client.empty() ? "-" : client];
    count = count.is_null() ? 1 : count.get<uint64_t>() + 1;
    if (mFaults.mode == "outage") {
      // The exchange stays open without a response until the client times out or faults end.
      mUnanswered.push_back(aExchange);
      return;
    }
    if (mFaults.mode == "refuse") {
      aExchange->RespondJson(503, "{}");
      return;
    }
    if (mFaults.latency.count() == 0) {
      aAction();
      return;
    }
    auto delayed = mDelayTimers.emplace(mDelayTimers.end());
    delayed->StartOnce(mFaults.latency, [this, delayed, aAction] {
      aAction();
      mDelayTimers.erase(delayed);
    });
  }

  void Transact(const http_exchange_ptr& aExchange)
  {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (!body.has_value()) {
      aExchange->RespondJson(400, "{}");
      return;
    }
    auto result = mState.Commit(connection::DecodeTransaction(body.assume_value()));
    if (mFaults.mode == "lose_answers") {
      mUnanswered.push_back(aExchange);
      return;
    }
    json responseBody = { { "committed", result.committed },
                          { "version", result.version.Value() },
                          { "failed", result.failed } };
    aExchange->RespondJson(result.committed ? 200 : 409, common::Dump(responseBody));
  }

  void Read(const http_exchange_ptr& aExchange)
  {
    aExchange->RespondJson(
      200, common::Dump(connection::EncodeRow(mState.Read(aExchange->Query("name")))));
  }

  void Scan(const http_exchange_ptr& aExchange)
  {
    json rows = json::array();
    auto limit = size_t(std::atoll(aExchange->Query("limit").c_str()));
    for (const auto& row :
         mState.Scan(aExchange->Query("prefix"), aExchange->Query("after"), limit)) {
      rows.push_back(connection::EncodeRow(row));
    }
    aExchange->RespondJson(200, common::Dump({ { "rows", std::move(rows) } }));
  }

  void Object(const http_exchange_ptr& aExchange)
  {
    if (aExchange->Method() == "PUT") {
      mObjects[aExchange->Path()] = aExchange->TakeBody();
      aExchange->RespondJson(200, "{}");
      return;
    }
    auto found = mObjects.find(aExchange->Path());
    if (found == mObjects.end()) {
      aExchange->RespondJson(404, "{}");
      return;
    }
    aExchange->Respond({ 200, {}, found->second });
  }

  void SetFaults(const http_exchange_ptr& aExchange)
  {
    auto body = common::ParseJson(aExchange->TakeBody());
    if (body.has_value()) {
      mFaults.mode = common::GetString(body.assume_value(), "mode", "none");
      mFaults.latency =
        common::milliseconds(int64_t(common::GetNumber(body.assume_value(), "latency_ms")));
    }
    if (mFaults.mode == "none") {
      mUnanswered.clear();
    }
    aExchange->RespondJson(200, "{}");
  }

  connection::http_server mServer;
  bamboograde::standins::platform::platform_state mState;
  std::map<std::string, std::string> mObjects;
  faults mFaults;
  json mCallCounts = json::object();
  std::vector<http_exchange_ptr> mUnanswered;
  std::list<connection::timer> mDelayTimers;
};

} // namespace

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  platform_server server;
  auto listening = server.Listen(absl::GetFlag(FLAGS_listen));
  if (!listening.has_value()) {
    std::cerr << listening.assume_error().message << "\n";
    return 1;
  }
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_main_loop_run(loop);
  return 0;
}
