#include "fleet.hh"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const steady::time_point started = steady::now();
std::mutex record_mutex;
FILE* record_file = nullptr;
std::mutex cleanup_mutex;
std::vector<pid_t> children;
std::string temporary_folder;
pid_t owner = 0;

std::mt19937_64& random_engine()
{
  static std::mt19937_64 engine(std::random_device{}());
  return engine;
}
std::mutex random_mutex;

void end_children()
{
  std::lock_guard lock(cleanup_mutex);
  for (pid_t child : children) {
    ::kill(child, SIGCONT);
    ::kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  children.clear();
  if (!temporary_folder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(temporary_folder, ignored);
  }
}

bool same(const std::string& a, const std::string& b)
{
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in address(const std::string& ip, int port)
{
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(uint16_t(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& in)
{
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = uint32_t(uint8_t(in[i])) << 16;
    v |= i + 1 < in.size() ? uint32_t(uint8_t(in[i + 1])) << 8 : 0;
    v |= i + 2 < in.size() ? uint32_t(uint8_t(in[i + 2])) : 0;
    out += alphabet[v >> 18 & 63];
    out += alphabet[v >> 12 & 63];
    out += i + 1 < in.size() ? alphabet[v >> 6 & 63] : '=';
    out += i + 2 < in.size() ? alphabet[v & 63] : '=';
  }
  return out;
}

std::string from_base64(const std::string& in)
{
  std::string out;
  uint32_t v = 0;
  int bits = 0;
  for (char c : in) {
    const char* at = c == 0 ? nullptr : strchr(alphabet, c);
    if (at == nullptr) {
      continue;
    }
    v = v << 6 | uint32_t(at - alphabet);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += char(v >> bits & 255);
    }
  }
  return out;
}

std::string query(const std::string& target, const std::string& name)
{
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t end = target.find('&', at + 1);
    std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(name + "=", 0) == 0) {
      std::string raw = part.substr(name.size() + 1);
      std::string out;
      for (size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          out += char(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          out += raw[i];
        }
      }
      return out;
    }
    at = end;
  }
  return "";
}

std::string json_answer(int status, const json& body)
{
  std::string text = body.dump();
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
         "\r\n\r\n" + text;
}

} // namespace

int64_t now_ms()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - started).count();
}

void sleep_ms(int64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

void record(const std::string& line)
{
  std::lock_guard lock(record_mutex);
  if (record_file == nullptr) {
    const char* path = std::getenv("REVIEW_RECORD");
    record_file = fopen(path == nullptr ? "record.txt" : path, "w");
  }
  fprintf(record_file, "%8.3f s  %s\n", double(now_ms()) / 1000, line.c_str());
  fflush(record_file);
}

bool trouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void finish(int code, const std::string& why)
{
  record(why);
  printf("%s\n", why.c_str());
  fflush(stdout);
  end_children();
  _exit(code);
}

std::string new_id()
{
  std::lock_guard lock(random_mutex);
  char text[20];
  snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_engine()()));
  return text;
}

std::string headers::get(const std::string& name) const
{
  for (const auto& [key, value] : items) {
    if (same(key, name)) {
      return value;
    }
  }
  return "";
}

bool headers::has(const std::string& name) const
{
  for (const auto& item : items) {
    if (same(item.first, name)) {
      return true;
    }
  }
  return false;
}

int message::status() const
{
  return start.size() > 12 ? atoi(start.c_str() + 9) : 0;
}

std::string message::method() const
{
  return start.substr(0, start.find(' '));
}

std::string message::target() const
{
  size_t a = start.find(' ');
  size_t b = start.find(' ', a + 1);
  return a == std::string::npos ? "" : start.substr(a + 1, b - a - 1);
}

std::unique_ptr<conn> conn::dial(const std::string& ip, int port, int timeout_ms)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to = address(ip, port);
  int code = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  if (code != 0 && errno == EINPROGRESS) {
    pollfd p{ fd, POLLOUT, 0 };
    if (poll(&p, 1, timeout_ms) == 1) {
      socklen_t size = sizeof code;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
    }
  }
  if (code != 0) {
    ::close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return std::make_unique<conn>(fd);
}

