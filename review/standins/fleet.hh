// Stand-ins for the review cases: the platform's store, application servers and clients, and the
// daemons as separate processes. Blocking sockets, one thread a connection; loopback only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

// Milliseconds since the start of the program.
int64_t now_ms();
void sleep_ms(int64_t ms);
// Writes a line to record.txt with the time.
void record(const std::string& line);
bool trouble();
// Ends the program: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] void finish(int code, const std::string& why);
std::string new_id();

struct headers
{
  std::vector<std::pair<std::string, std::string>> items;
  std::string get(const std::string& name) const;
  bool has(const std::string& name) const;
};

struct message
{
  std::string start;
  headers head;
  std::string body;
  // The message ended as its framing says.
  bool whole = false;
  int status() const;
  std::string method() const;
  std::string target() const;
};

// A TCP connection with buffered input.
class conn
{
public:
  explicit conn(int fd)
    : m_fd(fd)
  {
  }
  ~conn() { close(); }
  conn(const conn&) = delete;
  conn& operator=(const conn&) = delete;
  static std::unique_ptr<conn> dial(const std::string& ip, int port, int timeout_ms = 1000);
  bool send(const std::string& bytes);
  // Reads one message; false when the connection ends or the time passes before its head is there.
  // on_head is called once the head has arrived.
  bool read(message* m, bool is_response, int64_t until_ms,
            const std::function<void(message&)>& on_head = {});
  // Waits up to ms; true when the peer has closed the connection.
  bool closed_by_peer(int ms);
  void close();
  void reset();
  void shutdown_both();
  int fd() const { return m_fd; }

private:
  bool fill(int64_t until_ms);
  int m_fd;
  std::string m_in;
  bool m_eof = false;
};

// Accepts connections and serves each on its own thread.
class listener
{
public:
  listener(std::string ip, int port, std::function<void(conn&)> serve);
  ~listener();
  bool start();
  // Closes the listener and all connections.
  void stop();

private:
  std::string m_ip;
  int m_port;
  std::function<void(conn&)> m_serve;
  std::atomic<int> m_fd{ -1 };
  std::thread m_accept;
  std::mutex m_mutex;
  std::set<conn*> m_conns;
  std::atomic<int> m_threads{ 0 };
};

// The platform's store: versioned rows, conditional transactions, feeds.
class store
{
public:
  enum class mode
  {
    up,
    busy,
    silent
  };
  store(std::string ip, int port);
  bool start();
  void put(const std::string& table, const std::string& key, const json& value);
  void set_mode(mode m);
  json value(const std::string& table, const std::string& key);

private:
  struct row
  {
    std::string value;
    uint64_t ver;
  };
  void serve(conn& c);
  json rows(const std::string& table, const std::string& from, uint64_t after);
  listener m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::pair<std::string, std::string>, row> m_rows;
  uint64_t m_ver = 1;
  std::atomic<mode> m_mode{ mode::up };
};

struct machine
{
  std::string ip;
  std::string zone;
  std::string service;
  int index = 0;
};

struct layout
{
  int inbound, outbound, ready, control, app, peer, store;
  std::string store_ip;
};

// A daemon of the deploy file, started as the platform starts it.
class daemon_process
{
public:
  daemon_process(machine m, layout l, std::string folder);
  ~daemon_process();
  void start(bool bootstrap = false);
  void signal(int number);
  void kill();
  bool running();

private:
  machine m_machine;
  layout m_layout;
  std::string m_folder;
  pid_t m_pid = -1;
};

struct run_context
{
  std::string id;
  message* request;
  conn* connection;
};

// An application server beside a daemon.
class server
{
public:
  server(machine m, layout l);
  ~server();
  // Handles one request that the server runs and returns the bytes of the answer; empty bytes close
  // the connection.
  std::function<std::string(server&, run_context&)> handler;
  int slots = 14;
  bool sharded = false;
  int64_t beat_ms = 870;
  // Starts a new life under a new id.
  bool start();
  // Ends at once: connections are closed, nothing is said.
  void crash();
  bool up() const { return m_up; }
  bool holds(uint32_t key);
  size_t held();
  const std::string& id() const { return m_id; }
  const machine& where() const { return m_machine; }
  bool acked() const { return m_acked; }
  // Called when a request has arrived whole and begins to run.
  std::function<void(server&, message&)> on_run;
  // Heartbeats from now on arrive this much later.
  std::atomic<int64_t> late_ms{ 0 };
  // Sends DELETE once and no heartbeat from then on; goes on serving. Returns the status.
  int leave_abruptly();

private:
  void serve(conn& c);
  void beats(uint64_t life);
  bool beat(uint64_t life);
  void deliver_late(uint64_t life, std::string bytes, int64_t delay);
  std::atomic<int> m_late{ 0 };
  std::atomic<bool> m_leaving{ false };
  machine m_machine;
  layout m_layout;
  std::unique_ptr<listener> m_listener;
  std::thread m_beats;
  std::atomic<bool> m_up{ false };
  std::atomic<bool> m_acked{ false };
  std::atomic<uint64_t> m_life{ 0 };
  std::atomic<int> m_running{ 0 };
  std::string m_id;
  int64_t m_born = 0;
  uint64_t m_seq = 0;
  std::mutex m_mutex;
  struct hold
  {
    uint32_t from, to;
    uint64_t fence;
  };
  std::vector<hold> m_holds;
  json m_freed = json::array();
  int64_t m_hold_until = 0;
  std::multiset<uint32_t> m_busy_keys;
};

// Answer of a sound server.
std::string answer(const run_context& run, int status, const std::string& body,
                   const std::string& extra_headers = "");

struct deployment_options
{
  // Service of each machine, in order; machines are dealt to the zones in turn.
  std::vector<std::string> services;
  std::vector<std::string> sharded;
  int zones = 3;
  json routes;
};

class deployment
{
public:
  explicit deployment(const deployment_options& o);
  // Starts the first count machines (0: all) and waits until every daemon is ready and every server
  // has its acknowledgement and, where it is divided by key, its keys.
  void start(size_t count = 0);
  void put_config();
  layout ports;
  std::unique_ptr<store> platform;
  std::vector<machine> machines;
  std::vector<std::unique_ptr<server>> servers;
  std::vector<std::unique_ptr<daemon_process>> daemons;
  uint64_t config_version = 7;
  json routes;
  json services = json::object();

private:
  deployment_options m_options;
  std::string m_folder;
};

json route(const std::string& prefix, const std::string& kind, const std::string& service,
           int timeout_ms, int target_ms, int priority, int max_attempts);

constexpr char host[] = "jepu9.example";

// A request of a client, ready to send.
std::string request_bytes(const std::string& method, const std::string& path, const std::string& id,
                          int deadline_ms, const std::string& extra, const std::string& body);

struct outcome
{
  int status = 0; // 0: no answer
  message answer;
  bool closed = false; // the connection ended before the answer was whole
  int64_t took_ms = 0;
};

// Sends one request on a new connection and waits for its answer until wait_ms.
outcome ask(const machine& m, const layout& l, const std::string& bytes, int wait_ms);

} // namespace review
