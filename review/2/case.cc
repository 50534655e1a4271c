// All machines are lost for good at once and replaced by new ones at other addresses. The store and
// its rows stay. The keys must be served again after recoveryS.
#include "../standins/fleet.hh"

#include <random>

using namespace review;

namespace {

constexpr int machine_count = 6;
constexpr int64_t recovery_ms = 15000;

struct tally
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
};

// Sends keyed requests at all machines, each client on a new connection, until the time.
void drive(const std::vector<machine>& machines, const layout& ports, int64_t until, tally& t,
           const char* phase)
{
  std::vector<std::thread> clients;
  for (size_t i = 0; i < machines.size(); ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 pick(uint32_t(i) + 1);
      while (now_ms() < until) {
        std::string id = new_id();
        std::string key = std::to_string(pick() % 65536);
        outcome o = ask(machines[i], ports,
                        request_bytes("GET", "/lepu270/2f", id, 500,
                                      "X-Bamboograde-Shard-Key: " + key + "\r\n", ""),
                        1000);
        ++t.sent;
        t.served += o.status == 200 && o.answer.whole ? 1 : 0;
        record(std::string(phase) + ": " + id + " with key " + key + " at " + machines[i].ip +
               " gets " + (o.status == 0 ? "no answer" : std::to_string(o.status)));
        sleep_ms(100);
      }
    });
  }
  for (std::thread& c : clients) {
    c.join();
  }
}

} // namespace

int main()
{
  deployment_options o;
  o.services.assign(machine_count * 2, "touren");
  o.sharded = { "touren" };
  o.routes = { { "route-list", route("/lepu270/", "safe", "touren", 500, 200, 2, 2) } };
  deployment d(o);
  for (auto& s : d.servers) {
    s->handler = [](server&, run_context& run) {
      sleep_ms(20);
      return answer(run, 200, "route list");
    };
  }
  // The second half are the machines that replace the first half.
  std::vector<machine> first(d.machines.begin(), d.machines.begin() + machine_count);
  std::vector<machine> second(d.machines.begin() + machine_count, d.machines.end());
  d.start(machine_count);
  tally before;
  drive(first, d.ports, now_ms() + 8000, before, "before");
  if (before.served * 4 < before.sent * 3) {
    finish(2, "the deployment does not serve before the fault");
  }
  std::vector<machine> now = first;
  if (trouble()) {
    record("all machines are lost for good");
    for (int i = 0; i < machine_count; ++i) {
      d.daemons[i]->kill();
      d.servers[i]->crash();
    }
    sleep_ms(2000);
    record("as many new machines start at other addresses");
    for (int i = machine_count; i < 2 * machine_count; ++i) {
      d.daemons[i]->start();
    }
    sleep_ms(300);
    for (int i = machine_count; i < 2 * machine_count; ++i) {
      d.servers[i]->start();
    }
    now = second;
  }
  tally meanwhile;
  drive(now, d.ports, now_ms() + recovery_ms + 2000, meanwhile, "recovery");
  tally after;
  drive(now, d.ports, now_ms() + 30000, after, "after recovery");
  record("key map: " + d.platform->value("bamboograde", "keys/touren").dump());
  std::string figures = "served before " + std::to_string(before.served) + " of " +
                        std::to_string(before.sent) +
                        ", later than recoveryS after the machines are back " +
                        std::to_string(after.served) + " of " + std::to_string(after.sent);
  bool broken = after.served * 4 < after.sent;
  finish(broken ? 1 : 0, std::string(broken ? "RECOVER broken: " : "RECOVER held: ") + figures);
}