bool conn::send(const std::string& bytes)
{
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    sent += size_t(n);
  }
  return true;
}

bool conn::fill(int64_t until_ms)
{
  if (m_eof || m_fd < 0) {
    return false;
  }
  int64_t left = until_ms - now_ms();
  if (left <= 0) {
    return false;
  }
  pollfd p{ m_fd, POLLIN, 0 };
  if (poll(&p, 1, int(left)) != 1) {
    return false;
  }
  char chunk[65536];
  ssize_t n = recv(m_fd, chunk, sizeof chunk, 0);
  if (n <= 0) {
    m_eof = true;
    return false;
  }
  m_in.append(chunk, size_t(n));
  return true;
}

bool conn::read(message* m, bool is_response, int64_t until_ms,
                const std::function<void(message&)>& on_head)
{
  *m = {};
  size_t end = std::string::npos;
  while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
    if (!fill(until_ms)) {
      return false;
    }
  }
  std::string head = m_in.substr(0, end + 2);
  m_in.erase(0, end + 4);
  size_t at = head.find("\r\n");
  m->start = head.substr(0, at);
  for (at += 2; at < head.size();) {
    size_t stop = head.find("\r\n", at);
    std::string line = head.substr(at, stop - at);
    size_t colon = line.find(':');
    size_t value = line.find_first_not_of(" \t", colon + 1);
    m->head.items.emplace_back(line.substr(0, colon),
                               value == std::string::npos ? "" : line.substr(value));
    at = stop + 2;
  }
  if (on_head) {
    on_head(*m);
  }
  if (same(m->head.get("Transfer-Encoding"), "chunked")) {
    while (true) {
      size_t line = 0;
      while ((line = m_in.find("\r\n")) == std::string::npos) {
        if (!fill(until_ms)) {
          return true;
        }
      }
      size_t size = std::stoul(m_in.substr(0, line), nullptr, 16);
      while (m_in.size() < line + 2 + size + 2) {
        if (!fill(until_ms)) {
          return true;
        }
      }
      m->body.append(m_in, line + 2, size);
      m_in.erase(0, line + 2 + size + 2);
      if (size == 0) {
        m->whole = true;
        return true;
      }
    }
  }
  if (m->head.has("Content-Length")) {
    size_t size = std::stoul(m->head.get("Content-Length"));
    while (m_in.size() < size) {
      if (!fill(until_ms)) {
        m->body = m_in;
        return true;
      }
    }
    m->body = m_in.substr(0, size);
    m_in.erase(0, size);
    m->whole = true;
    return true;
  }
  if (is_response) {
    while (fill(until_ms)) {
    }
    m->body = m_in;
    m->whole = m_eof;
    return true;
  }
  m->whole = true;
  return true;
}

bool conn::closed_by_peer(int ms)
{
  pollfd p{ m_fd, POLLIN, 0 };
  if (poll(&p, 1, ms) != 1) {
    return false;
  }
  char byte;
  ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

void conn::close()
{
  if (m_fd >= 0) {
    ::close(m_fd);
    m_fd = -1;
  }
}

void conn::reset()
{
  linger hard{ 1, 0 };
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close();
}

void conn::shutdown_both()
{
  if (m_fd >= 0) {
    shutdown(m_fd, SHUT_RDWR);
  }
}

listener::listener(std::string ip, int port, std::function<void(conn&)> serve)
  : m_ip(std::move(ip))
  , m_port(port)
  , m_serve(std::move(serve))
{
}

listener::~listener()
{
  stop();
}

bool listener::start()
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in a = address(m_ip, m_port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
    ::close(fd);
    return false;
  }
  m_fd = fd;
  m_accept = std::thread([this, fd] {
    while (true) {
      int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        return;
      }
      int on = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++m_threads;
      std::thread([this, client] {
        {
          conn c(client);
          bool open = false;
          {
            std::lock_guard lock(m_mutex);
            open = m_fd >= 0;
            if (open) {
              m_conns.insert(&c);
            }
          }
          if (open) {
            m_serve(c);
            std::lock_guard lock(m_mutex);
            m_conns.erase(&c);
          }
        }
        --m_threads;
      }).detach();
    }
  });
  return true;
}

