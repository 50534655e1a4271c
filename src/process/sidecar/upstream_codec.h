// Codec of the messages between the daemon and the local upstream: announcements and grants of
// keys.
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "connection/http/message.h"
#include "version/key_map.h"

#include <optional>

namespace bamboograde::process::sidecar {

// Keys that the upstream has released.
struct released_range
{
  version::key_range range;
  // Opaque value that lets the next owner start with warm state; empty if there is none.
  std::string handover;
};

// What the upstream holds.
struct key_report
{
  // Ranges that the upstream holds or for which it still runs requests.
  std::vector<version::held_range> holds;
  // Ranges released since the last report.
  std::vector<released_range> released;
};

struct announcement : public key_report
{
  version::upstream_id id;
  common::endpoint address;
  common::service_name service;
  unsigned slots = 0;
  bool leaving = false;
  // Start time by the upstream's clock; identifies the incarnation.
  int64_t startedMs = 0;
  // Increases with each announcement of an incarnation.
  uint64_t sequence = 0;
  // Remaining warm-up time after the start, during which the upstream is slow.
  common::milliseconds warmupLeft{ 0 };
};

// All ranges that the upstream holds from now on; others are to be released.
struct grant
{
  std::vector<version::held_range> ranges;
  // Measured by the upstream from when it sent its announcement.
  common::milliseconds holdTime{ 0 };
};

// A call to the upstream about its keys.
struct key_call
{
  connection::http::request_head head;
  std::string body;
};

// The upstream's response to such a call.
struct key_call_answer
{
  enum class outcome
  {
    kDone,
    // The upstream knows a higher fencing token for one of the keys.
    kSuperseded,
    // Not a response to this call.
    kInvalid,
  };
  outcome result = outcome::kInvalid;
  // Of a release.
  std::string handover;
};

enum class upstream_message
{
  kAnnounce,
  // The upstream deregisters, with or without an earlier leaving announcement.
  kDeregister,
  kOther,
};

class upstream_codec
{
public:
  virtual ~upstream_codec() = default;
  virtual upstream_message Classify(const connection::http::request_head& aHead,
                                    version::upstream_id* aId) const = 0;
  // Whether the response to a request for the health path comes from aUpstream and says that it is
  // ready.
  virtual bool ConfirmsReady(const connection::http::response_head& aHead,
                             const version::upstream_id& aUpstream) const = 0;
  // Remaining warm-up time that a response to a request for the health path states; 0 if none.
  virtual common::milliseconds ReadWarmupLeft(
    const connection::http::response_head& aHead) const = 0;
  virtual common::result<announcement> DecodeAnnouncement(const version::upstream_id& aId,
                                                          std::string_view aBody) const = 0;
  // Body of the response to an announcement. Without a grant it does not extend any key.
  virtual std::string EncodeAcknowledgement(const std::optional<grant>& aGrant) const = 0;
  // Calls by which an upstream is granted a range or asked to release it. Upstreams other than
  // aUpstream reject them.
  virtual key_call EncodeGrant(const version::upstream_id& aUpstream,
                               const version::held_range& aRange,
                               common::milliseconds aHoldTime) const = 0;
  virtual key_call EncodeRelease(const version::upstream_id& aUpstream,
                                 const version::held_range& aRange) const = 0;
  virtual key_call_answer ReadGrantAnswer(const connection::http::response_head& aHead) const = 0;
  virtual key_call_answer ReadReleaseAnswer(const connection::http::response_head& aHead) const = 0;
};

} // namespace bamboograde::process::sidecar
