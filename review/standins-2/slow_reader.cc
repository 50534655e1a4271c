// Clients that read a large answer slowly while the daemon of their machine is stopped as planned.
#include "harness.hh"

using namespace harness;

namespace {

constexpr int64_t kDeadlineMs = 4000;
// Sizes of the answers; "/large/N" has the N-th. 3,500 bytes each 20 ms are 175,000 bytes a
// second: 3.1 s for the longest one.
constexpr size_t kBodyBytes[] = { 510000, 520000, 530000, 540000 };
constexpr size_t kPieceBytes = 3500;
constexpr int64_t kPieceMs = 20;
constexpr int kSegment = 1448;

struct outcome
{
  std::string id;
  bool complete = false;
  int status = 0;
  size_t bytes = 0;
  double spent = 0;
  std::string error;
};

// Sends one request on a connection that has served a request before.
outcome Download(const std::string& aIp, int64_t aStartAfterMs, size_t aSize)
{
  outcome result;
  int fd = Connect(aIp, kOutboundPort, kSegment, 16384);
  reader in(fd);
  message warm;
  SendAll(fd, RequestText("GET", "/small/a", Id(), 2000));
  if (!in.Whole(&warm) || warm.Status() != 200) {
    CannotRun("the first request of a connection was not served");
  }
  Sleep(aStartAfterMs);
  result.id = Id();
  double sentAt = Seconds();
  gRecord.Write("client at " + aIp + ": sends GET /large/" + std::to_string(aSize) + " " + result.id + ", deadline " + std::to_string(kDeadlineMs) + " ms");
  bool sent = SendAll(fd, RequestText("GET", "/large/" + std::to_string(aSize), result.id, kDeadlineMs));
  in.SetDeadline(steady::now() + ms(kDeadlineMs));
  message answer;
  if (!sent) {
    result.error = "not sent";
  } else if (in.Head(&answer)) {
    result.status = answer.Status();
    in.Pace(kPieceBytes, kPieceMs);
    result.complete = in.Body(&answer);
    result.bytes = in.BodyBytes();
  }
  result.error = in.Error();
  result.spent = Seconds() - sentAt;
  gRecord.Write("client at " + aIp + ": " + result.id + " gets status " + std::to_string(result.status) + ", " +
                std::to_string(result.bytes) + " bytes, " +
                (result.complete ? "complete" : "NOT COMPLETE (" + result.error + ")") + " after " +
                std::to_string(result.spent) + " s");
  close(fd);
  return result;
}

} // namespace

int main(int, char** argv)
{
  Begin(argv[1]);
  // Bounds as on the sheet of the radio catch-up service.
  json bounds = { { "grace_s", 6 }, { "drain_ms", 2500 }, { "retry_ratio", 0.2 }, { "retry_slack", 212 },
                  { "retry_window_s", 10 }, { "max_hold_ms", 10000 }, { "config_apply_ms", 2500 } };
  store platform;
  platform.Start(Ip(1), 7627);
  platform.Put("op", "config",
               { { "version", 1 },
                 { "routes", { { "large", Route("/large/", "download", "media", 4000, 1000) },
                               { "small", Route("/small/", "safe", "media", 4000, 500) } } },
                 { "services", { { "media", { { "healthPath", "/health" }, { "maxConns", 580 } } } } },
                 { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 },
                               { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 20000 } } } });
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<sidecar_process>> owned;
  std::vector<sidecar_process*> daemons;
  for (unsigned i = 0; i < 3; ++i) {
    std::string zone = "zone-" + std::to_string(i);
    servers.push_back(std::make_unique<server>(10 + i, "media", zone, 18, [](const run& aRun) {
      bool large = aRun.target.rfind("/large/", 0) == 0;
      size_t bytes = large ? kBodyBytes[aRun.target.back() - '0'] : 400;
      return server::answer{ 200, large ? 300 : 10, std::string(bytes, 'x'), "" };
    }));
    servers.back()->Start();
    owned.push_back(std::make_unique<sidecar_process>(10 + i, "media", zone, bounds, "", 100));
    daemons.push_back(owned.back().get());
    daemons.back()->Start();
  }
  WaitReady(daemons);
  Sleep(4000);
  std::vector<outcome> results(8);
  std::vector<std::thread> clients;
  // Four clients send before the SIGTERM, whose servers are at work when it comes, and four shortly
  // after it, before the platform's readiness
  // probe (once a second, two misses) can have shown it to them.
  for (size_t i = 0; i < results.size(); ++i) {
    clients.emplace_back([&results, i] {
      results[i] = Download(Ip(10), i < 4 ? 1350 : 1700, i % 4);
    });
  }
  Sleep(1500);
  if (Trouble()) {
    daemons[0]->Signal(SIGTERM, "SIGTERM");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  auto until = steady::now() + ms(4000);
  while (Trouble() && !daemons[0]->Ended() && steady::now() < until) {
    Sleep(20);
  }
  unsigned lost = 0;
  for (const outcome& result : results) {
    bool begun = result.status == 200;
    bool inTime = result.spent < double(kDeadlineMs) / 1000 && result.error != "deadline";
    if (begun && !result.complete && inTime) {
      ++lost;
    }
  }
  gRecord.Write(std::to_string(lost) + " of " + std::to_string(results.size()) +
                " answers were broken off before the deadline");
  Finish(lost > 0 ? 1 : 0, daemons);
}