void listener::stop()
{
  int fd = m_fd.exchange(-1);
  if (fd < 0) {
    return;
  }
  shutdown(fd, SHUT_RDWR);
  {
    std::lock_guard lock(m_mutex);
    for (conn* c : m_conns) {
      linger hard{ 1, 0 };
      setsockopt(c->fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      c->shutdown_both();
    }
  }
  m_accept.join();
  ::close(fd);
  while (m_threads > 0) {
    sleep_ms(1);
  }
}

store::store(std::string ip, int port)
  : m_listener(std::move(ip), port, [this](conn& c) { serve(c); })
{
}

bool store::start()
{
  return m_listener.start();
}

void store::put(const std::string& table, const std::string& key, const json& value)
{
  std::lock_guard lock(m_mutex);
  m_rows[{ table, key }] = { to_base64(value.dump()), ++m_ver };
  m_changed.notify_all();
}

void store::set_mode(mode m)
{
  m_mode = m;
  std::lock_guard lock(m_mutex);
  m_changed.notify_all();
}

json store::value(const std::string& table, const std::string& key)
{
  std::lock_guard lock(m_mutex);
  auto found = m_rows.find({ table, key });
  return found == m_rows.end() ? json() : json::parse(from_base64(found->second.value));
}

json store::rows(const std::string& table, const std::string& from, uint64_t after)
{
  json list = json::array();
  for (const auto& [key, row] : m_rows) {
    if (key.first == table && key.second >= from && row.ver > after) {
      list.push_back({ { "table", table },
                       { "part", "" },
                       { "key", key.second },
                       { "value", row.value },
                       { "ver", row.ver } });
    }
  }
  return list;
}

void store::serve(conn& c)
{
  message m;
  while (c.read(&m, false, now_ms() + 600000)) {
    while (m_mode == mode::silent) {
      sleep_ms(20);
    }
    if (m_mode == mode::busy) {
      if (!c.send(json_answer(503, json::object()))) {
        return;
      }
      continue;
    }
    std::string target = m.target();
    json reply;
    int status = 200;
    sleep_ms(3);
    std::unique_lock lock(m_mutex);
    if (target.rfind("/v1/rows-tx", 0) == 0) {
      json body = json::parse(m.body);
      json conflicts = json::array();
      bool ok = true;
      for (const json& e : body.value("expected", json::array())) {
        auto found = m_rows.find({ e["table"], e["key"] });
        uint64_t ver = found == m_rows.end() ? 0 : found->second.ver;
        if (ver != e["ver"].get<uint64_t>()) {
          ok = false;
        }
        if (found != m_rows.end()) {
          conflicts.push_back({ { "table", e["table"] },
                                { "part", "" },
                                { "key", e["key"] },
                                { "value", found->second.value },
                                { "ver", ver } });
        }
      }
      if (ok) {
        ++m_ver;
        for (const json& e : body.value("setKeys", json::array())) {
          m_rows[{ e["table"], e["key"] }] = { e["value"], m_ver };
        }
        for (const json& e : body.value("remove", json::array())) {
          m_rows.erase({ e["table"], e["key"] });
        }
        m_changed.notify_all();
        reply = { { "ver", m_ver }, { "nowMs", now_ms() } };
      } else {
        status = 412;
        reply = { { "rows", conflicts }, { "ver", m_ver }, { "nowMs", now_ms() } };
      }
    } else if (target.rfind("/v1/rows-get", 0) == 0) {
      json list = rows(query(target, "table"), query(target, "from"), 0);
      std::string limit = query(target, "limit");
      size_t most = limit.empty() ? 500 : std::min<size_t>(500, std::stoul(limit));
      bool more = list.size() > most;
      while (list.size() > most) {
        list.erase(list.size() - 1);
      }
      reply = { { "rows", list }, { "hasMore", more }, { "ver", m_ver }, { "nowMs", now_ms() } };
    } else if (target.rfind("/v1/rows-feed", 0) == 0) {
      uint64_t after = std::stoull(query(target, "after"));
      int64_t until = now_ms() + std::stoll(query(target, "waitMs"));
      json list = rows(query(target, "table"), "", after);
      while (list.empty() && now_ms() < until && m_mode == mode::up) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
        list = rows(query(target, "table"), "", after);
      }
      if (m_mode != mode::up) {
        lock.unlock();
        while (m_mode == mode::silent) {
          sleep_ms(20);
        }
        return;
      }
      reply = { { "rows", list }, { "ver", m_ver }, { "nowMs", now_ms() } };
    } else {
      status = 404;
    }
    lock.unlock();
    if (!c.send(json_answer(status, reply))) {
      return;
    }
  }
}

