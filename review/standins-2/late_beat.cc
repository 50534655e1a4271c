// A server leaves, its daemon is stopped and started again as planned, and one of the heartbeats that
// the server sent before comes late.
#include "harness.hh"

using namespace harness;

namespace {

constexpr int kHeartbeatMs = 870;
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kContactMs = 3000;
constexpr unsigned kSlots = 14;
constexpr int64_t kWorkMs = 78;
constexpr int64_t kDeadlineMs = 600;
// The last heartbeat before the server leaves arrives this late.
constexpr int64_t kLateMs = 14000;
// How long the server goes on serving after the acknowledgement, before it exits.
constexpr int64_t kServesMs = 15000;

int64_t NowMs()
{
  return int64_t(Seconds() * 1000);
}

// Announces itself, leaves by a DELETE alone, and goes on serving for a while.
class leaving_server
{
public:
  explicit leaving_server(unsigned aNumber)
    : mNumber(aNumber)
    , mId("i-" + Id())
  {
  }
  void Start()
  {
    mListener = Listen(Ip(mNumber), kServerPort);
    Serve(mListener, [this](int aFd) { Connection(aFd); });
    mHeartbeats = std::thread([this] {
      while (!mLeaves) {
        Beat();
        for (int i = 0; i < kHeartbeatMs / 10 && !mLeaves; ++i) {
          Sleep(10);
        }
      }
    });
  }
  // Sends one more heartbeat, which arrives at once or late, and then the DELETE.
  void Leave(bool aLate)
  {
    mLeaves = true;
    mHeartbeats.join();
    std::string last = BeatText();
    if (aLate) {
      gRecord.Write("server " + mId + ": sends a heartbeat that will be late");
      std::thread([this, last] {
        Sleep(kLateMs);
        bool ok = Send(last);
        gRecord.Write("server " + mId + ": its late heartbeat has arrived, " + (ok ? "200" : "not acknowledged"));
      }).detach();
    } else {
      Send(last);
    }
    Sleep(100);
    if (!Send("DELETE /v1/instances/" + mId + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
      CannotRun("the DELETE was not acknowledged");
    }
    mGoneAt = NowMs();
    gRecord.Write("server " + mId + ": its DELETE was acknowledged");
  }
  int64_t GoneAt() const { return mGoneAt; }
  unsigned LateRuns() const { return mLateRuns; }
  unsigned Broken() const { return mBroken; }
  void SetCountFrom(int64_t aMs) { mCountFrom = aMs; }
  // From now on connections are refused, and those that are open end.
  void Exit()
  {
    mExited = true;
    shutdown(mListener, SHUT_RDWR);
  }

private:
  std::string BeatText()
  {
    json body = { { "address", Ip(mNumber) + ":" + std::to_string(kServerPort) },
                  { "born", mBorn },
                  { "info",
                    { { "service", "lieferschein" }, { "version", "v1" }, { "zone", "zone-0" }, { "slots", kSlots } } },
                  { "status", { { "state", "ready" }, { "callSeq", ++mSequence }, { "coldLeftMs", 0 } } },
                  { "holds", json::array() },
                  { "freed", json::array() } };
    std::string text = body.dump();
    return "PUT /v1/instances/" + mId + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
           "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  }
  void Beat() { Send(BeatText()); }
  bool Send(const std::string& aText)
  {
    int fd = Connect(Ip(mNumber), kControlPort);
    if (fd < 0) {
      return false;
    }
    message answer;
    reader in(fd);
    in.SetDeadline(steady::now() + ms(1000));
    bool ok = SendAll(fd, aText) && in.Whole(&answer) && answer.Status() == 200;
    close(fd);
    return ok;
  }
  void Connection(int aFd)
  {
    reader in(aFd);
    for (;;) {
      message request;
      if (!in.Whole(&request) || mExited) {
        return;
      }
      if (request.second == "/health") {
        bool leaving = mGoneAt > 0;
        gRecord.Write("server " + mId + ": health check gets " + (leaving ? "503" : "200"));
        SendAll(aFd, Response(leaving ? 503 : 200, "X-Bamboograde-Instance-Id: " + mId + "\r\n", ""));
        continue;
      }
      std::string id = request.Header("x-bamboograde-request-id");
      std::string echo = "X-Bamboograde-Request-Id: " + id + "\r\n";
      std::string target = request.Header("x-bamboograde-target-instance");
      if (!target.empty() && target != mId) {
        SendAll(aFd, Response(421, echo + "X-Bamboograde-Not-Executed: 1\r\n", ""));
        continue;
      }
      bool late = mGoneAt > 0 && NowMs() > mGoneAt + kDrainMs;
      if (late) {
        gRecord.Write("server " + mId + ": runs " + id + " " + std::to_string(NowMs() - mGoneAt) +
                      " ms after the acknowledgement");
        mLateRuns += NowMs() > mCountFrom ? 1 : 0;
      }
      Sleep(kWorkMs);
      if (mExited) {
        ++mBroken;
        return;
      }
      if (!SendAll(aFd, Response(200, echo + "X-Bamboograde-Server-Stamp: 3e1b." + id + "\r\n", std::string(400, 'x')))) {
        return;
      }
    }
  }

  unsigned mNumber;
  int mListener = -1;
  std::string mId;
  int64_t mBorn = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
  uint64_t mSequence = 0;
  std::thread mHeartbeats;
  std::atomic<bool> mLeaves{ false };
  std::atomic<bool> mExited{ false };
  std::atomic<int64_t> mGoneAt{ 0 };
  std::atomic<int64_t> mCountFrom{ INT64_MAX };
  std::atomic<unsigned> mLateRuns{ 0 };
  std::atomic<unsigned> mBroken{ 0 };
};

} // namespace

int main(int, char** argv)
{
  Begin(argv[1]);
  json bounds = { { "grace_s", 6 }, { "drain_ms", kDrainMs }, { "retry_ratio", 0.2 }, { "retry_slack", 60 },
                  { "retry_window_s", 10 }, { "max_hold_ms", 10000 }, { "config_apply_ms", 2000 } };
  store platform;
  platform.Start(Ip(1), 7627);
  platform.Put("op", "config",
               { { "version", 1 },
                 { "routes", { { "confirm", Route("/confirm/", "unsafe", "lieferschein", 600, 250) } } },
                 { "services", { { "lieferschein", { { "healthPath", "/health" }, { "maxConns", 120 } } },
                                 { "touren", { { "healthPath", "/health" }, { "maxConns", 120 } } } } },
                 { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 },
                               { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 20000 } } } });
  leaving_server leaving(10);
  leaving.Start();
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<sidecar_process>> owned;
  std::vector<sidecar_process*> daemons;
  const char* services[] = { "lieferschein", "lieferschein", "touren", "touren" };
  for (unsigned i = 0; i < 4; ++i) {
    std::string zone = "zone-" + std::to_string(i);
    if (i > 0) {
      servers.push_back(std::make_unique<server>(10 + i, services[i], zone, kSlots, [](const run&) {
        return server::answer{ 200, kWorkMs, std::string(400, 'x'), "" };
      }));
      servers.back()->Start();
    }
    owned.push_back(std::make_unique<sidecar_process>(10 + i, services[i], zone, bounds));
    daemons.push_back(owned.back().get());
    daemons.back()->Start();
  }
  WaitReady(daemons);
  Sleep(4000);
  std::atomic<bool> end{ false };
  std::atomic<unsigned> sent{ 0 };
  std::atomic<unsigned> cut{ 0 };
  // Clients of two machines that nothing disturbs, beside which servers of another service run.
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < 16; ++i) {
    clients.emplace_back([&, i] {
      while (!end) {
        std::string id = Id();
        int fd = Connect(Ip(12 + i % 2), kOutboundPort);
        reader in(fd);
        in.SetDeadline(steady::now() + ms(kDeadlineMs));
        message answer;
        ++sent;
        bool ok = SendAll(fd, RequestText("POST", "/confirm/a", id, kDeadlineMs, std::string(400, 'b'))) &&
                  in.Whole(&answer);
        close(fd);
        if (!ok || answer.Status() != 200) {
          gRecord.Write("client: " + id + " gets " + (ok ? answer.second : "no answer"));
        }
        cut += ok && answer.Status() == 502 ? 1 : 0;
        Sleep(60);
      }
    });
  }
  Sleep(3000);
  leaving.Leave(Trouble());
  Sleep(300);
  daemons[0]->Signal(SIGTERM, "SIGTERM");
  while (!daemons[0]->Ended()) {
    Sleep(10);
  }
  daemons[0]->Start();
  // Counted once the restarted machine is in touch again.
  leaving.SetCountFrom(NowMs() + kContactMs + 500);
  Sleep(leaving.GoneAt() + kServesMs - NowMs());
  gRecord.Write("the server exits");
  leaving.Exit();
  Sleep(1500);
  end = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (sidecar_process* item : daemons) {
    if (item->Ended()) {
      CannotRun("a daemon has ended");
    }
  }
  gRecord.Write(std::to_string(sent) + " requests sent; " + std::to_string(leaving.LateRuns()) +
                " reached the server later than drainMs after the acknowledgement, by machines in touch; " +
                std::to_string(leaving.Broken()) + " were at work when it exited");
  Finish(leaving.LateRuns() > 0 ? 1 : 0, daemons);
}
