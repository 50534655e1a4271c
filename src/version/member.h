// A daemon as the others know it, with the upstream beside it.
#pragma once

#include "common/json.h"

#include <map>
#include <optional>

namespace bamboograde::version {

// Identifies one start of an upstream.
using upstream_id = common::text_id<struct upstream_id_tag>;

enum class upstream_state
{
  // No upstream has announced itself.
  kAbsent,
  kReady,
  // Takes no new work; it ends soon.
  kLeaving,
};

struct member
{
  // IP address of the VM; it identifies the member.
  std::string vm;
  common::boot_id boot;
  common::zone_name zone;
  // Requests for the upstream are forwarded to this address.
  common::endpoint forward;
  // Control messages between daemons.
  common::endpoint control;
  common::service_name service;
  upstream_id upstream;
  upstream_state state = upstream_state::kAbsent;
  unsigned slots = 0;
  // The daemon itself is stopping.
  bool stopping = false;
  // Rises with every change that the member makes to its own record, also across restarts.
  uint64_t sequence = 0;

  bool Serves(const common::service_name& aService) const
  {
    return state == upstream_state::kReady && !stopping && service == aService;
  }
};

common::json EncodeMember(const member& aMember);
// Empty when the value is not a member.
std::optional<member> DecodeMember(const common::json& aValue);

// The newest known record of each member.
class member_list
{
public:
  // True when the record is newer than the known one and has replaced it.
  bool Apply(const member& aMember);
  const member* Find(const std::string& aVm) const;
  const std::map<std::string, member>& All() const { return mMembers; }

private:
  std::map<std::string, member> mMembers;
};

} // namespace bamboograde::version
