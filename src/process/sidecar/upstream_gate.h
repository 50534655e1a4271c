// Admission gate of the local upstream; every request to it passes here.
//
// Tracks which requests the upstream runs, which keys it holds until when, and whether it is
// leaving.
#pragma once

#include "process/sidecar/runtime.h"
#include "process/sidecar/upstream_codec.h"
#include "request/admission.h"
#include "request/attempt.h"
#include "request/cold_start.h"
#include "request/suspect_list.h"
#include "request/upstream_notice.h"
#include "version/key_load.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

// Receives the gate's decision on one request.
class gate_client
{
public:
  virtual ~gate_client() = default;
  // The request may be sent to the upstream now. The slot is occupied until Finish().
  virtual void OnAdmitted() = 0;
  // An admitted request must not be sent from aTime on, unless a part of it was sent before.
  virtual void OnClosing(common::boot_time aTime) = 0;
  // The request is not admitted; no part of it was sent.
  virtual void OnAdmissionRefused(const request::attempt_refusal& aRefusal) = 0;
};

// Outcome of a request that was admitted to the upstream.
enum class upstream_outcome
{
  kServed,
  // The upstream ran the request and returned an error.
  kFailed,
  // The upstream reported that it did not run the request.
  kNotRun,
  // The connection closed before the response.
  kBroken,
  // The upstream refused the connection, so its process has ended.
  kRefused,
  // Cancelled by this daemon, or the request could not be sent.
  kCancelled,
};

class upstream_gate
{
public:
  // Stops sending this long before the drain time ends, so that requests in flight still arrive in
  // time.
  static constexpr common::milliseconds kDrainMargin{ 200 };

  upstream_gate(runtime& aRuntime, request::suspect_list& aSuspects);
  // The observer is called when the upstream says in a response that it leaves.
  void SetLeavingObserver(std::function<void()> aObserver) { mOnLeaving = std::move(aObserver); }

  // A new incarnation of the upstream has announced itself; it gets requests after
  // OnUpstreamReady().
  void OnUpstreamStarted(const announcement& aAnnouncement);
  void OnUpstreamReady(const announcement& aAnnouncement);
  // Admits no more requests and refuses the waiting ones. For a keyed service, requests go on until
  // the end of the drain time.
  void OnUpstreamLeaving();
  void OnUpstreamLost();
  // The upstream may have become cold since its last announcement: it gets only as many requests as
  // a cold one tolerates, until an announcement that arrives more than one period later
  // denies it.
  void AssumeCold();
  // The availability zone is evacuated. Requests with a key go on until their keys are handed off,
  // or half of the time that the evacuation may take has passed. aNotRequestedAt: the last time at
  // which the evacuation is known not to have been requested.
  void OnEvacuationStarted(common::boot_time aNotRequestedAt);
  // The upstream gets requests again, as if it was cold.
  void OnEvacuationEnded();
  // The daemon stops: from aTime on, no request is sent to any incarnation of the upstream. Before,
  // a request is sent only if it can end until aExit.
  void StopAt(common::boot_time aTime, common::boot_time aExit);
  // From when on no request is sent to this incarnation of the upstream.
  common::boot_time ClosesAt() const { return std::min({ mDrainedAt, mStopAt, mEvacuatedAt }); }

  // Sets the keys that the upstream holds until aUntil; replaces the previous ones.
  void SetKeys(std::vector<version::held_range> aRanges, common::boot_time aUntil);
  // Pauses these keys: their requests wait until the hand-off ends.
  void PauseKeys(std::vector<version::key_range> aRanges);

  // Calls the client exactly once, immediately or later, unless it withdraws before.
  void Submit(const request::request_facts& aFacts, gate_client* aClient);
  void Withdraw(gate_client* aClient);
  // A response of the upstream to an admitted client has arrived. A notice from before a new
  // incarnation has no effect.
  void OnNotice(gate_client* aClient, const request::upstream_notice& aNotice);
  // Frees the slot of an admitted client.
  void Finish(gate_client* aClient, upstream_outcome aOutcome);

