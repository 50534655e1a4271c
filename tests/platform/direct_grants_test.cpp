// Responses of an upstream to calls about its keys, byte by byte.

#include "connection/raw_server.h"
#include "platform/header_names.h"
#include "platform/upstream_messages.h"
#include "process/sidecar/direct_grants.h"
#include "process/sidecar/sidecar_fixture.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using common::milliseconds;
using process::sidecar::direct_grants;
using process::sidecar::key_report;

namespace {

constexpr milliseconds kHoldTime{ 600 };

// An owner that first grants one range and then nothing.
class one_range : public process::sidecar::key_grantor
{
public:
  explicit one_range(process::sidecar::runtime& aRuntime)
    : mRuntime(aRuntime)
  {
  }
  bool HasSession() const override { return true; }
  std::vector<version::held_range> GrantableRanges() const override
  {
    version::held_range range{ { 0, 99 }, version::fencing_token(3), "" };
    return granting ? std::vector{ range } : std::vector<version::held_range>();
  }
  common::boot_time LeaseEnd() const override { return mRuntime.Now() + milliseconds(5000); }
  void OnOthersExcluded() override {}
  void OnReport(const key_report& aReport) override
  {
    held = !aReport.holds.empty();
    for (const auto& released : aReport.released) {
      handover = released.handover;
    }
  }

  bool granting = true;
  bool held = false;
  std::string handover = "none";

private:
  process::sidecar::runtime& mRuntime;
};

struct response_case
{
  const char* name;
  std::string grant;
  std::string release;
  // After the response to the grant, and after the one to the release.
  bool heldAfterGrant;
  bool heldAfterRelease;
};

std::string Ok(const std::string& aHeaders)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders + "Content-Length: 0\r\n\r\n";
}

void Run(tests::sidecar_fixture& aTest, milliseconds aTime)
{
  connection::http::loop_timer timer(aTest.loop, [&aTest] { aTest.loop.Quit(); });
  timer.Arm(aTest.loop.Now() + aTime);
  aTest.loop.Run();
}

// Answers the first call as a grant and the second as a release; later calls get no response.
void Check(const response_case& aCase)
{
  std::atomic<int> calls{ 0 };
  tests::raw_server server([&](int aFd) {
    while (tests::raw_server::ReadRequest(aFd)) {
      int call = ++calls;
      if (call <= 2) {
        tests::raw_server::Write(aFd, call == 1 ? aCase.grant : aCase.release);
      }
      if (call <= 2 &&
          (call == 1 ? aCase.grant : aCase.release).find("close") != std::string::npos) {
        return;
      }
    }
  });
  tests::sidecar_fixture test("127.0.0.1");
  platform::header_names headers;
  process::sidecar::runtime runtime{ test.settings, test.loop,    test.clock, test.random,
                                     test.pool,     headers,      test.fleet, test.log,
                                     test.counters, test.inFlight };
  test.settings.upstream = common::endpoint(server.Authority());
  request::suspect_list suspects;
  process::sidecar::upstream_gate gate(runtime, suspects);
  platform::upstream_messages messages;
  one_range owner(runtime);
  direct_grants grants(runtime, messages, gate, owner, kHoldTime);
  grants.OnStarted(false);
  grants.OnAnnouncement({});
  Run(test, milliseconds(100));
  cr_expect_eq(owner.held, aCase.heldAfterGrant, "%s: after the grant", aCase.name);
  owner.granting = false;
  grants.OnAnnouncement({});
  Run(test, milliseconds(100));
  grants.Update();
  cr_expect_eq(owner.held, aCase.heldAfterRelease, "%s: after the release", aCase.name);
  // A late copy of a response can only arrive on a connection that is not used any more.
  cr_expect_geq(server.Accepted(), int(calls), "%s: a connection was used twice", aCase.name);
  // Whatever the response was, nothing is held when the hold time and the longest call are over.
  for (int step = 0; step < 12; ++step) {
    Run(test, milliseconds(100));
    grants.Update();
  }
  cr_expect(!owner.held, "%s: at the end", aCase.name);
}

} // namespace

Test(direct_grants_responses, only_a_whole_response_shows_what_the_upstream_holds)
{
  const std::string kDone = Ok("");
  const std::string kHandover = Ok("X-Bamboograde-Handover: warm\r\n");
  const std::string kSuperseded = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
  const std::string kError = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
  const response_case kCases[] = {
    { "granted and released", kDone, kHandover, true, false },
    { "released without a handover", kDone, kDone, true, true },
    { "release rejected", kDone, kError, true, true },
    { "release answered with bytes that are not HTTP", kDone, "close\r\n\r\n\r\n", true, true },
    { "release cut off in its head", kDone, "HTTP/1.1 200 OK\r\nX-Bamboograde-Handover: close",
      true, true },
    { "release cut off in its body", kDone,
      "HTTP/1.1 200 OK\r\nX-Bamboograde-Handover: close\r\nContent-Length: 9\r\n\r\nabc", true,
      true },
    { "release answered for another request", kDone,
      Ok("X-Bamboograde-Request-Id: other\r\nX-Bamboograde-Handover: warm\r\n"), true, true },
    { "release with an endless body", kDone,
      "HTTP/1.1 200 OK\r\nX-Bamboograde-Handover: warm\r\n\r\n" + std::string(100000, 'x'), true,
      true },
    { "grant rejected for a higher token", kSuperseded, kHandover, false, false },
    { "grant failed, then released", kError, kHandover, true, true },
  };
  for (const response_case& item : kCases) {
    Check(item);
  }
}
