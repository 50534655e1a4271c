// A route is added by a new configuration. Then one of three servers crashes once, while equal
// requests on that route run there, and is back after 4.5 s.
#include "../standins/fleet.hh"

using namespace review;

namespace {

constexpr int64_t down_ms = 4500;
constexpr int64_t calm_ms = 15000;

struct tally
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
};

} // namespace

int main()
{
  deployment_options o;
  o.services = { "lager", "lager", "lager", "lieferschein", "lieferschein", "lieferschein" };
  o.routes = { { "stock-lookup", route("/weze7/", "safe", "lager", 1000, 400, 2, 2) } };
  deployment d(o);
  for (auto& s : d.servers) {
    s->handler = [](server&, run_context& run) {
      sleep_ms(60);
      return answer(run, 200, "trays");
    };
  }
  d.start();
  d.routes["stock-today"] = route("/nuri4/", "safe", "lager", 1000, 400, 2, 2);
  d.config_version = 12;
  d.put_config();
  record("a configuration with one more route is acknowledged");
  sleep_ms(5000);
  // Clients on the machine of the server that will crash. On the first route each request has a
  // path of its own, on the later one all ask for the same.
  std::atomic<bool> going{ true };
  std::atomic<tally*> first{ nullptr };
  std::atomic<tally*> later{ nullptr };
  tally first_before, later_before, first_between, later_between, first_after, later_after;
  first = &first_before;
  later = &later_before;
  std::vector<std::thread> clients;
  for (int n = 0; n < 12; ++n) {
    clients.emplace_back([&, n] {
      while (going) {
        bool on_later = n % 2 == 0;
        tally& t = on_later ? *later : *first;
        std::string id = new_id();
        outcome a = ask(
          d.machines[0], d.ports,
          request_bytes("GET", on_later ? "/nuri4/today" : "/weze7/" + id, id, 1000, "", ""), 2000);
        ++t.sent;
        t.served += a.status == 200 && a.answer.whole ? 1 : 0;
        record(std::string(on_later ? "later" : "first") + " route: " + id + " gets " +
               (a.status == 0 ? "no answer" : std::to_string(a.status)));
        sleep_ms(30);
      }
    });
  }
  sleep_ms(4000);
  first = &first_between;
  later = &later_between;
  if (trouble()) {
    record("server " + d.machines[0].ip + " crashes");
    d.servers[0]->crash();
    sleep_ms(down_ms);
    d.servers[0]->start();
    record("server " + d.machines[0].ip + " is back");
  } else {
    sleep_ms(down_ms);
  }
  sleep_ms(calm_ms);
  first = &first_after;
  later = &later_after;
  sleep_ms(30000);
  going = false;
  for (std::thread& c : clients) {
    c.join();
  }
  auto text = [](const tally& t) {
    return std::to_string(t.served) + " of " + std::to_string(t.sent);
  };
  if (first_before.served * 10 < first_before.sent * 9 ||
      later_before.served * 10 < later_before.sent * 9) {
    finish(2, "the deployment does not serve before the crash");
  }
  std::string figures = "served before: first route " + text(first_before) + ", later route " +
                        text(later_before) + "; from 15 s after the server is back: first route " +
                        text(first_after) + ", later route " + text(later_after);
  double first_share = double(first_after.served) / std::max(1, int(first_after.sent));
  double later_share = double(later_after.served) / std::max(1, int(later_after.sent));
  bool broken = later_after.sent >= 20 && later_share < first_share / 4;
  finish(broken ? 1 : 0, std::string(broken ? "CONFIG broken: " : "CONFIG held: ") + figures);
}
