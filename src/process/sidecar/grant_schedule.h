// Decides which calls tell an upstream the keys that it holds, and knows until when it may hold
// them. For upstreams that are granted keys by calls instead of in responses to announcements.
//
// The upstream measures a grant's hold time from the arrival of the call, which lies between its
// sending and its end. A grant without a response may be applied later than that, also after a
// release, but its hold time still runs from the arrival. Its keys count as held until the hold
// time after the end of the call has passed. Does no I/O.
#pragma once

#include "common/clock.h"
#include "process/sidecar/grant_channel.h"

#include <map>
#include <optional>
#include <vector>

namespace bamboograde::process::sidecar {

using grant_call_id = common::number_id<struct grant_call_tag>;

struct grant_call
{
  enum class kind
  {
    // Grants the range, or renews its grant.
    kGrant,
    // Takes the range back; the response comes when its running requests have ended.
    kRelease,
  };

  grant_call_id id;
  kind purpose = kind::kGrant;
  version::held_range range;
  // Of a grant.
  common::milliseconds holdTime{ 0 };
  // Without a response, the caller must close the connection by then.
  common::boot_time deadline;
};

enum class grant_call_result
{
  // The upstream has applied the grant or released the keys.
  kDone,
  // The upstream knows a higher fencing token for one of the keys; nothing was applied.
  kSuperseded,
  // No part of the call was sent.
  kNotSent,
  // There was no usable response; the call may still be applied.
  kUnknown,
};

class grant_schedule
{
public:
  // aHoldTime: hold time of each grant, if the lease is long enough.
  explicit grant_schedule(common::milliseconds aHoldTime);

  // A new incarnation of the upstream; it holds nothing, unless it may hold grants of an earlier
  // process of this daemon until aInheritedUntil.
  void OnStarted(common::boot_time aInheritedUntil);
  // Shows that the upstream is running. Without announcements no key is granted.
  void OnAnnouncement(common::boot_time aNow);
  // The upstream has ended a connection, so its process may have ended. No key is granted until its
  // next announcement.
  void OnDisconnected() { mDisconnected = true; }
  // Calls that are due. aRanges: ranges that the upstream shall hold; the others are released.
  // aLeaseEnd: no grant may be in use after this time.
  std::vector<grant_call> Due(const std::vector<version::held_range>& aRanges,
                              common::boot_time aLeaseEnd, common::boot_time aNow);
  // Must be called once for each call that Due() has returned. aHandover: of a release that is
  // done.
  void OnResult(grant_call_id aCall, grant_call_result aResult, const std::string& aHandover,
                common::boot_time aNow);

  // Ranges that the upstream holds now, and until when it certainly holds all of them.
  std::vector<version::held_range> Held(common::boot_time aNow, common::boot_time* aUntil) const;
  // Whether the upstream may hold the key.
  bool MayHold(uint32_t aKey, common::boot_time aNow) const;
  // Ranges that the upstream may hold, and those released since the last call.
  key_report TakeReport(common::boot_time aNow);
  // When all grants will have ended.
  common::boot_time GrantEnd(common::boot_time aNow) const;

private:
  // A range that the upstream shall hold.
  struct target
  {
    version::held_range held;
    common::boot_time heldUntil;
    common::boot_time callAt;
  };
  // A grant that the upstream may have applied.
  struct exposure
  {
    version::key_range range;
    version::fencing_token token;
    // Upper bound of the grant's end.
    common::boot_time until;
    grant_call_id call;
    // The response has confirmed it, so it is not applied later than a release.
    bool confirmed = false;
    // A release has been answered, or is not possible.
    bool released = false;
  };
  struct pending_call
  {
    grant_call call;
    common::boot_time sentAt;
  };

  void SetTargets(const std::vector<version::held_range>& aRanges);
  target MakeTarget(const version::held_range& aRange) const;
  void DropExpired(common::boot_time aNow);
  // Whether a pending call conflicts with one of this kind for the range: a release with any call
  // for one of its keys, a grant with a release or with a grant of the same range.
  bool IsBusy(const version::key_range& aRange, grant_call::kind aPurpose) const;
  bool MayGrant(common::boot_time aNow) const;
  void AddGrants(common::boot_time aLeaseEnd, common::boot_time aNow,
                 std::vector<grant_call>* aCalls);
  void AddReleases(common::boot_time aNow, std::vector<grant_call>* aCalls);
  std::vector<version::held_range> RangesToRelease() const;
  grant_call& Add(const grant_call& aCall, common::boot_time aNow, std::vector<grant_call>* aCalls);
  void OnGrantResult(const pending_call& aCall, grant_call_result aResult, common::boot_time aNow);
  void OnGranted(const pending_call& aCall, common::boot_time aNow);
  void OnReleased(const version::held_range& aRange, const std::string& aHandover);
  common::boot_time EndOfGrant(common::milliseconds aHoldTime, common::boot_time aArrivedBy) const;

  common::milliseconds mHoldTime;
  std::vector<target> mTargets;
  std::vector<exposure> mExposures;
  std::map<grant_call_id, pending_call> mPending;
  std::vector<released_range> mReleased;
  grant_call_id mLastCall;
  common::boot_time mReleaseAt;
  common::boot_time mHeardAt;
  // A connection broke after the last announcement.
  bool mDisconnected = false;
};

} // namespace bamboograde::process::sidecar
