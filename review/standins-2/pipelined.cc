// Clients that send a second safe request before the first is answered, while one server breaks
// off a few of its answers.
#include "harness.hh"

#include <set>

using namespace harness;

namespace {

constexpr unsigned kClients = 20;
constexpr int64_t kDeadlineMs = 4000;
constexpr size_t kLargeBytes = 200000;
// The part of a spoilt answer that is sent before it breaks off.
constexpr size_t kBrokenBytes = 100000;
// Disruption: episodes of 5.5 s, in which one server of four breaks off 2 in 100 of its answers.
constexpr int64_t kEpisodeMs = 5500;
constexpr int64_t kPauseMs = 1500;
constexpr unsigned kEpisodes = 6;
constexpr unsigned kOneIn = 50;

std::atomic<bool> gSpoils{ false };
std::atomic<bool> gEnd{ false };
std::mutex gMutex;
std::set<std::string> gAtSoundServer;
std::atomic<unsigned> gPairs{ 0 };
std::atomic<unsigned> gBroken{ 0 };
std::atomic<unsigned> gLost{ 0 };

void Client(unsigned aNumber)
{
  while (!gEnd) {
    int fd = Connect(Ip(10), kOutboundPort);
    if (fd < 0) {
      Sleep(50);
      continue;
    }
    reader in(fd);
    bool open = true;
    while (open && !gEnd) {
      std::string first = Id();
      std::string second = Id();
      in.SetDeadline(steady::now() + ms(kDeadlineMs));
      double sentAt = Seconds();
      gRecord.Write("client " + std::to_string(aNumber) + ": sends GET /small " + first + " and GET /large " + second);
      SendAll(fd, RequestText("GET", "/small/a", first, kDeadlineMs) +
                    RequestText("GET", "/large/a", second, kDeadlineMs));
      ++gPairs;
      message one;
      message two;
      if (!in.Whole(&one)) {
        bool inTime = Seconds() - sentAt < double(kDeadlineMs) / 1000;
        std::lock_guard lock(gMutex);
        bool passedOn = gAtSoundServer.count(first) > 0;
        gLost += inTime && passedOn ? 1 : 0;
        gRecord.Write("client " + std::to_string(aNumber) + ": connection ends without an answer to " + first + " (" +
                      in.Error() + ") after " + std::to_string(Seconds() - sentAt) + " s; it was " +
                      (passedOn ? "passed on to a sound server" : "not passed on to a sound server"));
        open = false;
      } else if (!in.Whole(&two)) {
        gRecord.Write("client " + std::to_string(aNumber) + ": " + first + " gets " + one.second +
                      "; the connection ends in the answer to " + second);
        open = false;
      } else {
        gRecord.Write("client " + std::to_string(aNumber) + ": " + first + " gets " + one.second + ", " + second +
                      " gets " + two.second);
        open = one.Header("connection") != "close" && two.Header("connection") != "close";
      }
    }
    close(fd);
  }
}

} // namespace

int main(int, char** argv)
{
  Begin(argv[1]);
  json bounds = { { "grace_s", 6 }, { "drain_ms", 2500 }, { "retry_ratio", 0.2 }, { "retry_slack", 212 },
                  { "retry_window_s", 10 }, { "max_hold_ms", 10000 }, { "config_apply_ms", 2500 } };
  store platform;
  platform.Start(Ip(1), 7627);
  platform.Put("op", "config",
               { { "version", 1 },
                 { "routes", { { "large", Route("/large/", "download", "media", 4000, 1000) },
                               { "small", Route("/small/", "safe", "archive", 4000, 500) } } },
                 { "services", { { "media", { { "healthPath", "/health" }, { "maxConns", 580 } } },
                                 { "archive", { { "healthPath", "/health" }, { "maxConns", 580 } } } } },
                 { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 },
                               { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 20000 } } } });
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<sidecar_process>> owned;
  std::vector<sidecar_process*> daemons;
  std::atomic<unsigned> answers{ 0 };
  const char* services[] = { "media", "archive", "archive", "media" };
  for (unsigned i = 0; i < 4; ++i) {
    std::string zone = "zone-" + std::to_string(i);
    bool mayBreak = i == 0;
    servers.push_back(std::make_unique<server>(10 + i, services[i], zone, 18, [mayBreak, &answers](const run& aRun) {
      bool large = aRun.target.rfind("/large/", 0) == 0;
      if (!mayBreak) {
        std::lock_guard lock(gMutex);
        gAtSoundServer.insert(aRun.id);
      }
      std::string raw;
      if (mayBreak && gSpoils && ++answers % kOneIn == 0) {
        ++gBroken;
        raw = "HTTP/1.1 200 OK\r\nX-Bamboograde-Request-Id: @ID@\r\nX-Bamboograde-Server-Stamp: 3e1b.1\r\n"
              "Content-Length: " + std::to_string(large ? kLargeBytes : 400) + "\r\n\r\n" +
              std::string(large ? kBrokenBytes : 200, 'x');
      }
      return server::answer{ 200, large ? 100 : 300, std::string(large ? kLargeBytes : 400, 'x'), raw };
    }));
    servers.back()->Start();
    owned.push_back(std::make_unique<sidecar_process>(10 + i, services[i], zone, bounds, "", 200));
    daemons.push_back(owned.back().get());
    daemons.back()->Start();
  }
  WaitReady(daemons);
  Sleep(4000);
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kClients; ++i) {
    clients.emplace_back(Client, i);
  }
  for (unsigned i = 0; i < kEpisodes; ++i) {
    Sleep(kPauseMs);
    gSpoils = Trouble();
    Sleep(kEpisodeMs);
    gSpoils = false;
  }
  gEnd = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (sidecar_process* item : daemons) {
    if (item->Ended()) {
      CannotRun("a daemon has ended");
    }
  }
  gRecord.Write(std::to_string(gPairs) + " pairs of requests, " + std::to_string(gBroken) + " answers broken off by a server, " +
                std::to_string(gLost) + " requests passed on to a sound server whose connection ended without an answer");
  Finish(gLost > 3 ? 1 : 0, daemons);
}
