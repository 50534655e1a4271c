// Test fixture: a gate with a table, one owned slice and an open upstream.
#pragma once

#include "request/gate.h"
#include "version/table_rows.h"

namespace bamboograde::tests {

class gate_fixture
{
public:
  explicit gate_fixture(request::gate_settings aSettings = {}, size_t aSlots = 2);

  request::gate& Gate() { return mGate; }
  common::boot_time Now() const { return mNow; }
  void Advance(common::milliseconds aTime) { mNow += aTime; }
  // Sets the lease to end after this time.
  void RenewLease(common::milliseconds aTime) { mGate.SetLease(mNow + aTime); }
  request::request_token Submit(uint64_t aFingerprint = 0, const std::string& aTicket = "",
                                const std::string& aAttempt = "");
  void Finish(request::request_token aToken, request::dispatch_result aResult);
  std::string IssueTicket();

  // Name of the newest event of a request: "dispatch", "deliver", "replay", or the reason of a
  // refusal; empty before the first event.
  std::string Outcome(request::request_token aToken);
  // Whether the gate has asked for a probe, or reported the loss of the upstream, since the last
  // call.
  bool SawProbe();
  bool SawLoss();

  static constexpr uint64_t kWholeSpace = UINT64_MAX;
  version::owned_slice slice{ { common::key_hash(0), common::key_hash(kWholeSpace) },
                              common::slice_epoch(1) };

private:
  void TakeEvents();

  request::gate mGate;
  common::boot_time mNow = common::FromMicros(1000000000);
  uint64_t mNextToken = 1;
  std::map<request::request_token, std::string> mOutcomes;
  bool mSawProbe = false;
  bool mSawLoss = false;
};

} // namespace bamboograde::tests
