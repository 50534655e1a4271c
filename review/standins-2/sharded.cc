// A service that is divided by key, whose daemons are stopped and started in turn as planned, and
// all killed once in the end.
#include "harness.hh"

#include <cmath>
#include <algorithm>
#include <array>
#include <deque>

using namespace harness;

namespace {

// Slots, deadline, speeds and skew as on the sheet of the time signal service (pipclock); the period of
// the heartbeats as in the settings that DEPLOY.md shows.
constexpr unsigned kServers = 3;
constexpr unsigned kSlots = 6;
// Of servers that differ in speed (0.6, 1 and 1.4).
constexpr int64_t kWorkMs[kServers] = { 267, 160, 114 };
constexpr int64_t kDeadlineMs = 1200;
constexpr int kHeartbeatMs = 870;
constexpr double kPerSecond = 75;
constexpr double kSkew = 0.9;
constexpr uint32_t kThings = 60000;
constexpr uint32_t kFirstBusyKey = 26768;
// Of an acknowledgement of a heartbeat.
constexpr size_t kMaxAckBytes = 4096;
constexpr uint32_t kKeys = 65536;
std::atomic<size_t> gLargestAck{ 0 };
// Times from the start of traffic, in seconds.
constexpr double kFirstStopAt = 1;
constexpr double kStopGap = 3.4;
constexpr unsigned kStops = 45;
// The stops end at the latest then, or once an acknowledgement has become this large.
constexpr double kLastStopAt = 74;
constexpr size_t kEnoughAckBytes = 4100;
// All daemons are killed this long after the last stop.
constexpr double kCalm = 6;
constexpr double kDownTime = 1.2;
constexpr double kRecovery = 15;
constexpr double kMeasured = 7;

// A server that runs a request only while it holds its key.
class keyed_server
{
public:
  explicit keyed_server(unsigned aNumber)
    : mNumber(aNumber)
    , mId("i-" + Id())
    , mFence(kKeys, 0)
    , mSeen(kKeys, 0)
    , mRunning(kKeys, 0)
    , mTag(kKeys, 0)
    , mReleasing(kKeys, 0)
  {
  }
  void Start()
  {
    Serve(Listen(Ip(mNumber), kServerPort), [this](int aFd) { Connection(aFd); });
    std::thread([this] { Heartbeats(); }).detach();
  }

private:
  // Runs of adjacent keys for which aOf gives the same number other than 0.
  template<typename function>
  std::vector<std::array<uint32_t, 3>> Runs(const function& aOf) const
  {
    std::vector<std::array<uint32_t, 3>> runs;
    for (uint32_t key = 0; key < kKeys; ++key) {
      uint32_t value = aOf(key);
      if (value == 0) {
        continue;
      }
      if (!runs.empty() && runs.back()[1] + 1 == key && runs.back()[2] == value) {
        runs.back()[1] = key;
      } else {
        runs.push_back({ key, key, value });
      }
    }
    return runs;
  }
  void ExpireLocked()
  {
    if (mUntil != steady::time_point() && steady::now() >= mUntil) {
      if (std::any_of(mFence.begin(), mFence.end(), [](uint32_t aFence) { return aFence != 0; })) {
        gRecord.Write("server " + Ip(mNumber) + ": its hold has run out");
      }
      std::fill(mFence.begin(), mFence.end(), 0);
      std::fill(mReleasing.begin(), mReleasing.end(), 0);
      mUntil = {};
    }
  }
  // Keys that are to be released are freed once no request for them runs.
  bool ReleaseLocked()
  {
    bool busy = false;
    for (uint32_t key = 0; key < kKeys; ++key) {
      busy = busy || (mReleasing[key] != 0 && mRunning[key] > 0);
    }
    if (busy) {
      return false;
    }
    for (const auto& run : Runs([this](uint32_t aKey) { return mReleasing[aKey]; })) {
      mFreed.push_back({ run[0], run[1], Id() });
      for (uint32_t key = run[0]; key <= run[1]; ++key) {
        mReleasing[key] = 0;
        mFence[key] = 0;
      }
    }
    return true;
  }
  void Heartbeats()
  {
    uint64_t sequence = 0;
    auto born = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (;;) {
      json holds = json::array();
      json freed = json::array();
      size_t freedCount = 0;
      {
        std::lock_guard lock(mMutex);
        ExpireLocked();
        ReleaseLocked();
        for (const auto& run : Runs([this](uint32_t aKey) { return mFence[aKey]; })) {
          holds.push_back({ run[0], run[1], run[2] });
        }
        for (const auto& [from, to, handover] : mFreed) {
          freed.push_back({ from, to, handover });
        }
        freedCount = mFreed.size();
      }
      json body = { { "address", Ip(mNumber) + ":" + std::to_string(kServerPort) },
                    { "born", born },
                    { "info",
                      { { "service", "pipclock" }, { "version", "v1" },
                        { "zone", "zone-" + std::to_string(mNumber % kServers) }, { "slots", kSlots } } },
                    { "status", { { "state", "ready" }, { "callSeq", ++sequence }, { "coldLeftMs", 0 } } },
                    { "holds", holds },
                    { "freed", freed } };
      std::string text = body.dump();
      auto sentAt = steady::now();
      bool acknowledged = false;
      int fd = Connect(Ip(mNumber), kControlPort);
      if (fd >= 0) {
        message answer;
        reader in(fd);
        in.SetDeadline(sentAt + ms(1000));
        SendAll(fd, "PUT /v1/instances/" + mId + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
                      "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        bool whole = in.Whole(&answer);
        close(fd);
        if (whole && answer.Status() == 200 && answer.body.size() > kMaxAckBytes) {
          json parsed = json::parse(answer.body, nullptr, false);
          gLargestAck = std::max<size_t>(gLargestAck, answer.body.size());
          gRecord.Write("server " + Ip(mNumber) + ": acknowledgement of " + std::to_string(answer.body.size()) +
                        " bytes with " + std::to_string(parsed.is_object() ? parsed["holds"].size() : 0) +
                        " rows is over 4 KiB and does not count");
        } else if (whole && answer.Status() == 200) {
          acknowledged = true;
          Apply(answer.body, sentAt, freedCount);
        }
      }
      bool releasing = false;
      {
        std::lock_guard lock(mMutex);
        releasing = !ReleaseLocked() || mFreed.size() > 0;
      }
      // The next beat comes within 100 ms until all is released and told.
      int64_t pause = acknowledged && releasing ? 80 : fd >= 0 ? kHeartbeatMs : 100;
      Sleep(pause);
    }
  }
  void Apply(const std::string& aBody, steady::time_point aSentAt, size_t aFreedCount)
  {
    json body = json::parse(aBody, nullptr, false);
    std::lock_guard lock(mMutex);
    mFreed.erase(mFreed.begin(), mFreed.begin() + std::ptrdiff_t(aFreedCount));
    if (!body.is_object() || !body.contains("holds")) {
      return;
    }
    ExpireLocked();
    std::vector<uint32_t> wanted(kKeys, 0);
    for (const json& row : body["holds"]) {
      uint32_t fence = row[2].get<uint32_t>();
      bool accepted = true;
      for (uint32_t key = row[0].get<uint32_t>(); key <= row[1].get<uint32_t>(); ++key) {
        accepted = accepted && fence >= mSeen[key];
      }
      // Rows are told apart by their fence and handover, as they were granted.
      uint32_t tag = mTags.try_emplace({ fence, row[3].get<std::string>() }, uint32_t(mTags.size() + 1)).first->second;
      for (uint32_t key = row[0].get<uint32_t>(); accepted && key <= row[1].get<uint32_t>(); ++key) {
        wanted[key] = fence;
        mSeen[key] = fence;
        mTag[key] = tag;
      }
    }
    for (uint32_t key = 0; key < kKeys; ++key) {
      if (wanted[key] != 0) {
        mFence[key] = wanted[key];
        mReleasing[key] = 0;
      } else if (mFence[key] != 0) {
        mReleasing[key] = mTag[key];
      }
    }
    mUntil = aSentAt + ms(body["holdMs"].get<int64_t>());
  }
  void Connection(int aFd)
  {
    reader in(aFd);
    for (;;) {
      message request;
      if (!in.Whole(&request)) {
        return;
      }
      if (request.second == "/health") {
        SendAll(aFd, Response(200, "X-Bamboograde-Instance-Id: " + mId + "\r\n", ""));
        continue;
      }
      std::string id = request.Header("x-bamboograde-request-id");
      std::string echo = "X-Bamboograde-Request-Id: " + id + "\r\n";
      auto key = uint32_t(std::atol(request.Header("x-bamboograde-shard-key").c_str()));
      std::string target = request.Header("x-bamboograde-target-instance");
      bool runs = false;
      {
        std::unique_lock lock(mMutex);
        mFree.wait(lock, [this] { return mBusy < kSlots; });
        ExpireLocked();
        runs = (target.empty() || target == mId) && mFence[key] != 0 && mReleasing[key] == 0;
        if (runs) {
          ++mBusy;
          ++mRunning[key];
        }
      }
      if (!runs) {
        gRecord.Write("server " + Ip(mNumber) + ": 421 to " + id + ", key " + std::to_string(key) + " is not held");
        SendAll(aFd, Response(421, echo + "X-Bamboograde-Not-Executed: 1\r\n", ""));
        continue;
      }
      gRecord.Write("server " + Ip(mNumber) + ": runs " + id + ", key " + std::to_string(key));
      Sleep(kWorkMs[mNumber % kServers]);
      bool held = false;
      {
        std::lock_guard lock(mMutex);
        ExpireLocked();
        held = mFence[key] != 0;
        --mBusy;
        --mRunning[key];
      }
      mFree.notify_one();
      if (!SendAll(aFd, Response(held ? 200 : 500, echo + "X-Bamboograde-Server-Stamp: 3e1b." + id + "\r\n",
                                 std::string(400, 'x')))) {
        return;
      }
    }
  }

  struct freed_row
  {
    uint32_t from;
    uint32_t to;
    std::string handover;
  };

  unsigned mNumber;
  std::string mId;
  std::mutex mMutex;
  std::condition_variable mFree;
  unsigned mBusy = 0;
  // By key: the fence with which it is held (0: not held), the highest one seen, running requests, the
  // row with which it was granted, and that row if it is to be released.
  std::vector<uint32_t> mFence;
  std::vector<uint32_t> mSeen;
  std::vector<uint32_t> mRunning;
  std::vector<uint32_t> mTag;
  std::vector<uint32_t> mReleasing;
  std::map<std::pair<uint32_t, std::string>, uint32_t> mTags;
  steady::time_point mUntil;
  std::deque<freed_row> mFreed;
};

std::mutex gMutex;
std::atomic<double> gKilledAt{ 1e9 };
unsigned gSentBefore = 0;
unsigned gServedBefore = 0;
unsigned gSentAfter = 0;
unsigned gServedAfter = 0;
std::atomic<unsigned> gActive{ 0 };

// A safe request with one retry, which waits as a refusal says.
void Read(unsigned aMachine, uint32_t aKey, double aAt)
{
  auto deadline = steady::now() + ms(kDeadlineMs);
  for (unsigned attempt = 0; attempt < 2; ++attempt) {
    auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
    if (left <= 0) {
      break;
    }
    std::string id = Id();
    int fd = Connect(Ip(aMachine), kOutboundPort);
    bool served = false;
    double pause = 0.05;
    if (fd >= 0) {
      reader in(fd);
      in.SetDeadline(deadline);
      std::string text = RequestText("GET", "/offset/a", id, left);
      text.insert(text.size() - 2, "X-Bamboograde-Shard-Key: " + std::to_string(aKey) + "\r\n");
      SendAll(fd, text);
      message answer;
      bool whole = in.Whole(&answer);
      close(fd);
      served = whole && answer.Status() == 200;
      pause = std::atof(answer.Header("retry-after").c_str());
      gRecord.Write("client at " + Ip(aMachine) + ": GET " + id + ", key " + std::to_string(aKey) + " gets " +
                    (whole ? answer.second : "no answer (" + in.Error() + ")"));
    } else {
      gRecord.Write("client at " + Ip(aMachine) + ": GET " + id + " no connection");
    }
    {
      std::lock_guard lock(gMutex);
      if (aAt < gKilledAt) {
        ++gSentBefore;
        gServedBefore += served ? 1 : 0;
      } else if (aAt > gKilledAt + kDownTime + kRecovery) {
        ++gSentAfter;
        gServedAfter += served ? 1 : 0;
      }
    }
    if (served) {
      break;
    }
    Sleep(int64_t(pause * 1000));
  }
  --gActive;
}

} // namespace

int main(int, char** argv)
{
  Begin(argv[1]);
  json bounds = { { "grace_s", 6 }, { "drain_ms", 2000 }, { "retry_ratio", 0.2 }, { "retry_slack", 56 },
                  { "retry_window_s", 10 }, { "max_hold_ms", 10000 }, { "config_apply_ms", 2000 } };
  store platform;
  platform.Start(Ip(1), 7627);
  platform.Put("op", "config",
               { { "version", 1 },
                 { "routes", { { "offset", Route("/offset/", "safe", "pipclock", 1200, 500) } } },
                 { "services", { { "pipclock", { { "healthPath", "/health" }, { "maxConns", 110 }, { "sharded", true } } } } },
                 { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 1048576 },
                               { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 20000 } } } });
  std::vector<std::unique_ptr<keyed_server>> servers;
  std::vector<std::unique_ptr<sidecar_process>> owned;
  std::vector<sidecar_process*> daemons;
  for (unsigned i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<keyed_server>(10 + i));
    servers.back()->Start();
    owned.push_back(std::make_unique<sidecar_process>(10 + i, "pipclock", "zone-" + std::to_string((10 + i) % kServers),
                                                      bounds, "", 1000, kHeartbeatMs));
    daemons.push_back(owned.back().get());
    daemons.back()->Start();
  }
  WaitReady(daemons);
  Sleep(6000);
  // Keys by rank: the busy ones lie next to each other.
  std::vector<double> weights;
  for (uint32_t rank = 0; rank < kThings; ++rank) {
    weights.push_back(1 / std::pow(double(rank + 1), kSkew));
  }
  std::mt19937 random(11);
  std::discrete_distribution<uint32_t> thing(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(kPerSecond);
  double begin = Seconds();
  double at = 0;
  unsigned stops = 0;
  bool killed = false;
  double lastStopAt = 0;
  std::vector<bool> stopping(kServers, false);
  gRecord.Write("traffic starts");
  while (at < gKilledAt + kDownTime + kRecovery + kMeasured) {
    at += gap(random);
    do {
      double now = Seconds() - begin;
      for (unsigned i = 0; i < kServers; ++i) {
        if (stopping[i] && daemons[i]->Ended()) {
          stopping[i] = false;
          daemons[i]->Start();
        }
      }
      bool mayStop = stops < kStops && now < kLastStopAt && gLargestAck < kEnoughAckBytes &&
                     now > kFirstStopAt + stops * kStopGap && !killed;
      unsigned next = stops % kServers;
      auto others = std::count(stopping.begin(), stopping.end(), true);
      // One daemon at a time.
      if (Trouble() && mayStop && !stopping[next] && others < 1) {
        daemons[next]->Signal(SIGTERM, "SIGTERM");
        stopping[next] = true;
        lastStopAt = now;
        ++stops;
      }
      bool rolled = stops == kStops || now > kLastStopAt || gLargestAck >= kEnoughAckBytes;
      if (!killed && rolled && now > lastStopAt + kCalm) {
        killed = true;
        gKilledAt = now;
        if (Trouble()) {
          for (sidecar_process* item : daemons) {
            item->Signal(SIGKILL, "SIGKILL");
            item->Kill();
          }
          Sleep(int64_t(kDownTime * 1000));
          for (sidecar_process* item : daemons) {
            item->Start();
          }
        }
      }
      Sleep(1);
    } while (Seconds() - begin < at);
    unsigned machine = unsigned(random() % kServers);
    uint32_t key = (kFirstBusyKey + thing(random)) % kKeys;
    // A daemon that stops is not ready, and clients go to the others.
    while (stopping[machine]) {
      machine = (machine + 1) % kServers;
    }
    ++gActive;
    std::thread(Read, 10 + machine, key, at).detach();
  }
  while (gActive > 0) {
    Sleep(20);
  }
  gRecord.Write("before the final fault: " + std::to_string(gServedBefore) + " of " + std::to_string(gSentBefore) +
                " requests served; later than 15 s after the machines are back: " + std::to_string(gServedAfter) +
                " of " + std::to_string(gSentAfter));
  if (gServedBefore * 4 < gSentBefore) {
    CannotRun("less than a quarter was served before the final fault");
  }
  Finish(gServedAfter * 4 < gSentAfter ? 1 : 0, daemons);
}
