#include "process/sidecar/failure_detector.h"

namespace bamboograde::process::sidecar {

namespace {

// Silence after which a daemon with pending requests is pinged.
constexpr common::milliseconds kSilenceTimeout{ 120 };
// Round trips within a region take a few milliseconds.
constexpr common::milliseconds kPingTimeout{ 150 };
// Delay between pings of a silent daemon.
constexpr common::milliseconds kPingRetryDelay{ 300 };

} // namespace

failure_detector::failure_detector(runtime& aRuntime, peer_messenger& aMessenger,
                                   request::placement& aPlacement)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
  , mPlacement(aPlacement)
{
}

void failure_detector::OnSent(const version::member& aPeer, failure_observer* aClient)
{
  peer_state& peer = mPeers[aPeer.vm];
  peer.control = aPeer.control;
  if (peer.clients.empty()) {
    peer.heardAt = mRuntime.Now();
  }
  peer.clients.insert(aClient);
}

void failure_detector::OnHeard(const std::string& aVm)
{
  peer_state& peer = mPeers[aVm];
  peer.heardAt = mRuntime.Now();
  peer.failedChecks = 0;
  if (peer.silent) {
    peer.silent = false;
    mPlacement.OnSuccess(aVm);
    mRuntime.log.Write(line_class::kState, "peer_heard", [&] {
      return common::json{ { "peer", aVm } };
    });
  }
}

void failure_detector::OnEnded(const std::string& aVm, failure_observer* aClient)
{
  mPeers[aVm].clients.erase(aClient);
}

void failure_detector::OnUnreachable(const version::member& aPeer)
{
  peer_state& peer = mPeers[aPeer.vm];
  peer.control = aPeer.control;
  if (peer.silent) {
    mPlacement.OnFailure(aPeer.vm, mRuntime.Now());
    return;
  }
  OnSilence(aPeer.vm);
}

bool failure_detector::IsSilent(const std::string& aVm) const
{
  auto found = mPeers.find(aVm);
  return found != mPeers.end() && found->second.silent;
}

common::microseconds failure_detector::SilentFor(const std::string& aVm) const
{
  auto found = mPeers.find(aVm);
  return found == mPeers.end() ? common::microseconds(0) : mRuntime.Now() - found->second.heardAt;
}

void failure_detector::Tick()
{
  common::boot_time now = mRuntime.Now();
  for (auto& [vm, peer] : mPeers) {
    bool overdue = !peer.clients.empty() && now >= peer.heardAt + kSilenceTimeout;
    if ((overdue || peer.silent) && !peer.pingInFlight && now >= peer.nextPingAt) {
      Ping(vm, peer);
    }
  }
}

void failure_detector::Ping(const std::string& aVm, peer_state& aPeer)
{
  common::boot_time now = mRuntime.Now();
  aPeer.pingInFlight = true;
  aPeer.nextPingAt = now + kPingRetryDelay;
  mMessenger.Send(aPeer.control, kPingPath, common::json::object(),
                  now + mHealth.ScaleTimeout(kPingTimeout),
                  [this, aVm](const common::result<common::json>& aResponse) {
                    mPeers[aVm].pingInFlight = false;
                    if (aResponse.has_value()) {
                      mHealth.OnResponse();
                      OnHeard(aVm);
                    } else {
                      OnSilence(aVm);
                    }
                  });
}

void failure_detector::OnSilence(const std::string& aVm)
{
  peer_state& peer = mPeers[aVm];
  if (!peer.silent) {
    mHealth.OnSilence();
    mRuntime.counters.Add("bamboograde_silent_peers_total");
    mRuntime.log.Write(line_class::kState, "peer_silent", [&] {
      return common::json{ { "peer", aVm }, { "owed", peer.clients.size() } };
    });
  }
  peer.silent = true;
  ++peer.failedChecks;
  mPlacement.OnFailure(aVm, mRuntime.Now());
  // OnPeerSilent() may remove clients.
  std::vector<failure_observer*> clients(peer.clients.begin(), peer.clients.end());
  for (failure_observer* client : clients) {
    if (peer.clients.count(client) > 0) {
      client->OnPeerSilent(peer.failedChecks);
    }
  }
}

} // namespace bamboograde::process::sidecar
