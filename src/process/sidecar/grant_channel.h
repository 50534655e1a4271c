// How the local upstream learns which keys it holds. The owner decides which keys it grants, and a
// channel decides when and how the upstream is told.
#pragma once

#include "process/sidecar/upstream_codec.h"

#include <optional>

namespace bamboograde::process::sidecar {

// Maximum relative drift between the upstream's clock and this daemon's.
constexpr double kMaxClockDrift = 0.02;
// Shorter grants are withheld.
constexpr common::milliseconds kMinHoldTime{ 100 };

// What the owner of the keys offers to a channel.
class key_grantor
{
public:
  virtual ~key_grantor() = default;
  // Whether there is a session, without which nothing is granted or released.
  virtual bool HasSession() const = 0;
  // Ranges that the upstream shall hold from now on.
  virtual std::vector<version::held_range> GrantableRanges() const = 0;
  // No grant may be in use after this time.
  virtual common::boot_time LeaseEnd() const = 0;
  // The upstream is told to stop running requests for all other ranges.
  virtual void OnOthersExcluded() = 0;
  // The channel has learned what the upstream holds.
  virtual void OnReport(const key_report& aReport) = 0;
};

class grant_channel
{
public:
  virtual ~grant_channel() = default;

  // A new incarnation of the upstream. It holds nothing, unless aMayHoldKeys: an earlier process of
  // this daemon may have granted it keys.
  virtual void OnStarted(bool aMayHoldKeys) = 0;
  // Must be called for each announcement, after OnStarted().
  virtual void OnAnnouncement(const announcement& aAnnouncement) = 0;
  // Whether the response to an announcement grants keys.
  virtual bool GrantsInResponses() const = 0;
  // The grant that answers an announcement received at aHeardAt; empty if none is possible or
  // needed.
  virtual std::optional<grant> Respond(common::boot_time aHeardAt) = 0;
  // Must be called every few tens of milliseconds, and when GrantableRanges() has changed.
  virtual void Update() = 0;
  // Latest time at which the upstream may still hold granted keys.
  virtual common::boot_time GrantEnd() const = 0;
};

} // namespace bamboograde::process::sidecar
