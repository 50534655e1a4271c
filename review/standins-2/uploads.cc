// Uploads that wait for a slot while the daemon of their machine is stopped as planned.
#include "harness.hh"

using namespace harness;

namespace {

// Deadline of the pool ledger's unsafe requests on the sheet of the tip distribution service.
constexpr int64_t kDeadlineMs = 6000;
constexpr int64_t kWorkMs = 330;
constexpr int64_t kLongWorkMs = 900;
constexpr unsigned kSlots = 6;
constexpr unsigned kServers = 3;
// Fills the slots of all servers, so that the uploads have to wait for at most kLongWorkMs.
constexpr unsigned kLongRequests = kSlots * kServers;
constexpr unsigned kUploads = 6;
constexpr size_t kSmallBody = 4000;
constexpr size_t kLargeBody = 300000;

struct outcome
{
  std::string id;
  bool complete = false;
  int status = 0;
  double spent = 0;
  std::string error;
};

outcome Send(const std::string& aPath, size_t aBytes)
{
  outcome result;
  result.id = Id();
  int fd = Connect(Ip(10), kOutboundPort);
  reader in(fd);
  in.SetDeadline(steady::now() + ms(kDeadlineMs));
  double sentAt = Seconds();
  bool sent = SendAll(fd, RequestText("POST", aPath, result.id, kDeadlineMs, std::string(aBytes, 'b')));
  gRecord.Write("client: has sent POST " + aPath + " " + result.id + ", " + std::to_string(aBytes) +
                " bytes, deadline " + std::to_string(kDeadlineMs) + " ms");
  message answer;
  result.complete = sent && in.Whole(&answer);
  result.status = answer.Status();
  result.error = in.Error();
  result.spent = Seconds() - sentAt;
  gRecord.Write("client: " + result.id + " gets " +
                (result.complete ? answer.second : "NO ANSWER (" + result.error + ")") + " after " +
                std::to_string(result.spent) + " s");
  close(fd);
  return result;
}

} // namespace

int main(int, char** argv)
{
  Begin(argv[1]);
  json bounds = { { "grace_s", 6 }, { "drain_ms", 2500 }, { "retry_ratio", 0.2 }, { "retry_slack", 198 },
                  { "retry_window_s", 10 }, { "max_hold_ms", 10000 }, { "config_apply_ms", 2500 } };
  store platform;
  platform.Start(Ip(1), 7627);
  platform.Put("op", "config",
               { { "version", 1 },
                 { "routes", { { "lodge", Route("/lodge/", "unsafe", "pools", 6000, 1000) } } },
                 { "services", { { "pools", { { "healthPath", "/health" }, { "maxConns", 530 } } } } },
                 { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 },
                               { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 20000 } } } });
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<sidecar_process>> owned;
  std::vector<sidecar_process*> daemons;
  for (unsigned i = 0; i < kServers; ++i) {
    std::string zone = "zone-" + std::to_string(i);
    servers.push_back(std::make_unique<server>(10 + i, "pools", zone, kSlots, [](const run& aRun) {
      bool isLong = aRun.target == "/lodge/long";
      return server::answer{ 200, isLong ? kLongWorkMs : kWorkMs, std::string(400, 'x'), "" };
    }));
    servers.back()->Start();
    owned.push_back(std::make_unique<sidecar_process>(10 + i, "pools", zone, bounds, "", 200));
    daemons.push_back(owned.back().get());
    daemons.back()->Start();
  }
  WaitReady(daemons);
  Sleep(4000);
  std::vector<std::thread> others;
  for (unsigned i = 0; i < kLongRequests; ++i) {
    others.emplace_back([] { Send("/lodge/long", kSmallBody); });
  }
  Sleep(150);
  std::vector<outcome> results(kUploads);
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kUploads; ++i) {
    clients.emplace_back([&results, i] { results[i] = Send("/lodge/large", kLargeBody); });
  }
  Sleep(150);
  if (Trouble()) {
    daemons[0]->Signal(SIGTERM, "SIGTERM");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (std::thread& other : others) {
    other.join();
  }
  daemons[0]->Ended();
  unsigned lost = 0;
  for (const outcome& result : results) {
    bool inTime = result.error != "deadline" && result.spent < double(kDeadlineMs) / 1000;
    lost += !result.complete && inTime ? 1 : 0;
  }
  gRecord.Write(std::to_string(lost) + " of " + std::to_string(kUploads) +
                " connections ended without an answer before the deadline");
  Finish(lost > 0 ? 1 : 0, daemons);
}