  bool Ready() const { return mReady; }
  // Whether the upstream may have become cold since its last announcement.
  bool AssumedCold() const { return mColdStart.Assumed(); }
  // Whether the upstream gets only as many requests as a cold one tolerates.
  bool Cold() const { return mColdStart.Limit(mRuntime.Now()).has_value(); }
  const version::upstream_id& Upstream() const { return mUpstream; }
  const common::service_name& Service() const { return mService; }
  const common::endpoint& Address() const { return mRuntime.settings.upstream; }
  request::load_report Load() const;
  // How many times as long as usual work takes at the upstream, from its recent reports.
  double Slowdown() const { return mAdmission.Speed().Slowdown(mRuntime.Now()); }
  // The requests per second that the upstream has named in its last response.
  std::optional<request::request_rate> NamedLimit() const
  {
    return mNotice.has_value() ? mNotice->limit : std::nullopt;
  }
  // Recent requests per key.
  version::key_load& KeyLoad() { return mKeyLoad; }
  // Running and waiting requests per slot, as a moving average.
  double Utilization() const { return mUtilization; }
  size_t Running() const { return mAdmission.Running(); }
  unsigned Slots() const { return mAdmission.Slots(); }
  request::suspect_list& Suspects() { return mSuspects; }
  // Must be called every few tens of milliseconds.
  void Tick();

private:
  struct admission_entry
  {
    gate_client* client = nullptr;
    request::request_facts facts;
    request::admission_id id = 0;
    bool admitted = false;
    common::boot_time admittedAt;
    // Runs as the trial of a crash suspect.
    bool onTrial = false;
    // Incarnation of the upstream to which it was admitted.
    version::upstream_incarnation incarnation;
  };
  // A request whose connection broke.
  struct broken_request
  {
    uint64_t fingerprint = 0;
    version::upstream_incarnation incarnation;
    common::boot_time at;
  };
  // A request that waits until its key is granted here or moved to another owner.
  struct parked_request
  {
    gate_client* client = nullptr;
    request::request_facts facts;
    common::boot_time until;
  };
  enum class key_status
  {
    // Granted to the upstream.
    kHeld,
    // Owned by this daemon, but paused or not granted to the upstream.
    kPending,
    kNotOwned,
  };

  bool Closed() const { return mRuntime.Now() >= ClosesAt(); }
  bool EndsBeforeExit(const request::request_facts& aFacts) const;
  // Sets one of the closing times, unless it is set to an earlier time.
  void Close(common::boot_time* aClosingTime, common::boot_time aTime);
  key_status StatusOf(uint32_t aKey) const;
  bool OwnedHere(uint32_t aKey) const;
  void Admit(const request::request_facts& aFacts, gate_client* aClient);
  void Refuse(gate_client* aClient, request::attempt_refusal_reason aReason,
              common::microseconds aRetryAfter = common::microseconds(0),
              common::microseconds aCompletion = common::microseconds(0));
  // Takes over a limit that another daemon knows from a response, until the first response here.
  void AdoptLimit(const request::request_facts& aFacts);
  // Applies the lower one of the limit that the upstream names and the limit of a cold upstream.
  void UpdateRateLimit();
  // Whether so many connections have broken at once that the upstream has probably restarted.
  bool RestartIsLikely() const;
  void NotifyAdmitted(admission_entry& aEntry);
  void StartNext();
  void RetryParked();
  void RefuseWaiting(request::attempt_refusal_reason aReason);
  void RefuseQueued(const std::vector<request::admission_id>& aIds,
                    request::attempt_refusal_reason aReason);
  parked_request TakeParked();
  // Marks requests whose connection broke recently as suspects of a crash of the upstream.
  void MarkCrashSuspects();
  // Whether the request is a crash suspect that may not even run as a trial now.
  bool RefusedAsSuspect(const request::request_facts& aFacts) const;
  void NoteOutcome(const admission_entry& aEntry, upstream_outcome aOutcome);

  runtime& mRuntime;
  common::boot_time mCreatedAt;
  request::suspect_list& mSuspects;
  request::admission mAdmission;
  version::upstream_id mUpstream;
  common::service_name mService;
  version::upstream_incarnation mUpstreamIncarnation;
  // Of the last response of the current incarnation; empty before the first one.
  std::optional<request::upstream_notice> mNotice;
  // The limit in the last response, or the one that another daemon knows from an earlier response.
  std::optional<request::request_rate> mNamedLimit;
  request::cold_start mColdStart;
  std::function<void()> mOnLeaving;
  bool mReady = false;
  // End of the drain time of the current incarnation.
  common::boot_time mDrainedAt = common::boot_time::max();
  common::boot_time mStopAt = common::boot_time::max();
  // From when on the upstream gets no requests with a key because of an evacuation.
  common::boot_time mEvacuatedAt = common::boot_time::max();
  // When the stopping daemon exits, even with requests in flight.
  common::boot_time mExitAt = common::boot_time::max();
  std::vector<version::held_range> mKeys;
  common::boot_time mKeysUntil;
  std::vector<version::key_range> mPausedKeys;
  std::map<request::admission_id, admission_entry> mEntries;
  std::map<gate_client*, request::admission_id> mIdsByClient;
  std::vector<parked_request> mParked;
  // Since the upstream was last known to be running.
  std::vector<broken_request> mBrokenRequests;
  version::key_load mKeyLoad;
  double mUtilization = 0;
};

} // namespace bamboograde::process::sidecar
