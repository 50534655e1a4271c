// Watches the other owners of the local upstream's service, suspects silent ones in the key map and
// takes over their keys when they can no longer hold them. Also tells until when this daemon's own
// lease is not affected by suspicions, and settles the map after the platform has returned from an
// older copy.
//
// This works without the lost owner's witnesses, which may be lost as well. While they run, the
// takeover by them (key_takeover) is faster.
#pragma once

#include "process/lease/map_settlement.h"
#include "process/lease/retained_keys.h"
#include "process/sidecar/gossip.h"
#include "process/sidecar/key_map_editor.h"
#include "request/placement.h"

namespace bamboograde::process::sidecar {

class owner_watch : private compare_observer
{
public:
  owner_watch(runtime& aRuntime, gossip& aGossip, key_map_editor& aEditor,
              request::placement& aPlacement);
  // This daemon's session as an owner of the service's keys.
  void SetSession(const common::service_name& aService, const common::session_id& aSession);
  // Must be called often.
  void Tick();
  // Keys must not be granted beyond this time.
  common::boot_time LeaseEnd() const { return mLease.End(); }
  // Whether the last messages to the daemon had no response.
  bool IsSilent(const common::endpoint& aControl) const { return mSilent.count(aControl) > 0; }
  // What this daemon retains, which lives as long as this object. A map that lacks it does not
  // confirm this daemon's lease.
  void SetRetained(const lease::retained_keys* aRetained) { mRetained = aRetained; }
  // aMap: an unsettled map in which this daemon retains all of its keys with tokens of earlier
  // eras; the default version if there is none.
  void SetRetainedIn(common::row_version aMap) { mRetainedIn = aMap; }
  // Must be called when a message to the daemon had no response.
  void OnNoResponse(const common::endpoint& aControl);

private:
  // Returns whether it changed the map.
  using owner_edit = std::function<bool(version::key_map&, version::key_owner&)>;
  struct silence
  {
    common::boot_time since;
    unsigned unansweredMessages = 0;
  };
  struct response
  {
    // The session that the daemon had; empty if it had none.
    common::session_id session;
    common::boot_time sentAt;
  };

  // compare_observer
  common::json Report() const override;
  void OnReport(const common::endpoint& aControl, const common::json& aReport,
                common::boot_time aSentAt) override;
  void OnNoReport(const common::endpoint& aControl) override { OnNoResponse(aControl); }

  // Whether this daemon holds, or may turn out to hold, keys that a map of the present era lacks.
  bool IsUnenteredIn(const version::key_map& aMap) const;
  version::key_map_ptr KeyMap() const { return mRuntime.fleet.KeyMap(mService); }
  common::endpoint ControlOf(const std::string& aVm) const;
  // Whether the daemon has this session, as of a response to a message sent after aSince.
  bool HasResponded(const version::key_owner& aOwner, common::boot_time aSince) const;
  bool IsLost(const version::key_owner& aOwner) const;
  void ObserveSuspicions(const version::key_map& aMap);
  std::vector<std::string> PossibleOwners(const version::key_map& aMap);
  void ConfirmLease(const version::key_map& aMap);
  void ProbeOwners(const version::key_map& aMap);
  void WithdrawSuspicions(const version::key_map& aMap);
  void SuspectSilentOwners(const version::key_map& aMap);
  void TakeOver(const version::key_map& aMap);
  void Settle(const version::key_map& aMap);
  // Number of owners before this one, by VM, that are not silent.
  size_t Position(const version::key_map& aMap) const;
  // Edits those of the owners that still have the same session and suspicion in the newest map.
  void Edit(const char* aName, const std::vector<version::key_owner>& aOwners,
            const owner_edit& aEdit);

  runtime& mRuntime;
  gossip& mGossip;
  key_map_editor& mEditor;
  request::placement& mPlacement;
  common::boot_time mStartedAt;
  common::service_name mService;
  common::session_id mSession;
  lease::suspicion_lease mLease;
  lease::suspicion_watch mSuspicions;
  lease::map_settlement mSettlement;
  const lease::retained_keys* mRetained = nullptr;
  common::row_version mRetainedIn;
  common::boot_time mAskRetainersAt;
  // When it is the turn of this daemon to settle the map; unset until the map may be settled.
  std::optional<common::boot_time> mSettleAt;
  common::row_version mObservedMap;
  std::map<common::endpoint, silence> mSilent;
  // The last response of each VM's daemon.
  std::map<std::string, response> mResponses;
  // Since when daemons have been responding without the session that the map names.
  std::map<std::string, common::boot_time> mWithoutSession;
  std::map<std::string, common::boot_time> mStoppingSince;
  // VMs of the owners that were suspected in the last observed map.
  std::set<std::string> mSuspected;
  std::map<std::string, common::boot_time> mSuspectAgainAt;
  common::boot_time mTickAt;
  common::boot_time mProbeAt;
  common::boot_time mSilentProbeAt;
  common::boot_time mAskPeersAt;
  common::boot_time mReadAt;
  common::boot_time mEditAt;
};

} // namespace bamboograde::process::sidecar
