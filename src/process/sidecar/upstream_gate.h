// The gate of the upstream beside this daemon: the only way to it.
//
// Knows exactly what the upstream is running, which keys it holds and until when, and whether it
// leaves.
#pragma once

#include "process/sidecar/runtime.h"
#include "process/sidecar/upstream_codec.h"
#include "request/admission.h"
#include "request/attempt.h"
#include "request/suspect_list.h"
#include "version/key_load.h"

namespace bamboograde::process::sidecar {

// Waits at the gate for its turn.
class gate_client
{
public:
  virtual ~gate_client() = default;
  // The request may be sent to the upstream now; the slot is held until Finish().
  virtual void OnAdmitted() = 0;
  // The request will not be admitted. Nothing of it was sent.
  virtual void OnTurnedAway(const request::attempt_refusal& aRefusal) = 0;
};

// How a request that was sent to the upstream ended.
enum class upstream_outcome
{
  kServed,
  // The upstream ran it and failed it.
  kFailed,
  // The upstream said that it did not run it.
  kNotRun,
  // No answer, because the connection broke.
  kBroken,
  // The upstream accepts no connection: its process has ended.
  kRefused,
  // Given up by this side.
  kCancelled,
};

class upstream_gate
{
public:
  upstream_gate(runtime& aRuntime, request::suspect_list& aSuspects);

  // A new start of the upstream has announced itself.
  void OnUpstreamStarted(const announcement& aAnnouncement);
  void OnUpstreamUpdated(const announcement& aAnnouncement);
  // Takes no more work; what waits is turned away.
  void OnUpstreamLeaving();
  void OnUpstreamGone();
  // Nothing is sent to this start of the upstream from then on.
  void CloseAt(common::boot_time aTime);

  // Keys that the upstream holds until the given time. Replaces the former ones.
  void SetKeys(std::vector<version::held_range> aRanges, common::boot_time aUntil);
  // Requests for these keys wait until they are released or given back.
  void HoldBack(std::vector<version::key_range> aRanges);

  // Exactly one call to the client follows, at once or later, unless the client leaves before.
  void Enter(const request::request_facts& aFacts, gate_client* aClient);
  void Leave(gate_client* aClient);
  // Frees the slot of an admitted client.
  void Finish(gate_client* aClient, upstream_outcome aOutcome);

  bool Ready() const { return mReady; }
  const version::upstream_id& Upstream() const { return mUpstream; }
  const common::service_name& Service() const { return mService; }
  const common::endpoint& Address() const { return mRuntime.settings.upstream; }
  request::load_report Load() const;
  // Recent requests per key.
  version::key_load& KeyLoad() { return mKeyLoad; }
  // Share of the slots that were in use or asked for, over about a second.
  double Utilization() const { return mUtilization; }
  unsigned Slots() const { return mAdmission.Slots(); }
  request::suspect_list& Suspects() { return mSuspects; }
  // Call every few dozen milliseconds.
  void Tick();

private:
  struct visitor
  {
    gate_client* client = nullptr;
    request::request_facts facts;
    request::ticket_number ticket = 0;
    bool admitted = false;
  };
  // Waits for its key to be granted here, or moved elsewhere.
  struct parked
  {
    gate_client* client = nullptr;
    request::request_facts facts;
    common::boot_time until;
  };
  enum class key_answer
  {
    kHere,
    kSoon,
    kElsewhere,
  };

  bool Closed() const { return mRuntime.Now() >= mCloseAt; }
  key_answer LookUp(uint32_t aKey) const;
  bool OwnedHere(uint32_t aKey) const;
  void Admit(const request::request_facts& aFacts, gate_client* aClient);
  void TurnAway(gate_client* aClient, request::refusal_reason aReason,
                common::microseconds aRetryAfter = common::microseconds(0));
  void StartNext();
  void RetryParked();
  void TurnAwayWaiting(request::refusal_reason aReason);
  // The upstream has crashed: what broke off since it was last heard of becomes suspect.
  void OnCrash();

  runtime& mRuntime;
  request::suspect_list& mSuspects;
  request::admission mAdmission;
  version::upstream_id mUpstream;
  common::service_name mService;
  bool mReady = false;
  common::boot_time mCloseAt = common::boot_time::max();
  std::vector<version::held_range> mKeys;
  common::boot_time mKeysUntil;
  std::vector<version::key_range> mHeldBack;
  std::map<request::ticket_number, visitor> mVisitors;
  std::map<gate_client*, request::ticket_number> mTickets;
  std::vector<parked> mParked;
  // Requests that broke off since the upstream was last heard of.
  std::vector<uint64_t> mBrokenOff;
  version::key_load mKeyLoad;
  double mUtilization = 0;
};

} // namespace bamboograde::process::sidecar