daemon_process::daemon_process(machine m, layout l, std::string folder)
  : m_machine(std::move(m))
  , m_layout(std::move(l))
  , m_folder(std::move(folder))
{
}

daemon_process::~daemon_process()
{
  kill();
}

// Fills in platform/settings.yaml with the fields of a small deployment.
void daemon_process::start(bool bootstrap)
{
  std::string path = m_folder + "/" + m_machine.ip + ".yaml";
  const std::string& ip = m_machine.ip;
  auto at = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
  std::ofstream(path) << "vm: \"" << ip << "\"\nzone: \"" << m_machine.zone << "\"\nservice: \""
                      << m_machine.service << "\"\nupstream: " << at(m_layout.app)
                      << "\nplatform: \"" << m_layout.store_ip << ":" << m_layout.store
                      << "\"\nannounce_period_ms: 870\ngrants: \"heartbeat\"\nfirst_start: "
                      << (bootstrap ? "true" : "false")
                      << "\nseeds: []\nlisten:\n  callers: " << at(m_layout.outbound)
                      << "\n  forwards: " << at(m_layout.inbound)
                      << "\n  readiness: " << at(m_layout.ready) << "\n  metrics: " << at(9464)
                      << "\n  announcements: " << at(m_layout.control)
                      << "\n  control: " << at(m_layout.peer)
                      << "\nbounds:\n  grace_s: 6\n  drain_ms: 2000\n  retry_ratio: 0.2\n"
                         "  retry_slack: 60\n  retry_window_s: 10\n  max_hold_ms: 10000\n";
  std::string log = m_folder + "/" + ip + ".log";
  const char* logs = std::getenv("REVIEW_LOGS");
  if (logs != nullptr) {
    log = std::string(logs) + "/" + ip + ".log";
  }
  pid_t parent = getpid();
  pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, 1);
    dup2(file, 2);
    setenv("BAMBOOGRADE_NODE_FILE", path.c_str(), 1);
    execl("target/bamboograde_sidecar", "target/bamboograde_sidecar", nullptr);
    _exit(127);
  }
  m_pid = child;
  std::lock_guard lock(cleanup_mutex);
  children.push_back(child);
}

void daemon_process::signal(int number)
{
  if (m_pid > 0) {
    ::kill(m_pid, number);
  }
}

void daemon_process::kill()
{
  if (m_pid > 0) {
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    std::lock_guard lock(cleanup_mutex);
    std::erase(children, m_pid);
    m_pid = -1;
  }
}

bool daemon_process::running()
{
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    std::lock_guard lock(cleanup_mutex);
    std::erase(children, m_pid);
    m_pid = -1;
  }
  return m_pid > 0;
}

server::server(machine m, layout l)
  : m_machine(std::move(m))
  , m_layout(std::move(l))
{
}

server::~server()
{
  crash();
}

bool server::start()
{
  {
    std::lock_guard lock(m_mutex);
    m_id = "i-" + new_id().substr(0, 10);
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    m_seq = 0;
    m_holds.clear();
    m_freed = json::array();
    m_hold_until = 0;
    m_busy_keys.clear();
  }
  m_leaving = false;
  m_listener =
    std::make_unique<listener>(m_machine.ip, m_layout.app, [this](conn& c) { serve(c); });
  if (!m_listener->start()) {
    return false;
  }
  m_up = true;
  uint64_t life = ++m_life;
  if (m_beats.joinable()) {
    m_beats.join();
  }
  m_beats = std::thread([this, life] { beats(life); });
  return true;
}

