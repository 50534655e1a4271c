// A daemon is stopped and started again while the server next to it leaves by DELETE. Two
// heartbeats that the server sent before arrive seconds late, at the new process.
#include "../standins/fleet.hh"

#include <csignal>
#include <random>

using namespace review;

namespace {

constexpr int64_t drain_ms = 2000;
constexpr int64_t contact_ms = 3000;
constexpr int64_t late = 6000;
constexpr size_t leaver = 1;

struct run_entry
{
  int64_t at;
  std::string id;
};

} // namespace

int main()
{
  deployment_options o;
  o.services = { "lieferschein", "lieferschein", "lieferschein", "lager", "lager", "lager" };
  o.routes = { { "deliver-confirm", route("/xapu221/", "unsafe", "lieferschein", 600, 250, 1, 2) },
               { "stock-lookup", route("/weze7/", "safe", "lager", 1000, 400, 2, 2) } };
  deployment d(o);
  std::mutex mutex;
  std::vector<run_entry> arrivals;
  std::set<std::string> ended;
  for (auto& s : d.servers) {
    s->handler = [&](server& at, run_context& run) {
      std::string id = run.id;
      sleep_ms(78);
      std::lock_guard lock(mutex);
      ended.insert(id);
      return answer(run, 200, "delivery note",
                    &at == d.servers[leaver].get() ? "Connection: close\r\n" : "");
    };
    s->on_run = [&](server& at, message& m) {
      if (&at == d.servers[leaver].get()) {
        std::lock_guard lock(mutex);
        arrivals.push_back({ now_ms(), m.head.get("X-Bamboograde-Request-Id") });
      }
    };
  }
  d.start();
  // Clients on the machines of the other daemons, about 160 requests a second together. Those on
  // the machine whose daemon is stopped get no work, as the platform sees to it.
  std::atomic<bool> going{ true };
  std::atomic<int> lost{ 0 };
  std::vector<std::thread> clients;
  for (size_t i = 0; i < d.machines.size(); ++i) {
    if (i == leaver) {
      continue;
    }
    for (int n = 0; n < 8; ++n) {
      clients.emplace_back([&, i, n] {
        std::mt19937 pick(uint32_t(i * 100) + uint32_t(n));
        while (going) {
          std::string id = new_id();
          outcome a = ask(d.machines[i], d.ports,
                          request_bytes("POST", "/xapu221/ny95/2f", id, 600, "", "crates"), 1500);
          record("client at " + d.machines[i].ip + ": " + id + " gets " +
                 (a.status == 0 ? "no answer" : std::to_string(a.status)));
          bool ran = false;
          {
            std::lock_guard lock(mutex);
            for (const run_entry& e : arrivals) {
              ran = ran || e.id == id;
            }
          }
          lost += ran && a.status != 200 ? 1 : 0;
          sleep_ms(40 + int64_t(pick() % 160));
        }
      });
    }
  }
  sleep_ms(2000);
  server& leaving = *d.servers[leaver];
  if (trouble()) {
    leaving.late_ms = late;
  }
  sleep_ms(2 * 870 + 100);
  record("SIGTERM to the daemon at " + leaving.where().ip);
  d.daemons[leaver]->signal(SIGTERM);
  sleep_ms(300);
  int status = leaving.leave_abruptly();
  int64_t acked_at = now_ms();
  record("server " + leaving.where().ip + " sends DELETE and gets " + std::to_string(status));
  if (status != 200) {
    finish(2, "the DELETE was not acknowledged");
  }
  while (d.daemons[leaver]->running()) {
    sleep_ms(10);
  }
  record("the daemon at " + leaving.where().ip + " has ended");
  sleep_ms(300);
  d.daemons[leaver]->start();
  int64_t started_at = now_ms();
  record("the daemon at " + leaving.where().ip + " starts again");
  // The server goes on serving for some seconds, then exits.
  while (now_ms() < acked_at + 7000) {
    sleep_ms(10);
  }
  record("server " + leaving.where().ip + " exits");
  leaving.crash();
  sleep_ms(1500);
  going = false;
  for (std::thread& c : clients) {
    c.join();
  }
  int late_arrivals = 0;
  int in_touch = 0;
  for (const run_entry& e : arrivals) {
    late_arrivals += e.at > acked_at + drain_ms ? 1 : 0;
    in_touch += e.at > acked_at + drain_ms && e.at > started_at + contact_ms + 200 ? 1 : 0;
  }
  std::string figures =
    std::to_string(late_arrivals) +
    " requests reached the server later than drainMs after the acknowledgement, " +
    std::to_string(in_touch) + " of them by machines in touch; " + std::to_string(lost) +
    " requests that it ran got no success";
  finish(in_touch > 0 ? 1 : 0, (in_touch > 0 ? "DRAIN broken: " : "DRAIN held: ") + figures);
}
