// How the upstream beside the daemon announces itself and learns which keys it holds.
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "connection/http/message.h"
#include "version/key_map.h"

#include <optional>

namespace bamboograde::process::sidecar {

// Keys that the upstream has let go of.
struct released_range
{
  version::key_range range;
  // Lets the next holder begin warm; empty when there is nothing to hand over.
  std::string handover;
};

struct announcement
{
  version::upstream_id id;
  common::endpoint address;
  common::service_name service;
  unsigned slots = 0;
  bool leaving = false;
  // When this start of the upstream began, by its clock; tells one start from another.
  int64_t startedMs = 0;
  // Rises with each announcement of one start.
  uint64_t sequence = 0;
  // For how much longer the upstream is slow after its start.
  common::milliseconds coldLeft{ 0 };
  // Ranges that the upstream holds or still works on.
  std::vector<version::held_range> holds;
  std::vector<released_range> released;
};

// Everything that the upstream is to hold from now on.
struct grant
{
  std::vector<version::held_range> ranges;
  // Counted by the upstream from when it sent its announcement.
  common::milliseconds holdTime{ 0 };
};

enum class upstream_message
{
  kAnnounce,
  // The upstream leaves, with or without having said so before.
  kGoodbye,
  kOther,
};

class upstream_codec
{
public:
  virtual ~upstream_codec() = default;
  virtual upstream_message Classify(const connection::http::request_head& aHead,
                                    version::upstream_id* aId) const = 0;
  virtual common::result<announcement> DecodeAnnouncement(const version::upstream_id& aId,
                                                          std::string_view aBody) const = 0;
  // The body of an acknowledgement. Without a grant it renews nothing.
  virtual std::string EncodeAcknowledgement(const std::optional<grant>& aGrant) const = 0;
};

} // namespace bamboograde::process::sidecar
