// The sidecar daemon: entry point for callers on its VM, admission gate of the local upstream, and
// member of the fleet.
#pragma once

#include "process/sidecar/entry_request.h"
#include "process/sidecar/forwarded_request.h"
#include "process/sidecar/key_map_restorer.h"
#include "process/sidecar/key_takeover.h"
#include "process/sidecar/platform_fleet_sync.h"
#include "process/sidecar/upstream_registry.h"

#include "connection/row_feed.h"

#include <memory>

namespace bamboograde::process::sidecar {

// Platform-specific dependencies of the daemon, chosen at startup.
struct sidecar_ports
{
  const request::header_translator& headers;
  const upstream_codec& upstream;
  connection::platform_store& store;
  // The operator's configuration.
  connection::row_feed& configuration;
};

class sidecar : private fleet_observer
{
public:
  sidecar(const sidecar_settings& aSettings, connection::http::event_loop& aLoop,
          connection::http::client_pool& aPool, const version::config_decoder& aDecoder,
          const sidecar_ports& aPorts);
  ~sidecar() override;

  // Opens the listeners and starts the daemon. The error names the listener that failed.
  common::result<void> Start();
  // Finishes requests in flight, hands the keys off and quits the event loop before the grace time
  // ends.
  void Stop();
  // Applies the settings that may change at run time: bounds and seeds.
  void Reload(const sidecar_settings& aSettings);

private:
  class caller_listener;
  class forward_listener;
  class control_listener;
  class readiness_listener;

  void OnMemberChanged(const version::member& aMember) override;
  void OnKeyMapChanged(const common::service_name& aService) override;
  void OnEvacuationChanged(const common::zone_name& aZone) override;
  void OnFirstEra() override;
  void OnPlatformReturned(common::store_era aFormer) override;
  common::result<void> Listen();
  void AddGauges();
  void Tick();
  void PublishMember();
  bool Evacuated() const;
  bool Ready() const { return mFleet.Config() != nullptr && !mStopping; }
  void RetryWaitingPlacements();
  void QuitWhenDrained();

  sidecar_settings mSettings;
  connection::http::event_loop& mLoop;
  sidecar_ports mPorts;
  common::boot_id mBoot;
  common::system_clock_source mClock;
  common::seeded_random mRandom;
  fleet_state mFleet;
  decision_log mLog;
  metrics_registry mCounters;
  size_t mInFlight = 0;
  bulk_writer mBulk;
  runtime mRuntime;
  request::suspect_list mSuspects;
  request::placement mPlacement;
  upstream_gate mGate;
  peer_messenger mMessenger;
  failure_detector mFailureDetector;
  change_broadcast mBroadcast;
  config_sync mConfig;
  gossip mGossip;
  platform_fleet_sync mPlatformSync;
  key_map_editor mEditor;
  owner_watch mOwners;
  key_ownership mKeys;
  key_takeover mTakeover;
  key_map_restorer mRestorer;
  upstream_registry mRegistry;
  std::map<common::service_name, request::shared_retry_budget> mBudgets;
  upstream_notices mNotices;
  request::mean_times mResponseTimes;
  request::mean_times mUsualTimes;
  std::set<entry_request*> mWaiting;
  bool mStopping = false;
  bool mClosing = false;
  entry_context mEntry;
  std::unique_ptr<caller_listener> mCallers;
  std::unique_ptr<forward_listener> mForwards;
  std::unique_ptr<control_listener> mControl;
  std::unique_ptr<readiness_listener> mReadiness;
  std::vector<std::unique_ptr<connection::http::tcp_listener>> mListeners;
  connection::http::loop_timer mTimer;
  version::member mSelf;
  common::boot_time mTickedAt;
  common::boot_time mFlushAt;
  common::boot_time mPlacementRetryAt;
  // When a stopping daemon quits, even with requests in flight.
  common::boot_time mStopAt;
  // Since when a stopping daemon has had no request in flight and no keys.
  common::boot_time mIdleSince;
};

} // namespace bamboograde::process::sidecar
