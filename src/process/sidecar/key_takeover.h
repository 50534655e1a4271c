// The witness's side of leases, and the takeover of keys whose owner is lost.
//
// A witness at which an owner's lease has lapsed collects the promises of a majority of that
// owner's witnesses never to renew it again, and then gives its keys to others in one conditional
// write.
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
  // Call every few dozen milliseconds.
  void Tick();
  // Answers to other daemons' messages.
  common::json OnRenew(const common::json& aBody);
  common::json OnRevoke(const common::json& aBody);

private:
  // What is known of one claim.
  struct watched_session
  {
    common::boot_time firstSeen;
    common::boot_time nextTry;
  };
  // One try to take a claim's keys over; shared by the callbacks that carry it on.
  struct attempt : public boost::intrusive_ref_counter<attempt, boost::thread_unsafe_counter>
  {
    common::service_name service;
    version::key_owner owner;
    std::set<version::witness_ref> promised;
    bool committed = false;
  };
  using attempt_ptr = boost::intrusive_ptr<attempt>;

  void Consider(const version::key_map& aMap, const version::key_owner& aOwner);
  void Collect(const attempt_ptr& aAttempt);
  void OnPromise(const attempt_ptr& aAttempt, const version::witness_ref& aWitness);
  void Commit(const attempt_ptr& aAttempt);

  runtime& mRuntime;
  connection::platform_store& mStore;
  key_map_editor& mEditor;
  peer_messenger& mMessenger;
  request::placement& mPlacement;
  lease::lease_terms mTerms;
  lease::lease_witness mWitness;
  std::map<common::session_id, watched_session> mSessions;
};

} // namespace bamboograde::process::sidecar
