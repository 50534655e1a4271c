// What upstreams have said of themselves in the responses that this daemon passed on to its
// callers.
//
// Such a response binds the daemon that passed it on, also while the daemon beside the upstream has
// restarted and does not know of it.
#pragma once

#include "request/upstream_notice.h"
#include "version/member.h"

#include <map>

namespace bamboograde::process::sidecar {

class upstream_notices
{
public:
  // aTarget: the member as it was when the request was sent. aClosesAt: from when on an upstream
  // that leaves must not be sent requests.
  void OnResponse(const version::member& aTarget, const request::upstream_notice& aNotice,
                  common::boot_time aClosesAt);
  bool IsLeaving(const version::member& aMember) const;
  // From when on no request may be sent to the upstream.
  common::boot_time ClosesAt(const version::member& aMember) const;
  // The limit in its last response.
  std::optional<request::request_rate> Limit(const version::member& aMember) const;

private:
  struct entry
  {
    version::upstream_incarnation incarnation;
    request::upstream_notice notice;
    common::boot_time closesAt = common::boot_time::max();
  };

  // Null if nothing is known of the present incarnation.
  const entry* Find(const version::member& aMember) const;

  // By VM.
  std::map<std::string, entry> mEntries;
};

} // namespace bamboograde::process::sidecar
