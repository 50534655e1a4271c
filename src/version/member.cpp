#include "version/member.h"

#include <array>

namespace bamboograde::version {

namespace {

// Sequences are milliseconds since 1970 or little more. A record with a greater one would replace
// all later records of its VM.
constexpr uint64_t kMaxSequence = uint64_t(1) << 48;
constexpr std::array<const char*, 3> kStateNames = { "absent", "ready", "leaving" };

} // namespace

common::json EncodeMember(const member& aMember)
{
  return { { "vm", aMember.vm },
           { "boot", aMember.boot.Str() },
           { "zone", aMember.zone.Str() },
           { "forward", aMember.forward.Str() },
           { "control", aMember.control.Str() },
           { "service", aMember.service.Str() },
           { "upstream", aMember.upstream.Str() },
           { "started_ms", aMember.startedMs },
           { "state", kStateNames[size_t(aMember.state)] },
           { "slots", aMember.slots },
           { "cold", aMember.cold },
           { "stopping", aMember.stopping },
           { "sequence", aMember.sequence } };
}

std::optional<member> DecodeMember(const common::json& aValue)
{
  member decoded;
  decoded.vm = common::GetString(aValue, "vm");
  decoded.boot = common::boot_id(common::GetString(aValue, "boot"));
  decoded.zone = common::zone_name(common::GetString(aValue, "zone"));
  decoded.forward = common::endpoint(common::GetString(aValue, "forward"));
  decoded.control = common::endpoint(common::GetString(aValue, "control"));
  decoded.service = common::service_name(common::GetString(aValue, "service"));
  decoded.upstream = upstream_id(common::GetString(aValue, "upstream"));
  decoded.startedMs = common::GetNumber(aValue, "started_ms");
  std::optional<unsigned> slots = common::GetUnsigned(aValue, "slots");
  decoded.slots = slots.value_or(0);
  decoded.cold = common::GetBool(aValue, "cold");
  decoded.stopping = common::GetBool(aValue, "stopping");
  decoded.sequence = common::GetNumber(aValue, "sequence");
  std::string state = common::GetString(aValue, "state");
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (state == kStateNames[i]) {
      decoded.state = upstream_state(i);
    }
  }
  bool usable = !decoded.vm.empty() && !decoded.boot.Empty() && !decoded.control.Empty() &&
                slots.has_value() && decoded.sequence <= kMaxSequence;
  return usable ? std::optional(decoded) : std::nullopt;
}

bool member_list::Apply(const member& aMember)
{
  member& known = mMembers[aMember.vm];
  if (!known.vm.empty() && known.sequence >= aMember.sequence) {
    return false;
  }
  known = aMember;
  return true;
}

const member* member_list::Find(const std::string& aVm) const
{
  auto found = mMembers.find(aVm);
  return found == mMembers.end() ? nullptr : &found->second;
}

} // namespace bamboograde::version