void server::crash()
{
  if (!m_up.exchange(false)) {
    return;
  }
  ++m_life;
  m_listener->stop();
  m_listener.reset();
  m_beats.join();
  m_acked = false;
  while (m_late > 0) {
    sleep_ms(5);
  }
}

// Delivers a heartbeat that was held up on its way.
void server::deliver_late(uint64_t life, std::string bytes, int64_t delay)
{
  int64_t at = now_ms() + delay;
  while (now_ms() < at) {
    if (m_life != life) {
      --m_late;
      return;
    }
    sleep_ms(5);
  }
  auto c = conn::dial(m_machine.ip, m_layout.control, 300);
  message m;
  bool got = c != nullptr && c->send(bytes) && c->read(&m, true, now_ms() + 1000);
  record("a heartbeat of " + m_machine.ip + " that was " + std::to_string(delay) +
         " ms late arrives and gets " + (got ? std::to_string(m.status()) : "no answer"));
  --m_late;
}

int server::leave_abruptly()
{
  m_leaving = true;
  auto c = conn::dial(m_machine.ip, m_layout.control, 300);
  message m;
  bool got = c != nullptr &&
             c->send("DELETE /v1/instances/" + m_id + " HTTP/1.1\r\nHost: control\r\n\r\n") &&
             c->read(&m, true, now_ms() + 1000);
  return got ? m.status() : 0;
}

bool server::holds(uint32_t key)
{
  std::lock_guard lock(m_mutex);
  if (now_ms() >= m_hold_until) {
    return false;
  }
  for (const hold& h : m_holds) {
    if (key >= h.from && key <= h.to) {
      return true;
    }
  }
  return false;
}

size_t server::held()
{
  std::lock_guard lock(m_mutex);
  size_t sum = 0;
  for (const hold& h : m_holds) {
    sum += now_ms() < m_hold_until ? h.to - h.from + 1 : 0;
  }
  return sum;
}

void server::beats(uint64_t life)
{
  int64_t next = now_ms();
  while (m_life == life) {
    if (now_ms() >= next && !m_leaving) {
      bool again = beat(life);
      next = now_ms() + (again ? 100 : beat_ms);
    }
    sleep_ms(10);
  }
}

// Sends a heartbeat; true when released rows are to be reported soon.
bool server::beat(uint64_t life)
{
  json body;
  int64_t sent_at = now_ms();
  {
    std::lock_guard lock(m_mutex);
    body = { { "address", m_machine.ip + ":" + std::to_string(m_layout.app) },
             { "born", m_born },
             { "info",
               { { "service", m_machine.service },
                 { "version", "v1" },
                 { "zone", m_machine.zone },
                 { "slots", slots } } },
             { "status", { { "state", "ready" }, { "callSeq", ++m_seq }, { "coldLeftMs", 0 } } } };
    if (sharded) {
      json rows = json::array();
      if (now_ms() < m_hold_until) {
        for (const hold& h : m_holds) {
          rows.push_back({ h.from, h.to, h.fence });
        }
      }
      body["holds"] = rows;
      body["freed"] = m_freed;
    }
  }
  std::string text = body.dump();
  std::string bytes = "PUT /v1/instances/" + m_id +
                      " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text;
  if (late_ms > 0) {
    record("server " + m_machine.ip + " sends heartbeat " + std::to_string(m_seq) +
           ", which is held up");
    ++m_late;
    std::thread(&server::deliver_late, this, life, bytes, int64_t(late_ms)).detach();
    return false;
  }
  auto c = conn::dial(m_machine.ip, m_layout.control, 300);
  if (c == nullptr) {
    return false;
  }
  c->send(bytes);
  message m;
  // An acknowledgement is at most 4 KiB.
  if (!c->read(&m, true, now_ms() + 1000) || !m.whole || m.status() != 200 || m_life != life ||
      m.body.size() > 4096) {
    return false;
  }
  m_acked = true;
  json reply = json::parse(m.body, nullptr, false);
  if (!sharded || !reply.is_object() || !reply.contains("holds")) {
    return false;
  }
  std::lock_guard lock(m_mutex);
  m_freed = json::array();
  std::vector<hold> next;
  for (const json& row : reply["holds"]) {
    next.push_back({ row[0], row[1], row[2] });
  }
  bool released = false;
  for (const hold& old : m_holds) {
    uint32_t from = old.from;
    for (uint32_t key = old.from; key <= old.to + 1; ++key) {
      bool kept = key <= old.to;
      if (kept) {
        kept = false;
        for (const hold& h : next) {
          kept = kept || (key >= h.from && key <= h.to);
        }
        if (!kept) {
          continue;
        }
      }
      if (key > from) {
        m_freed.push_back({ from, key - 1, new_id() });
        released = true;
      }
      from = key + 1;
    }
  }
  m_holds = next;
  m_hold_until = sent_at + reply.value("holdMs", 0);
  return released;
}

