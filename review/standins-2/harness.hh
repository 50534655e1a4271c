// Stand-ins for the cases of this review: the platform's table service, servers, clients and the
// start of real daemons, on loopback addresses and the real clock. Blocking sockets, one thread a
// connection. Independent of the code under review.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace harness {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point gStart = steady::now();

inline double Seconds()
{
  return std::chrono::duration<double>(steady::now() - gStart).count();
}

inline void Sleep(int64_t aMs)
{
  std::this_thread::sleep_for(ms(aMs));
}

// The record of what was sent, answered and run: one line an event, with the time in seconds.
class record
{
public:
  void Open(const std::string& aPath) { mFile.open(aPath); }
  void Write(const std::string& aLine)
  {
    std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", Seconds());
    mFile << time << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline record gRecord;

inline std::string Id()
{
  static std::atomic<uint64_t> last{ std::random_device{}() };
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx", (unsigned long long)(++last * 0x9E3779B97F4A7C15ULL));
  return text;
}

// The case could not run.
[[noreturn]] inline void CannotRun(const std::string& aWhy)
{
  std::cerr << "the case could not run: " << aWhy << std::endl;
  gRecord.Write("the case could not run: " + aWhy);
  std::_Exit(2);
}

inline sockaddr_in Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(uint16_t(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& aIp, int aPort)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(aIp, aPort);
  if (bind(fd, (sockaddr*)&address, sizeof(address)) != 0 || listen(fd, 256) != 0) {
    CannotRun("cannot listen at " + aIp + ":" + std::to_string(aPort));
  }
  return fd;
}

// aSegment: maximum segment size, as on a network of Ethernet frames; 0: that of loopback.
inline int Connect(const std::string& aIp, int aPort, int aSegment = 0, int aReceiveBuffer = 0,
                   const std::string& aFrom = "")
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (aSegment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aSegment, sizeof(aSegment));
  }
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  if (!aFrom.empty()) {
    sockaddr_in from = Address(aFrom, 0);
    bind(fd, (sockaddr*)&from, sizeof(from));
  }
  sockaddr_in address = Address(aIp, aPort);
  if (connect(fd, (sockaddr*)&address, sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count = send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += size_t(count);
  }
  return true;
}

struct message
{
  // First line, split at spaces: method and target, or version and status.
  std::string first;
  std::string second;
  std::map<std::string, std::string> headers;
  std::string body;
  int Status() const { return std::atoi(second.c_str()); }
  std::string Header(const std::string& aLowerName) const
  {
    auto found = headers.find(aLowerName);
    return found == headers.end() ? "" : found->second;
  }
};

// Reads HTTP messages from one connection.
class reader
{
public:
  explicit reader(int aFd)
    : mFd(aFd)
  {
  }
  // Delay after each read of at most aBytes, for a client that reads slowly.
  void Pace(size_t aBytes, int64_t aDelayMs)
  {
    mPieceBytes = aBytes;
    mDelayMs = aDelayMs;
  }
  void SetDeadline(steady::time_point aDeadline) { mDeadline = aDeadline; }
  const std::string& Error() const { return mError; }
  size_t BodyBytes() const { return mBodyBytes; }

