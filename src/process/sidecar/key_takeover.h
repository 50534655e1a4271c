// Witness side of leases, and takeover of the keys of a lost owner.
//
// When an owner's lease expires at a witness, the witness collects promises from a majority of that
// owner's witnesses never to renew the session, and then assigns its keys to successors in one
// conditional write.
#pragma once

#include "process/lease/lease_witness.h"
#include "process/sidecar/key_map_editor.h"
#include "request/placement.h"
#include "version/key_plan.h"

#include <set>

namespace bamboograde::process::sidecar {

class key_takeover
{
public:
  key_takeover(runtime& aRuntime, connection::platform_store& aStore, key_map_editor& aEditor,
               peer_messenger& aMessenger, request::placement& aPlacement, common::boot_id aBoot);
  // Must be called every few tens of milliseconds.
  void Tick();
  // Handlers of control messages from peers; they return the response.
  common::json OnRenew(const common::json& aBody);
  common::json OnRevoke(const common::json& aBody);

private:
  // An owner's session as seen by this witness.
  struct observed_session
  {
    common::boot_time firstSeen;
    common::boot_time nextTry;
  };
  // One attempt to take over the keys of a session; shared by its pending callbacks.
  struct takeover_attempt
    : public boost::intrusive_ref_counter<takeover_attempt, boost::thread_unsafe_counter>
  {
    common::service_name service;
    version::key_owner owner;
    std::set<version::witness_ref> promised;
    bool committed = false;
  };
  using takeover_attempt_ptr = boost::intrusive_ptr<takeover_attempt>;

  // Whether keys may be given to other owners by this map.
  bool IsSettled(const version::key_map& aMap) const;
  void TryTakeover(const version::key_map& aMap, const version::key_owner& aOwner);
  void RequestPromises(const takeover_attempt_ptr& aTakeover);
  void OnPromise(const takeover_attempt_ptr& aTakeover, const version::witness_ref& aWitness);
  void Commit(const takeover_attempt_ptr& aTakeover);

  runtime& mRuntime;
  connection::platform_store& mStore;
  key_map_editor& mEditor;
  peer_messenger& mMessenger;
  request::placement& mPlacement;
  lease::lease_terms mTerms;
  lease::lease_witness mWitness;
  std::map<common::session_id, observed_session> mSessions;
};

} // namespace bamboograde::process::sidecar