void server::serve(conn& c)
{
  message m;
  while (c.read(&m, false, now_ms() + 10000)) {
    if (!m.whole || !m_up) {
      return;
    }
    if (m.target() == "/health") {
      if (m_leaving) {
        record("server " + m_machine.ip + " answers 503 at its health path");
        if (!c.send("HTTP/1.1 503 Service Unavailable\r\nX-Bamboograde-Instance-Id: " + m_id +
                    "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!c.send("HTTP/1.1 200 OK\r\nX-Bamboograde-Instance-Id: " + m_id +
                  "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    std::string request = m.head.get("X-Bamboograde-Request-Id");
    std::string wanted = m.head.get("X-Bamboograde-Target-Instance");
    std::string key = m.head.get("X-Bamboograde-Shard-Key");
    bool other = !wanted.empty() && wanted != m_id;
    bool foreign = sharded && !holds(uint32_t(atoi(key.c_str())));
    if (other || foreign) {
      record("server " + m_machine.ip + " answers 421 to " + request);
      if (!c.send("HTTP/1.1 421 Misdirected Request\r\nX-Bamboograde-Not-Executed: 1\r\n"
                  "X-Bamboograde-Request-Id: " +
                  request + "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    if (++m_running > slots) {
      --m_running;
      if (!c.send("HTTP/1.1 503 Service Unavailable\r\nX-Bamboograde-Not-Executed: 1\r\n"
                  "X-Bamboograde-Request-Id: " +
                  request + "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    record("server " + m_machine.ip + " (" + m_id + ") runs " + request + " " + m.method() + " " +
           m.target() + ", body of " + std::to_string(m.body.size()) + " bytes");
    if (on_run) {
      on_run(*this, m);
    }
    run_context run{ request, &m, &c };
    std::string bytes = handler(*this, run);
    --m_running;
    if (bytes.empty() || !m_up || !c.send(bytes)) {
      return;
    }
    if (m_leaving) {
      return;
    }
  }
}

std::string answer(const run_context& run, int status, const std::string& body,
                   const std::string& extra_headers)
{
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
         "\r\nX-Bamboograde-Request-Id: " + run.id + "\r\nX-Bamboograde-Server-Stamp: 3e1b.07." +
         run.id + "\r\n" + extra_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

json route(const std::string& prefix, const std::string& kind, const std::string& service,
           int timeout_ms, int target_ms, int priority, int max_attempts)
{
  return {
    { "host", host },         { "prefix", prefix },           { "kind", kind },
    { "service", service },   { "timeoutMs", timeout_ms },    { "targetLatencyMs", target_ms },
    { "priority", priority }, { "maxAttempts", max_attempts }
  };
}

deployment::deployment(const deployment_options& o)
  : routes(o.routes)
  , m_options(o)
{
  signal(SIGPIPE, SIG_IGN);
  owner = getpid();
  for (int number : { SIGTERM, SIGINT, SIGHUP }) {
    ::signal(number, [](int) {
      // A child between fork and exec still has this handler.
      if (getpid() == owner) {
        end_children();
      }
      _exit(2);
    });
  }
  char folder[] = "/tmp/bamboograde-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    finish(2, "no temporary folder");
  }
  temporary_folder = m_folder = folder;
  std::mt19937 pick(std::random_device{}());
  std::string network;
  // Chooses addresses and ports until all of them are free.
  for (int attempt = 0; attempt < 50; ++attempt) {
    network =
      "127." + std::to_string(20 + pick() % 200) + "." + std::to_string(1 + pick() % 250) + ".";
    int base = 12000 + int(pick() % 15000);
    ports = { base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, network + "250" };
    bool all = true;
    auto free_at = [](const std::string& ip, int port) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in a = address(ip, port);
      bool ok = bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
      ::close(fd);
      return ok;
    };
    for (size_t i = 0; i < o.services.size() && all; ++i) {
      std::string ip = network + std::to_string(i + 1);
      for (int port : { ports.inbound, ports.outbound, ports.ready, ports.control, ports.app,
                        ports.peer, 9464 }) {
        all = all && free_at(ip, port);
      }
    }
    if (all && free_at(ports.store_ip, ports.store)) {
      break;
    }
    network.clear();
  }
  if (network.empty()) {
    finish(2, "no free ports");
  }
  platform = std::make_unique<store>(ports.store_ip, ports.store);
  for (size_t i = 0; i < o.services.size(); ++i) {
    machine m{ network + std::to_string(i + 1), "zone-" + std::to_string(int(i) % o.zones),
               o.services[i], int(i) };
    machines.push_back(m);
    servers.push_back(std::make_unique<server>(m, ports));
    for (const std::string& name : o.sharded) {
      servers.back()->sharded = servers.back()->sharded || name == m.service;
    }
    daemons.push_back(std::make_unique<daemon_process>(m, ports, m_folder));
    services[m.service] = { { "healthPath", "/health" },
                            { "maxConns", 120 },
                            { "sharded", servers.back()->sharded } };
  }
}

void deployment::put_config()
{
  platform->put("op", "config",
                { { "version", config_version },
                  { "routes", routes },
                  { "services", services },
                  { "limits",
                    { { "maxHeaderBytes", 16384 },
                      { "maxBodyBytes", 1048576 },
                      { "headerTimeoutMs", 5000 },
                      { "idleTimeoutMs", 15000 } } } });
}

void deployment::start(size_t count)
{
  count = count == 0 ? daemons.size() : count;
  if (!platform->start()) {
    finish(2, "the store cannot listen");
  }
  put_config();
  for (size_t i = 0; i < count; ++i) {
    daemons[i]->start(true);
  }
  sleep_ms(500);
  for (size_t i = 0; i < count; ++i) {
    if (!servers[i]->start()) {
      finish(2, "a server cannot listen");
    }
  }
  layout readiness = ports;
  readiness.outbound = ports.ready;
  int64_t until = now_ms() + 20000;
  for (size_t i = 0; i < count;) {
    outcome o = ask(machines[i], readiness, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 500);
    bool keyed = !servers[i]->sharded || servers[i]->held() > 0;
    if (o.status == 200 && servers[i]->acked() && keyed) {
      ++i;
    } else if (now_ms() > until) {
      finish(2, "the deployment did not become ready");
    } else {
      sleep_ms(50);
    }
  }
  sleep_ms(3000);
  record("the deployment is ready");
}

std::string request_bytes(const std::string& method, const std::string& path, const std::string& id,
                          int deadline_ms, const std::string& extra, const std::string& body)
{
  std::string text =
    method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Bamboograde-Request-Id: " + id +
    "\r\nX-Bamboograde-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

outcome ask(const machine& m, const layout& l, const std::string& bytes, int wait_ms)
{
  outcome o;
  int64_t from = now_ms();
  auto c = conn::dial(m.ip, l.outbound);
  if (c == nullptr) {
    return o;
  }
  c->send(bytes);
  bool got = c->read(&o.answer, true, from + wait_ms);
  o.status = got ? o.answer.status() : 0;
  o.closed = !got || !o.answer.whole;
  o.took_ms = now_ms() - from;
  return o;
}

} // namespace review