  bool Head(message* aMessage)
  {
    size_t end = std::string::npos;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return false;
      }
    }
    std::istringstream lines(mInput.substr(0, end));
    mInput.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream start(line);
    start >> aMessage->first >> aMessage->second;
    while (std::getline(lines, line)) {
      size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& c : name) {
        c = char(std::tolower(c));
      }
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      value.erase(value.find_last_not_of(" \t\r") + 1);
      aMessage->headers[name] = value;
    }
    return true;
  }

  bool Body(message* aMessage)
  {
    mBodyBytes = 0;
    if (aMessage->Header("transfer-encoding") == "chunked") {
      for (;;) {
        size_t end = std::string::npos;
        while ((end = mInput.find("\r\n")) == std::string::npos) {
          if (!More()) {
            return false;
          }
        }
        size_t size = std::strtoul(mInput.c_str(), nullptr, 16);
        mInput.erase(0, end + 2);
        if (!Take(size, &aMessage->body) || !Take(2, nullptr)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
    }
    size_t length = std::strtoul(aMessage->Header("content-length").c_str(), nullptr, 10);
    return Take(length, &aMessage->body);
  }

  bool Whole(message* aMessage) { return Head(aMessage) && Body(aMessage); }

private:
  bool Take(size_t aSize, std::string* aTarget)
  {
    while (aSize > 0) {
      if (mInput.empty() && !More()) {
        return false;
      }
      size_t part = std::min(aSize, mInput.size());
      if (aTarget != nullptr) {
        aTarget->append(mInput, 0, part);
        mBodyBytes += part;
      }
      mInput.erase(0, part);
      aSize -= part;
    }
    return true;
  }
  bool More()
  {
    if (mDelayMs > 0) {
      Sleep(mDelayMs);
    }
    auto left = std::chrono::duration_cast<ms>(mDeadline - steady::now()).count();
    pollfd ready{ mFd, POLLIN, 0 };
    if (left <= 0 || poll(&ready, 1, int(std::min<int64_t>(left, 1000000))) <= 0) {
      mError = "deadline";
      return false;
    }
    std::vector<char> bytes(mPieceBytes);
    ssize_t count = recv(mFd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      mError = count == 0 ? "end of connection" : std::strerror(errno);
      return false;
    }
    mInput.append(bytes.data(), size_t(count));
    return true;
  }

  int mFd;
  std::string mInput;
  size_t mPieceBytes = 65536;
  int64_t mDelayMs = 0;
  steady::time_point mDeadline = steady::now() + std::chrono::hours(1);
  std::string mError;
  size_t mBodyBytes = 0;
};

inline std::string Response(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Accepts connections and serves each in a thread of its own.
inline void Serve(int aListener, std::function<void(int)> aServe)
{
  std::thread([aListener, aServe] {
    for (;;) {
      int fd = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, aServe] {
        aServe(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

inline std::string Base64(const std::string& aText)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < aText.size(); i += 3) {
    uint32_t value = 0;
    for (size_t k = 0; k < 3; ++k) {
      value = value << 8 | (i + k < aText.size() ? uint8_t(aText[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k <= aText.size() ? kDigits[value >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

// The platform's table service: rows-tx, rows-get and rows-feed, linearizable.
class store
{
public:
  void Start(const std::string& aIp, int aPort)
  {
    Serve(Listen(aIp, aPort), [this](int aFd) { Connection(aFd); });
  }
  // The operator writes a row.
  void Put(const std::string& aTable, const std::string& aKey, const json& aValue)
  {
    std::lock_guard lock(mMutex);
    mRows[{ aTable, aKey }] = { Base64(aValue.dump()), ++mVersion, false };
    mChanged.notify_all();
  }

private:
  struct row
  {
    std::string value;
    uint64_t version = 0;
    bool removed = false;
  };

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    for (const std::string& start : { "?" + aName + "=", "&" + aName + "=" }) {
      size_t at = aTarget.find(start);
      if (at != std::string::npos) {
        std::string text = aTarget.substr(at + start.size());
        text = text.substr(0, text.find('&'));
        std::string plain;
        for (size_t i = 0; i < text.size(); ++i) {
          if (text[i] == '%' && i + 2 < text.size()) {
            plain += char(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            plain += text[i];
          }
        }
        return plain;
      }
    }
    return "";
  }
  uint64_t NowMs() const { return uint64_t(Seconds() * 1000) + 1000000; }
  json RowsAfter(const std::string& aTable, uint64_t aAfter) const
  {
    std::map<uint64_t, json> rows;
    for (const auto& [key, value] : mRows) {
      if (key.first == aTable && value.version > aAfter) {
        json item = { { "table", aTable }, { "part", "" }, { "key", key.second }, { "ver", value.version } };
        if (value.removed) {
          item["tombstone"] = true;
        } else {
          item["value"] = value.value;
        }
        rows[value.version] = item;
      }
    }
    json list = json::array();
    for (auto& [version, item] : rows) {
      list.push_back(item);
    }
    return list;
  }
  void Connection(int aFd)
  {
    reader in(aFd);
    for (;;) {
      message request;
      if (!in.Whole(&request)) {
        return;
      }
      auto [status, body] = Answer(request);
      if (!SendAll(aFd, Response(status, "Content-Type: application/json\r\n", body.dump()))) {
        return;
      }
    }
  }
  std::pair<int, json> Answer(const message& aRequest)
  {
    const std::string& target = aRequest.second;
    std::unique_lock lock(mMutex);
    if (target.rfind("/v1/rows-tx", 0) == 0) {
      Sleep(4);
      json body = json::parse(aRequest.body);
      bool holds = true;
      json present = json::array();
      for (const json& item : body["expected"]) {
        auto found = mRows.find({ item["table"], item["key"] });
        bool exists = found != mRows.end() && !found->second.removed;
        holds = holds && (exists ? found->second.version : 0) == item["ver"].get<uint64_t>();
        if (exists) {
          present.push_back({ { "table", item["table"] }, { "part", "" }, { "key", item["key"] },
                              { "value", found->second.value }, { "ver", found->second.version } });
        }
      }
      if (!holds) {
        return { 412, { { "rows", present }, { "ver", mVersion }, { "nowMs", NowMs() } } };
      }
      ++mVersion;
      for (const json& item : body["setKeys"]) {
        mRows[{ item["table"], item["key"] }] = { item["value"], mVersion, false };
      }
      for (const json& item : body["remove"]) {
        mRows[{ item["table"], item["key"] }] = { "", mVersion, true };
      }
      mChanged.notify_all();
      return { 200, { { "ver", mVersion }, { "nowMs", NowMs() } } };
    }
    std::string table = Query(target, "table");
    if (target.rfind("/v1/rows-get", 0) == 0) {
      std::string from = Query(target, "from");
      std::string limit = Query(target, "limit");
      size_t most = limit.empty() ? 500 : std::min<size_t>(500, std::strtoul(limit.c_str(), nullptr, 10));
      json rows = json::array();
      bool more = false;
      for (const auto& [key, value] : mRows) {
        if (key.first != table || key.second < from || value.removed) {
          continue;
        }
        if (rows.size() == most) {
          more = true;
          break;
        }
        rows.push_back({ { "table", table }, { "part", "" }, { "key", key.second },
                         { "value", value.value }, { "ver", value.version } });
      }
      return { 200, { { "rows", rows }, { "hasMore", more }, { "ver", mVersion }, { "nowMs", NowMs() } } };
    }
    if (target.rfind("/v1/rows-feed", 0) == 0) {
      uint64_t after = std::strtoull(Query(target, "after").c_str(), nullptr, 10);
      auto until = steady::now() + ms(std::atol(Query(target, "waitMs").c_str()));
      json rows;
      while ((rows = RowsAfter(table, after)).empty() &&
             mChanged.wait_until(lock, until) != std::cv_status::timeout) {
      }
      return { 200, { { "rows", rows }, { "ver", mVersion }, { "nowMs", NowMs() } } };
    }
    return { 404, json::object() };
  }

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::pair<std::string, std::string>, row> mRows;
  uint64_t mVersion = 0;
};

// The ports of a machine.
constexpr int kServerPort = 7700;
constexpr int kInboundPort = 7701;
constexpr int kOutboundPort = 7702;
constexpr int kReadyPort = 7703;
constexpr int kControlPort = 7704;
constexpr int kFleetPort = 7710;
constexpr int kMetricsPort = 9464;

inline std::string gNetwork;
inline std::string gFolder;

inline std::string Ip(unsigned aNumber)
{
  return gNetwork + std::to_string(aNumber);
}

// A daemon of the deploy file.
class sidecar_process
{
public:
  sidecar_process(unsigned aNumber, std::string aService, std::string aZone, const json& aBounds,
         const std::string& aSeeds = "", int aLinkMbps = 1000, int aHeartbeatMs = 870)
    : mNumber(aNumber)
  {
    std::string ip = Ip(aNumber);
    mSettings = gFolder + "/settings-" + std::to_string(aNumber) + ".yaml";
    std::ofstream out(mSettings);
    out << "vm: \"" << ip << "\"\nzone: \"" << aZone << "\"\nservice: \"" << aService
        << "\"\nupstream: \"" << ip << ":" << kServerPort << "\"\nplatform: \"" << Ip(1)
        << ":7627\"\nannounce_period_ms: " << aHeartbeatMs << "\nlink_mbps: " << aLinkMbps
        << "\ngrants: \"heartbeat\"\nfirst_start: true\nseeds: [" << aSeeds << "]\nlisten:\n"
        << "  callers: \"" << ip << ":" << kOutboundPort << "\"\n  forwards: \"" << ip << ":"
        << kInboundPort << "\"\n  readiness: \"" << ip << ":" << kReadyPort << "\"\n  metrics: \""
        << ip << ":" << kMetricsPort << "\"\n  announcements: \"" << ip << ":" << kControlPort
        << "\"\n  control: \"" << ip << ":" << kFleetPort << "\"\nbounds:\n";
    for (const auto& [name, value] : aBounds.items()) {
      out << "  " << name << ": " << value.dump() << "\n";
    }
  }
  void Start()
  {
    std::string log = gFolder + "/daemon-" + std::to_string(mNumber) + ".log";
    pid_t parent = getpid();
    mPid = fork();
    if (mPid == 0) {
      // The daemon must not outlive this process.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      setenv("BAMBOOGRADE_NODE_FILE", mSettings.c_str(), 1);
      int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, STDOUT_FILENO);
      dup2(file, STDERR_FILENO);
      execl("target/bamboograde_sidecar", "target/bamboograde_sidecar", nullptr);
      _exit(127);
    }
    gRecord.Write("daemon " + Ip(mNumber) + " starts");
  }
  void Signal(int aSignal, const char* aName)
  {
    gRecord.Write("daemon " + Ip(mNumber) + " gets " + aName);
    kill(mPid, aSignal);
  }
  // Whether the process has ended.
  bool Ended()
  {
    if (mPid > 0 && waitpid(mPid, &mStatus, WNOHANG) == mPid) {
      gRecord.Write("daemon " + Ip(mNumber) + " has ended, " +
                    (WIFEXITED(mStatus) ? "exit " + std::to_string(WEXITSTATUS(mStatus))
                                        : "signal " + std::to_string(WTERMSIG(mStatus))));
      mPid = -1;
    }
    return mPid < 0;
  }
  // Whether it ended by a signal of its own, such as SIGSEGV.
  bool Crashed() const { return WIFSIGNALED(mStatus); }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, &mStatus, 0);
      mPid = -1;
    }
  }
  bool Ready() const
  {
    int fd = Connect(Ip(mNumber), kReadyPort);
    if (fd < 0) {
      return false;
    }
    message answer;
    reader in(fd);
    in.SetDeadline(steady::now() + ms(1000));
    bool ready = SendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") && in.Whole(&answer) &&
                 answer.Status() == 200;
    close(fd);
    return ready;
  }

private:
  unsigned mNumber;
  std::string mSettings;
  pid_t mPid = -1;
  int mStatus = 0;
};

// One request as a server sees it.
struct run
{
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  int64_t deadlineMs = 0;
};

// A server of a service that is not divided by key. It answers each request after the time and with
// the body that the handler names.
class server
{
public:
  struct answer
  {
    int status = 200;
    int64_t workMs = 10;
    std::string body;
    // Sent as it is instead of a regular answer, then the connection is closed.
    std::string raw;
  };
  using handler = std::function<answer(const run&)>;

  server(unsigned aNumber, std::string aService, std::string aZone, unsigned aSlots, handler aHandler,
         int aHeartbeatMs = 870)
    : mNumber(aNumber)
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mHandler(std::move(aHandler))
    , mHeartbeatMs(aHeartbeatMs)
    , mId("i-" + Id())
  {
  }
  void Start()
  {
    Serve(Listen(Ip(mNumber), kServerPort), [this](int aFd) { Connection(aFd); });
    std::thread([this] { Heartbeats(); }).detach();
  }
  unsigned Runs() const { return mRuns; }

private:
  void Heartbeats()
  {
    uint64_t sequence = 0;
    auto born = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (;;) {
      json body = { { "address", Ip(mNumber) + ":" + std::to_string(kServerPort) },
                    { "born", born },
                    { "info",
                      { { "service", mService }, { "version", "v1" }, { "zone", mZone }, { "slots", mSlots } } },
                    { "status", { { "state", "ready" }, { "callSeq", ++sequence }, { "coldLeftMs", 0 } } },
                    { "holds", json::array() },
                    { "freed", json::array() } };
      std::string text = body.dump();
      int fd = Connect(Ip(mNumber), kControlPort);
      if (fd >= 0) {
        message answer;
        reader in(fd);
        in.SetDeadline(steady::now() + ms(1000));
        SendAll(fd, "PUT /v1/instances/" + mId + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
                      "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        in.Whole(&answer);
        close(fd);
      }
      Sleep(fd >= 0 ? mHeartbeatMs : 100);
    }
  }
  void Connection(int aFd)
  {
    reader in(aFd);
    for (;;) {
      message request;
      if (!in.Head(&request)) {
        return;
      }
      std::string id = request.Header("x-bamboograde-request-id");
      if (request.second == "/health") {
        SendAll(aFd, Response(200, "X-Bamboograde-Instance-Id: " + mId + "\r\n", ""));
        continue;
      }
      if (!in.Body(&request)) {
        gRecord.Write("server " + Ip(mNumber) + ": request " + id + " breaks off after " +
                      std::to_string(in.BodyBytes()) + " bytes of its body (" + in.Error() + ")");
        return;
      }
      std::string echo = "X-Bamboograde-Request-Id: " + id + "\r\n";
      std::string target = request.Header("x-bamboograde-target-instance");
      if (!target.empty() && target != mId) {
        SendAll(aFd, Response(421, echo + "X-Bamboograde-Not-Executed: 1\r\n", ""));
        continue;
      }
      answer planned;
      {
        std::unique_lock lock(mMutex);
        mFree.wait(lock, [this] { return mRunning < mSlots; });
        ++mRunning;
      }
      ++mRuns;
      gRecord.Write("server " + Ip(mNumber) + ": runs " + id + " " + request.first + " " + request.second);
      run facts{ id, request.first, request.second, request.body,
                 std::atol(request.Header("x-bamboograde-deadline-ms").c_str()) };
      planned = mHandler(facts);
      Sleep(planned.workMs);
      {
        std::lock_guard lock(mMutex);
        --mRunning;
      }
      mFree.notify_one();
      if (!planned.raw.empty()) {
        std::string head = planned.raw;
        size_t at = head.find("@ID@");
        if (at != std::string::npos) {
          head.replace(at, 4, id);
        }
        SendAll(aFd, head);
        gRecord.Write("server " + Ip(mNumber) + ": breaks off its answer to " + id);
        linger reset{ 1, 0 };
        Sleep(20);
        setsockopt(aFd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        return;
      }
      bool sent = SendAll(aFd, Response(planned.status, echo + "X-Bamboograde-Server-Stamp: 3e1b." + id + "\r\n",
                                        planned.body));
      gRecord.Write("server " + Ip(mNumber) + ": " + (sent ? "has sent" : "could not send") + " its answer to " +
                    id + ", " + std::to_string(planned.status) + ", " + std::to_string(planned.body.size()) +
                    " bytes");
      if (!sent) {
        return;
      }
    }
  }

  unsigned mNumber;
  std::string mService;
  std::string mZone;
  unsigned mSlots;
  handler mHandler;
  int mHeartbeatMs;
  std::string mId;
  std::mutex mMutex;
  std::condition_variable mFree;
  unsigned mRunning = 0;
  std::atomic<unsigned> mRuns{ 0 };
};

inline std::string RequestText(const std::string& aMethod, const std::string& aPath, const std::string& aId,
                               int64_t aDeadlineMs, const std::string& aBody = "")
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: h.example\r\nX-Bamboograde-Request-Id: " + aId +
                     "\r\nX-Bamboograde-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline json Route(const std::string& aPrefix, const std::string& aKind, const std::string& aService,
                  int64_t aTimeoutMs, int64_t aTargetMs)
{
  return { { "host", "h.example" }, { "prefix", aPrefix }, { "kind", aKind }, { "service", aService },
           { "timeoutMs", aTimeoutMs }, { "targetLatencyMs", aTargetMs }, { "priority", 1 }, { "maxAttempts", 2 } };
}

// Prepares the folder, a free network and the record. Addresses: 127.a.b.1 is the platform.
inline void Begin(const char* aCaseFolder)
{
  std::signal(SIGPIPE, SIG_IGN);
  gRecord.Open(std::string(aCaseFolder) + "/record.txt");
  char folder[] = "/tmp/bamboograde-case-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    CannotRun("no temporary folder");
  }
  gFolder = folder;
  std::random_device random;
  gNetwork = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
  if (access("target/bamboograde_sidecar", X_OK) != 0) {
    CannotRun("target/bamboograde_sidecar is not built");
  }
}

inline void WaitReady(const std::vector<sidecar_process*>& aDaemons)
{
  auto until = steady::now() + ms(15000);
  for (sidecar_process* item : aDaemons) {
    while (!item->Ready()) {
      if (steady::now() > until || item->Ended()) {
        CannotRun("a daemon does not become ready");
      }
      Sleep(50);
    }
  }
}

inline bool Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Removes the temporary folder and ends this process; the kernel ends its daemons.
[[noreturn]] inline void Finish(int aCode, const std::vector<sidecar_process*>& aDaemons)
{
  for (sidecar_process* item : aDaemons) {
    item->Kill();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::string command;
    for (unsigned i = 1; i < 40; ++i) {
      unlink((gFolder + "/settings-" + std::to_string(i) + ".yaml").c_str());
      unlink((gFolder + "/daemon-" + std::to_string(i) + ".log").c_str());
    }
    rmdir(gFolder.c_str());
  } else {
    std::cerr << "logs: " << gFolder << std::endl;
  }
  std::cout << (aCode == 0 ? "the rule held" : aCode == 1 ? "the rule was broken" : "could not run") << std::endl;
  std::_Exit(aCode);
}

} // namespace harness
