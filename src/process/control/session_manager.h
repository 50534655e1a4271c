// Manages this daemon's session: joins the service, renews the lease, replaces lost witnesses, and
// acts as a witness of other daemons' sessions.
#pragma once

#include "process/control/row_editor.h"
#include "process/control/table_manager.h"
#include "process/lease/lease_holder.h"
#include "process/lease/lease_witness.h"
#include "process/lease/witness_choice.h"

#include <memory>

namespace bamboograde::process::control {

enum class session_phase
{
  // There is no session.
  kNone,
  kJoining,
  kActive,
  // The lease has expired; the session is being replaced by a new one.
  kReplacing,
  // The session is handing its slices over and accepts no more.
  kLeaving,
};

class session_manager
{
public:
  session_manager(context& aContext, committer& aCommitter, map_gossip& aMap,
                  table_manager& aTable);

  // Called with the current lease end after each renewal.
  void SetLeaseObserver(std::function<void(common::boot_time)> aObserver);
  // Called after the session's id has changed.
  void SetSessionObserver(std::function<void()> aObserver)
  {
    mOnSessionChanged = std::move(aObserver);
  }

  // Starts a session if there is none. Called repeatedly while the upstream accepts requests.
  void Join();
  // Must be called every few dozen milliseconds.
  void Tick();
  // Applies changes that other daemons made to this session's row.
  void OnMapChanged();
  void EditOwnRow(row_edit aEdit) { mEditor.Edit(std::move(aEdit)); }
  // Stops accepting slices. The caller is responsible for moving the session's slices away.
  void BeginLeave() { mPhase = session_phase::kLeaving; }
  // The session's row was released or deleted: no slice is served until the next Join().
  void OnReleased();

  session_phase Phase() const { return mPhase; }
  bool Accepting() const { return mPhase == session_phase::kActive; }
  const common::session_id& Session() const { return mSession; }
  // Null if the row is not known.
  version::session_row_ptr OwnRow() const;
  common::row_version OwnRowVersion() const;
  common::boot_time LeaseEnd() const;
  const lease::witness_set& Witnesses() const { return mHolder.Witnesses(); }
  lease::lease_witness& Witness() { return mWitness; }

  common::json HandleRenew(const common::json& aBody);
  common::json HandleRevoke(const common::json& aBody);
  common::json HandleRelease(const common::json& aBody);

private:
  void StartJoin();
  void CommitJoin(lease::witness_set aWitnesses, bool aServiceIsNew, common::session_id aSession);
  // Replaces the session by a new one that owns the same slices, each at its next epoch.
  void ReplaceSession(version::session_row_ptr aOldRow, common::row_version aOldVersion);
  // Returns to a session whose replacement was not committed.
  void ResumeSession(const common::session_id& aSession);
  // Sends a renewal of the session to every candidate for its witness set, before the set is
  // committed, and reports the candidates that renewed it.
  void RenewWithCandidates(const common::session_id& aSession,
                           const lease::witness_set& aCandidates,
                           std::function<void(lease::witness_set)> aCallback);
  void Activate(const common::session_id& aSession,
                const boost::intrusive_ptr<version::session_row>& aRow,
                common::row_version aVersion);
  boost::intrusive_ptr<version::session_row> MakeRow(const common::session_id& aSession,
                                                     lease::witness_set aWitnesses) const;
  lease::witness_set ChooseWitnessSet(const lease::witness_set& aKeep,
                                      const lease::witness_set& aAvoid);
  void Renew();
  void RenewWith(const version::witness_ref& aWitness);
  void OnRenewReply(const version::witness_ref& aWitness, const common::session_id& aSession,
                    common::boot_time aSentAt, const connection::peer_reply& aReply);
  void MaintainWitnesses();
  void ChangeWitnesses(lease::witness_set aNext);
  void CheckOwnRow();
  void PublishLease();
  void PublishOwnership();

  context& mContext;
  committer& mCommitter;
  map_gossip& mMap;
  table_manager& mTable;
  lease::lease_holder mHolder;
  lease::lease_witness mWitness;
  row_editor mEditor;
  session_phase mPhase = session_phase::kNone;
  common::session_id mSession;
  common::boot_time mNextRenewal;
  common::boot_time mNextMaintenance;
  common::boot_time mNextJoin;
  std::vector<version::owned_slice> mPublishedSlices;
  // Current boot ids of daemons whose rows name an earlier one, as after a restart of all daemons.
  std::map<common::endpoint, common::boot_id> mCurrentBoots;
  // Renewals by the candidates for a new witness set are pending.
  bool mRenewingWithCandidates = false;
  bool mCheckingOwnRow = false;
  std::function<void(common::boot_time)> mOnLeaseRenewed;
  std::function<void()> mOnSessionChanged;
};

} // namespace bamboograde::process::control
