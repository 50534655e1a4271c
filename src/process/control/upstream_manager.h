// State of the upstream that this daemon serves: its announcements, its grants, and whether it
// accepts requests. A grant tells the upstream which session owns its keys, and until when.
#pragma once

#include "connection/http_client.h"
#include "process/control/context.h"

namespace bamboograde::process::control {

struct upstream_info
{
  common::endpoint address;
  size_t slots = 0;
  // Whether the upstream checks the grant and the fencing epoch of each request.
  bool checksFences = false;
};

class upstream_manager
{
public:
  explicit upstream_manager(context& aContext);

  // {"address": "IP:PORT", "slots": n, "cold_ms": n, "checks_fences": bool}
  // Returns false if the announcement is malformed.
  bool HandleAnnounce(const common::json& aBody);
  // Stops sending new requests to the upstream.
  void Close();
  // Sends the session and the end of its lease to the upstream, if the upstream checks fences.
  void Grant(const common::session_id& aSession, common::boot_time aEnd);

  bool Open() const { return mOpen; }
  const upstream_info& Info() const { return mInfo; }
  // End of the last grant that was sent to the upstream.
  common::boot_time GrantEnd() const { return mGrantEnd; }

private:
  context& mContext;
  connection::http_client mClient;
  upstream_info mInfo;
  bool mOpen = false;
  common::session_id mGrantSession;
  common::boot_time mGrantEnd;
};

} // namespace bamboograde::process::control
