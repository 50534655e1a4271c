// Daemons as processes of their own, and their upstreams and the platform's table service as
// stand-ins in this process, all on loopback.
#pragma once

#include "standins/fleet/table_standin.h"
#include "standins/fleet/upstream_standin.h"

#include <sys/types.h>

namespace bamboograde::tests {

// One VM: a daemon and the upstream beside it.
class fleet_vm
{
public:
  fleet_vm(connection::http::event_loop& aLoop, unsigned aNumber, const std::string& aService,
           common::milliseconds aAnnouncePeriod, fleet_record& aRecord);
  ~fleet_vm();
  fleet_vm(const fleet_vm&) = delete;
  fleet_vm& operator=(const fleet_vm&) = delete;

  void StartDaemon();
  void KillDaemon();
  // SIGTERM; the process ends by itself.
  void StopDaemon();
  // SIGSTOP and SIGCONT.
  void PauseDaemon();
  void ResumeDaemon();
  // Whether the process has ended; collects it.
  bool DaemonEnded();

  std::unique_ptr<upstream_standin> upstream;
  common::endpoint Callers() const { return common::endpoint(mVm + ":7001"); }
  common::endpoint Readiness() const { return common::endpoint(mVm + ":7004"); }

private:
  void WriteSettings() const;

  std::string mVm;
  std::string mService;
  unsigned mNumber;
  common::milliseconds mAnnouncePeriod;
  std::string mSettingsPath;
  pid_t mDaemon = -1;
};

struct fleet_answer
{
  int status = 0;
  std::string body;
};

// A request that is on its way.
class open_ask : public connection::http::call_observer
{
public:
  void OnCallHead(connection::http::response_head& aHead) override { answer.status = aHead.status; }
  void OnCallBody(std::string_view aBytes) override { answer.body.append(aBytes); }
  void OnCallEnd() override { done = true; }
  void OnCallFailed(const connection::http::call_error&) override
  {
    answer.status = 0;
    done = true;
  }

  connection::http::client_call_ptr call;
  fleet_answer answer;
  bool done = false;
};

class fleet_fixture
{
public:
  // aServices: the service of each VM.
  explicit fleet_fixture(const std::vector<std::string>& aServices,
                         common::milliseconds aAnnouncePeriod = common::milliseconds(100));
  void RunFor(common::milliseconds aTime);
  // Runs until the condition holds; fails the test when it does not in time.
  void RunUntil(const std::function<bool()>& aCondition, common::milliseconds aMost,
                const char* aWhat);
  // Sends a request to the daemon of a VM and waits for the answer.
  fleet_answer Ask(size_t aVm, const std::string& aMethod, const std::string& aPath,
                   const std::string& aKey = "", const std::string& aBody = "");
  // Sends a request and does not wait.
  std::unique_ptr<open_ask> Begin(size_t aVm, const std::string& aMethod, const std::string& aPath,
                                  const std::string& aKey = "", const std::string& aBody = "");
  void Configure(uint64_t aVersion, const std::string& aExtraRoutePrefix = "");
  // Every key is held by exactly one upstream.
  bool WholeSpaceHeld() const;
  std::string LastId() const { return std::to_string(mLastId); }

  connection::http::event_loop loop;
  table_standin table;
  fleet_record record;
  std::vector<std::unique_ptr<fleet_vm>> vms;

private:
  connection::http::client_pool mClients;
  uint64_t mLastId = 0;
};

} // namespace bamboograde::tests
