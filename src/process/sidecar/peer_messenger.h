// Control messages between daemons: JSON over HTTP in both directions.
#pragma once

#include "common/json.h"
#include "process/sidecar/runtime.h"

namespace bamboograde::process::sidecar {

// Paths of the control messages.
constexpr char kComparePath[] = "/control/compare";
constexpr char kExchangePath[] = "/control/exchange";
constexpr char kConfigPath[] = "/control/configuration";
constexpr char kRenewPath[] = "/control/lease/renew";
constexpr char kRevokePath[] = "/control/lease/revoke";

using peer_callback = std::function<void(const common::result<common::json>&)>;

class peer_messenger
{
public:
  explicit peer_messenger(runtime& aRuntime)
    : mRuntime(aRuntime)
  {
  }
  // Calls back exactly once, with an error if there is no response by the deadline.
  void Send(const common::endpoint& aControl, const char* aPath, const common::json& aBody,
            common::boot_time aDeadline, peer_callback aCallback);

private:
  runtime& mRuntime;
};

} // namespace bamboograde::process::sidecar
