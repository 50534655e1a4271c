#include "process/sidecar/upstream_notices.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

void upstream_notices::OnResponse(const version::member& aTarget,
                                  const request::upstream_notice& aNotice,
                                  common::boot_time aClosesAt)
{
  entry& known = mEntries[aTarget.vm];
  version::upstream_incarnation incarnation = aTarget.Incarnation();
  if (known.incarnation != incarnation) {
    if (known.incarnation.startedMs > incarnation.startedMs) {
      return;
    }
    known = {};
    known.incarnation = incarnation;
  }
  // Leaving is final for an incarnation.
  bool leaving = known.notice.leaving || aNotice.leaving;
  known.notice = aNotice;
  known.notice.leaving = leaving;
  if (aNotice.leaving) {
    known.closesAt = std::min(known.closesAt, aClosesAt);
  }
}

const upstream_notices::entry* upstream_notices::Find(const version::member& aMember) const
{
  auto found = mEntries.find(aMember.vm);
  bool present = found != mEntries.end() && found->second.incarnation == aMember.Incarnation();
  return present ? &found->second : nullptr;
}

bool upstream_notices::IsLeaving(const version::member& aMember) const
{
  const entry* known = Find(aMember);
  return known != nullptr && known->notice.leaving;
}

common::boot_time upstream_notices::ClosesAt(const version::member& aMember) const
{
  const entry* known = Find(aMember);
  return known == nullptr ? common::boot_time::max() : known->closesAt;
}

std::optional<request::request_rate> upstream_notices::Limit(const version::member& aMember) const
{
  const entry* known = Find(aMember);
  return known == nullptr ? std::nullopt : known->notice.limit;
}

} // namespace bamboograde::process::sidecar
