// A request crashes each server that begins to run it, and comes again with the same path, caller
// and body. Its body of 100 KB arrives at the daemon in pieces, as a network delivers them.
#include "../standins/fleet.hh"

#include <random>

using namespace review;

namespace {

constexpr size_t body_bytes = 100 * 1000;
constexpr size_t segment = 1448;
constexpr int64_t down_ms = 2500;
constexpr int64_t contact_ms = 3000;
constexpr int tries = 22;

} // namespace

int main()
{
  deployment_options o;
  // Four servers of the service, whose machines also send the request.
  o.services = { "lieferschein", "lieferschein", "lieferschein", "lieferschein", "lager", "lager" };
  o.routes = { { "deliver-confirm", route("/xapu221/", "unsafe", "lieferschein", 2000, 250, 1, 2) },
               { "other", route("/weze7/", "unsafe", "lieferschein", 2000, 250, 1, 2) } };
  deployment d(o);
  std::mutex mutex;
  std::vector<int64_t> runs;
  std::atomic<int> other_lost{ 0 };
  std::set<server*> to_crash;
  for (auto& s : d.servers) {
    s->handler = [&](server& at, run_context& run) {
      if (run.request->target() != "/xapu221/ny95/2f") {
        sleep_ms(60);
        return answer(run, 200, "delivery note");
      }
      std::lock_guard lock(mutex);
      runs.push_back(now_ms());
      if (!trouble()) {
        return answer(run, 200, "delivery note");
      }
      record("server " + at.where().ip + " crashes at the request, its run number " +
             std::to_string(runs.size()));
      to_crash.insert(&at);
      return std::string();
    };
  }
  d.start();
  std::atomic<bool> going{ true };
  // Crashes a server as soon as it has begun to run the request; it is back after down_ms.
  std::thread crashes([&] {
    std::map<server*, int64_t> back;
    while (going) {
      std::set<server*> now;
      {
        std::lock_guard lock(mutex);
        now.swap(to_crash);
      }
      for (server* s : now) {
        s->crash();
        back[s] = now_ms() + down_ms;
      }
      for (auto it = back.begin(); it != back.end();) {
        if (now_ms() >= it->second) {
          record("server " + it->first->where().ip + " starts again");
          it->first->start();
          it = back.erase(it);
        } else {
          ++it;
        }
      }
      sleep_ms(1);
    }
  });
  // Other clients, about 40 requests a second.
  std::vector<std::thread> clients;
  for (size_t i = 0; i < d.machines.size(); ++i) {
    clients.emplace_back([&, i] {
      while (going) {
        std::string id = new_id();
        outcome a = ask(d.machines[i], d.ports,
                        request_bytes("POST", "/weze7/a/" + id, id, 2000, "", "crates"), 3000);
        other_lost += a.status == 502 || a.status == 504 || a.status == 0 ? 1 : 0;
        sleep_ms(80);
      }
    });
  }
  std::mt19937 pick(20261205);
  std::string body(body_bytes, 'c');
  for (int n = 0; n < tries; ++n) {
    const machine& at = d.machines[n % 4];
    std::string id = new_id();
    std::string bytes = request_bytes("POST", "/xapu221/ny95/2f", id, 2000, "", body);
    auto c = conn::dial(at.ip, d.ports.outbound);
    // Segments of a network: some arrive together, some a few milliseconds later.
    for (size_t i = 0; c != nullptr && i < bytes.size();) {
      size_t size = segment * (1 + pick() % 12);
      c->send(bytes.substr(i, size));
      i += size;
      std::this_thread::sleep_for(std::chrono::microseconds(200 + pick() % 2000));
    }
    message m;
    bool got = c != nullptr && c->read(&m, true, now_ms() + 3000);
    record("client at " + at.ip + ": try " + std::to_string(n + 1) + " (" + id + ") gets " +
           (got ? std::to_string(m.status()) : "no answer"));
    sleep_ms(3300);
  }
  going = false;
  crashes.join();
  for (std::thread& c : clients) {
    c.join();
  }
  int retries = 0;
  for (size_t i = 3; i < runs.size(); ++i) {
    retries += runs[i] > runs[2] + contact_ms ? 1 : 0;
  }
  std::string figures =
    "of " + std::to_string(tries) + " tries " + std::to_string(runs.size()) + " reached a server";
  if (!trouble()) {
    finish(0, "BUDGET held: " + figures + ", and none crashed it");
  }
  figures += " and crashed it, " + std::to_string(retries) +
             " of them later than contactMs after the third crash; " + std::to_string(other_lost) +
             " other requests were cut off";
  finish(retries > 3 ? 1 : 0, (retries > 3 ? "BUDGET broken: " : "BUDGET held: ") + figures);
}
