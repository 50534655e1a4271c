// The record of a daemon and of the upstream on its VM, as it is exchanged between daemons.
#pragma once

#include "common/json.h"

#include <map>
#include <optional>

namespace bamboograde::version {

// Identifies one start of an upstream.
using upstream_id = common::text_id<struct upstream_id_tag>;

// One start of an upstream; it may have the id of an earlier one.
struct upstream_incarnation
{
  upstream_id id;
  // Wall clock of the upstream at its start.
  uint64_t startedMs = 0;
  auto operator<=>(const upstream_incarnation&) const = default;
};

enum class upstream_state
{
  // No upstream is registered with the daemon.
  kAbsent,
  kReady,
  // The upstream is about to stop and accepts no new requests.
  kLeaving,
};

struct member
{
  // IP address of the VM; it identifies the member.
  std::string vm;
  common::boot_id boot;
  common::zone_name zone;
  // Address for requests that other daemons forward to the upstream.
  common::endpoint forward;
  // Address for control messages between daemons.
  common::endpoint control;
  common::service_name service;
  upstream_id upstream;
  // Wall clock of the upstream at its start.
  uint64_t startedMs = 0;
  upstream_state state = upstream_state::kAbsent;
  // Requests that the upstream can run concurrently.
  unsigned slots = 0;
  // The upstream is cold and gets few requests.
  bool cold = false;
  // The daemon itself is stopping.
  bool stopping = false;
  // The daemon increases the sequence with each change of its record, also across its restarts.
  uint64_t sequence = 0;

  upstream_incarnation Incarnation() const { return { upstream, startedMs }; }
  bool Serves(const common::service_name& aService) const
  {
    return state == upstream_state::kReady && !stopping && service == aService;
  }
};

common::json EncodeMember(const member& aMember);
// Empty when the value is not a member record.
std::optional<member> DecodeMember(const common::json& aValue);

// The newest known record of each member.
class member_list
{
public:
  // Replaces the known record if aMember has a higher sequence. Returns whether it did.
  bool Apply(const member& aMember);
  const member* Find(const std::string& aVm) const;
  const std::map<std::string, member>& All() const { return mMembers; }

private:
  std::map<std::string, member> mMembers;
};

} // namespace bamboograde::version
