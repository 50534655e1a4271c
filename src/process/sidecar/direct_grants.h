// Grants keys by calls to the upstream, at the times that a grant_schedule decides.
#pragma once

#include "process/sidecar/grant_channel.h"
#include "process/sidecar/grant_schedule.h"
#include "process/sidecar/upstream_gate.h"

#include <memory>

namespace bamboograde::process::sidecar {

class direct_grants : public grant_channel
{
public:
  direct_grants(runtime& aRuntime, const upstream_codec& aCodec, upstream_gate& aGate,
                key_grantor& aGrantor, common::milliseconds aHoldTime);
  ~direct_grants() override;

  void OnStarted(bool aMayHoldKeys) override;
  void OnAnnouncement(const announcement& aAnnouncement) override;
  bool GrantsInResponses() const override { return false; }
  std::optional<grant> Respond(common::boot_time /*aHeardAt*/) override { return std::nullopt; }
  void Update() override;
  common::boot_time GrantEnd() const override { return mSchedule.GrantEnd(mRuntime.Now()); }

private:
  class key_exchange;

  void Send(const grant_call& aCall);
  void OnResult(const grant_call& aCall, grant_call_result aResult, const std::string& aHandover,
                const char* aReason);
  void UpdateGate();
  void ReportChanges();

  runtime& mRuntime;
  const upstream_codec& mCodec;
  upstream_gate& mGate;
  key_grantor& mGrantor;
  common::milliseconds mHoldTime;
  grant_schedule mSchedule;
  // Apart from the connections for requests, so that responses to these can not be mistaken for
  // responses to calls about keys.
  connection::http::client_pool mPool;
  std::map<grant_call_id, std::unique_ptr<key_exchange>> mExchanges;
  // Keys and time that the gate knows.
  std::vector<version::held_range> mGateRanges;
  common::boot_time mGateUntil;
  bool mUpdating = false;
};

} // namespace bamboograde::process::sidecar
