// The keys of the upstream beside this daemon: its claim, its lease, its grants, and moves to
// others.
//
// Keys are granted only while the lease surely lasts, for no longer than it lasts, so that whoever
// takes the keys over after the lease also knows that the upstream has let go of them.
#pragma once

#include "process/lease/lease_holder.h"
#include "process/lease/witness_choice.h"
#include "process/sidecar/key_departures.h"
#include "process/sidecar/key_map_editor.h"
#include "process/sidecar/upstream_gate.h"
#include "version/key_plan.h"

namespace bamboograde::process::sidecar {

constexpr char kArrivingPath[] = "/control/keys/arriving";

// Times of leases and grants, from the period of the upstream's announcements.
lease::lease_terms LeaseTermsFor(common::milliseconds aAnnouncePeriod);
common::milliseconds HoldTimeFor(common::milliseconds aAnnouncePeriod);

class key_holder
{
public:
  key_holder(runtime& aRuntime, key_map_editor& aEditor, peer_messenger& aMessenger,
             upstream_gate& aGate, request::placement& aPlacement, common::boot_id aBoot);

  void OnAnnouncement(const announcement& aAnnouncement);
  // What the upstream is to hold, in answer to an announcement that was heard at the given time;
  // empty when nothing can be promised.
  std::optional<grant> Grant(common::boot_time aHeardAt);
  // Another owner is about to hand keys over to this one: an answer that waits a little can grant
  // them already.
  bool ExpectsKeys() const { return mRuntime.Now() < mArrivalUntil; }
  // The answer to the message of an owner that hands keys over.
  common::json OnArriving();
  // Called when keys have arrived.
  void SetArrivalObserver(std::function<void()> aObserver) { mOnArrival = std::move(aObserver); }
  // The upstream or the daemon stops: everything is handed over.
  void BeginLeaving();
  // Owns no keys any more, or never did.
  bool Empty() const;
  // Call every few dozen milliseconds.
  void Tick();
  void OnKeyMapChanged();

private:
  bool Keyed() const { return mRuntime.fleet.IsKeyed(mGate.Service()); }
  version::key_map_ptr Map() const { return mRuntime.fleet.KeyMap(mGate.Service()); }
  const version::key_owner* Own() const;
  bool Joined() const;
  void Join();
  size_t JoinTurn() const;
  lease::witness_set ChooseWitnesses(const lease::witness_set& aKeep);
  void Renew();
  void OnRenewed(const version::witness_ref& aWitness, const common::session_id& aSession,
                 common::boot_time aSentAt, const common::result<common::json>& aAnswer);
  void ReplaceLostWitnesses();
  // Commits the new witnesses once they vouch for all that the upstream may hold.
  void CommitWitnesses();
  void Divide();
  void Balance();
  std::vector<version::heir> Heirs() const;
  void Depart(const std::vector<version::key_assignment>& aPlan, const char* aCause);
  void CommitDepartures();
  void PublishHeldBack();
  void TellTargets();
  std::vector<version::held_range> Granted() const;

  runtime& mRuntime;
  key_map_editor& mEditor;
  peer_messenger& mMessenger;
  upstream_gate& mGate;
  request::placement& mPlacement;
  common::boot_id mBoot;
  lease::lease_terms mTerms;
  common::milliseconds mHoldTime;
  lease::lease_holder mLease;
  // The upstream with the start of it that is meant.
  version::upstream_id mIncarnation;
  common::session_id mSession;
  key_departures mDepartures;
  bool mLeaving = false;
  // Until when the upstream may hold what was granted to it.
  common::boot_time mGrantEnd;
  common::boot_time mRenewAt;
  common::boot_time mJoinAt;
  common::boot_time mJoinTurnAt;
  common::boot_time mJoinedAt;
  // The change of witnesses that is under way.
  lease::witness_set mNextWitnesses;
  bool mChangeSubmitted = false;
  common::boot_time mChangeUntil;
  common::boot_time mBalanceAt;
  common::boot_time mDecayAt;
  common::boot_time mOwnersChangedAt;
  std::vector<std::string> mKnownOwners;
  // What the last acknowledgement has granted.
  std::vector<version::held_range> mAcknowledged;
  connection::http::loop_timer mKeysTimer;
  common::boot_time mArrivalUntil;
  std::function<void()> mOnArrival;
  // What this daemon owned when the map last changed.
  std::vector<version::held_range> mOwnedRanges;
};

} // namespace bamboograde::process::sidecar
