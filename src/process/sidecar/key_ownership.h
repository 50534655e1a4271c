// Owner side of key ownership for the local upstream: its session and lease, which keys are granted
// to it, and hand-offs to other owners. How the upstream is told is up to the grant_channel.
//
// A grant always ends before the lease can have expired, so that a successor that takes the keys
// over after the lease knows that the upstream has released them.
#pragma once

#include "process/lease/lease_holder.h"
#include "process/lease/retained_keys.h"
#include "process/lease/witness_choice.h"
#include "process/sidecar/grant_channel.h"
#include "process/sidecar/key_handoffs.h"
#include "process/sidecar/key_map_editor.h"
#include "process/sidecar/owner_watch.h"
#include "process/sidecar/upstream_gate.h"
#include "version/key_plan.h"

#include <memory>

namespace bamboograde::process::sidecar {

constexpr char kHandoffNoticePath[] = "/control/keys/arriving";

// Lease terms and longest grant, derived from the period of the upstream's announcements.
lease::lease_terms LeaseTermsFor(common::milliseconds aAnnouncePeriod);
common::milliseconds HoldTimeFor(common::milliseconds aAnnouncePeriod);

class key_ownership : private key_grantor
{
public:
  key_ownership(runtime& aRuntime, const upstream_codec& aCodec, key_map_editor& aEditor,
                peer_messenger& aMessenger, upstream_gate& aGate, request::placement& aPlacement,
                owner_watch& aOwners, common::boot_id aBoot);

  void OnAnnouncement(const announcement& aAnnouncement);
  // The grant that answers an announcement received at aHeardAt; empty when there is no session,
  // too little of the lease remains or keys are not granted in responses.
  std::optional<grant> Grant(common::boot_time aHeardAt);
  // Whether another owner has announced a hand-off to this daemon. A response to an announcement
  // may be deferred to include these keys.
  bool ExpectsKeys() const
  {
    return mChannel->GrantsInResponses() && mRuntime.Now() < mIncomingHandoffUntil;
  }
  // Handles the notice of an owner that is about to hand keys off to this daemon.
  common::json OnHandoffNotice();
  // The observer is called when the ranges that this daemon owns change while ExpectsKeys().
  void SetKeysReceivedObserver(std::function<void()> aObserver)
  {
    mOnKeysReceived = std::move(aObserver);
  }
  // Hands all keys off because the upstream or the daemon stops.
  void HandOffAllKeys();
  // Hands all keys off until the next announcement of the upstream.
  void OnUpstreamSilent();
  // Number of keys that this daemon owns.
  size_t KeyCount() const;
  // Whether this daemon owns no keys.
  bool Empty() const;
  // Must be called every few tens of milliseconds.
  void Tick();
  void OnKeyMapChanged();
  // Must be called when the platform has returned from an older copy, before anything of the new
  // era is applied.
  void OnPlatformReturned(common::store_era aFormer);

private:
  // key_grantor
  bool HasSession() const override;
  std::vector<version::held_range> GrantableRanges() const override;
  common::boot_time LeaseEnd() const override
  {
    return std::min(mLease.LeaseEnd(), mOwners.LeaseEnd());
  }
  void OnOthersExcluded() override;
  void OnReport(const key_report& aReport) override;

  // Whether the upstream is to own no keys now: it leaves, is silent or in an evacuated zone.
  bool MustOwnNoKeys() const;
  bool MayStartSession() const;
  void HandOffNow();
  bool ServiceIsKeyed() const { return mRuntime.fleet.IsKeyed(mGate.Service()); }
  version::key_map_ptr KeyMap() const { return mRuntime.fleet.KeyMap(mGate.Service()); }
  const version::key_owner* OwnEntry() const;
  // The own entry with those ranges only that may be granted, including ranges in hand-off.
  version::key_owner GrantableEntry(common::store_era aEra) const;
  version::key_owner GrantableEntry() const
  {
    return GrantableEntry(mRuntime.fleet.Era().value_or(common::store_era()));
  }
  void StartSession();
  bool OthersCanServe() const;
  size_t SessionStartPosition() const;
  lease::witness_set ChooseWitnesses(const lease::witness_set& aKeep);
  void Renew();
  void OnRenewed(const version::witness_ref& aWitness, const common::session_id& aSession,
                 common::boot_time aSentAt, const common::result<common::json>& aResponse);
  void ReplaceLostWitnesses();
  // Ends submissions whose fate a later map shows.
  void ResolveSubmissions(const version::key_map& aMap);
  // Commits the new witness set once its lease covers every grant that the upstream may still hold.
  void CommitWitnessChange();
  // Enters what this daemon retains into the key map.
  void ClaimRetained();
  // Takes keys that this daemon owns by the key map, but did not retain, with new tokens.
  void TakeUnretained();
  void ReportRetained();
  void LogRetained();
  void AssignUnownedKeys();
  void Rebalance();
  std::vector<version::successor> Successors() const;
  void StartHandoff(const std::vector<version::key_assignment>& aPlan, const char* aCause);
  void CommitHandoffs();
  // The first commit of hand-offs has ended after a return of the platform. aNotPerformed: it was
  // not performed before the return.
  void OnHandoffsDecided(bool aNotPerformed);
  void UpdatePausedKeys();
  void NotifyTargets();

  runtime& mRuntime;
  key_map_editor& mEditor;
  peer_messenger& mMessenger;
  upstream_gate& mGate;
  request::placement& mPlacement;
  owner_watch& mOwners;
  common::boot_id mBoot;
  lease::lease_terms mTerms;
  lease::lease_holder mLease;
  std::unique_ptr<grant_channel> mChannel;
  // The upstream id with the start time of its current incarnation.
  version::upstream_id mIncarnation;
  common::session_id mSession;
  // Replaces the own entry in the key map until a map of the present era has it.
  lease::retained_keys mRetained;
  common::boot_time mClaimAt;
  key_handoffs mHandoffs;
  // A commit of the hand-offs was submitted and may have been performed. A map after
  // mHandoffsBase shows whether it was.
  bool mHandoffsSubmitted = false;
  common::row_version mHandoffsBase;
  // That commit was the first one of these hand-offs, and its outcome is to come.
  bool mFirstHandoffsOpen = false;
  // The upstream or the daemon stops.
  bool mLeaving = false;
  bool mUpstreamSilent = false;
  common::boot_time mRenewAt;
  // Neither a session nor a change of witnesses is started before this time.
  common::boot_time mSessionStartAt;
  // When it is the turn of this daemon to start a session, by SessionStartPosition(). Unset until
  // the incarnation can start one.
  common::boot_time mSessionTurnAt;
  common::boot_time mSessionStartedAt;
  // A new session was submitted. The map may name it, with other witnesses, before this daemon
  // hears of that, so the lease of the present one is not renewed until a map shows what became of
  // it.
  bool mNextSessionSubmitted = false;
  // The map that the submission changes. A later one shows whether the submission was performed.
  common::row_version mNextSessionBase;
  // The pending change of the witness set.
  lease::witness_set mNextWitnesses;
  bool mWitnessChangeSubmitted = false;
  common::row_version mWitnessChangeBase;
  common::boot_time mWitnessChangeDeadline;
  common::boot_time mRebalanceAt;
  common::boot_time mLoadDecayAt;
  common::boot_time mOwnersChangedAt;
  std::vector<std::string> mKnownOwners;
  common::boot_time mIncomingHandoffUntil;
  std::function<void()> mOnKeysReceived;
  // Ranges that this daemon owned when the key map last changed.
  std::vector<version::held_range> mOwnedRanges;
};

} // namespace bamboograde::process::sidecar
