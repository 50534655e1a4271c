// Calls the operator interface of a daemon and blocks until the response arrives or the call times
// out.
#pragma once

#include "common/json.h"
#include "connection/http_client.h"

namespace bamboograde::ctl {

// Exit codes of bamboogradectl.
enum class exit_code
{
  kDone = 0,
  // The daemon or the platform could not be reached.
  kUnreachable = 1,
  // The command line or the input is not valid; nothing was changed.
  kInvalid = 2,
  // Another operator changed the same cells; nothing was changed.
  kConflict = 3,
  kNotFound = 4,
  // The change was accepted, but some daemons did not apply it before the timeout.
  kNotInForce = 5,
};

struct operator_response
{
  // HTTP status; 0 when the daemon could not be reached.
  int status = 0;
  // Null when the response is not JSON.
  common::json body;
  // The body as received.
  std::string text;
  bool Ok() const { return status >= 200 && status < 300; }
};

class operator_client
{
public:
  operator_client(common::endpoint aDaemon, std::string aKey);
  operator_response Call(const std::string& aMethod, const std::string& aTarget,
                         const common::json& aBody = {});
  const common::endpoint& Daemon() const { return mDaemon; }

private:
  common::endpoint mDaemon;
  std::string mKey;
  common::system_clock_source mClock;
  connection::http_client mClient;
};

// Percent-encodes a value for the query of a URI.
std::string EscapeQuery(const std::string& aText);

} // namespace bamboograde::ctl
