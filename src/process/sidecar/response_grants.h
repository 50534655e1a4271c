// Grants keys in the responses to the upstream's announcements, which also report what it holds.
#pragma once

#include "process/sidecar/grant_channel.h"
#include "process/sidecar/upstream_gate.h"

namespace bamboograde::process::sidecar {

class response_grants : public grant_channel
{
public:
  response_grants(runtime& aRuntime, upstream_gate& aGate, key_grantor& aGrantor,
                  common::milliseconds aHoldTime);

  void OnStarted(bool aMayHoldKeys) override;
  void OnAnnouncement(const announcement& aAnnouncement) override;
  bool GrantsInResponses() const override { return true; }
  std::optional<grant> Respond(common::boot_time aHeardAt) override;
  void Update() override {}
  common::boot_time GrantEnd() const override { return mGrantEnd; }

private:
  runtime& mRuntime;
  upstream_gate& mGate;
  key_grantor& mGrantor;
  common::milliseconds mHoldTime;
  common::boot_time mGrantEnd;
  // Ranges in the last grant.
  std::vector<version::held_range> mGrantedRanges;
  connection::http::loop_timer mGateUpdateTimer;
};

} // namespace bamboograde::process::sidecar
