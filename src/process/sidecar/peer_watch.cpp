#include "process/sidecar/peer_watch.h"

namespace bamboograde::process::sidecar {

namespace {

// Silence after which a daemon that owes an answer is asked for a sign of life.
constexpr common::milliseconds kQuietTime{ 120 };
// How long the sign of life may take. Ways within a region take a few milliseconds.
constexpr common::milliseconds kPingTimeout{ 150 };
// Pause between questions to a daemon that is silent.
constexpr common::milliseconds kAskAgain{ 300 };

} // namespace

peer_watch::peer_watch(runtime& aRuntime, peer_messenger& aMessenger,
                       request::placement& aPlacement)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
  , mPlacement(aPlacement)
{
}

void peer_watch::OnSent(const version::member& aPeer, peer_client* aClient)
{
  peer_state& peer = mPeers[aPeer.vm];
  peer.control = aPeer.control;
  if (peer.clients.empty()) {
    peer.heardAt = mRuntime.Now();
  }
  peer.clients.insert(aClient);
}

void peer_watch::OnHeard(const std::string& aVm)
{
  peer_state& peer = mPeers[aVm];
  peer.heardAt = mRuntime.Now();
  if (peer.silent) {
    peer.silent = false;
    mPlacement.OnSuccess(aVm);
    mRuntime.log.Write(line_class::kState, "peer_heard", [&] {
      return common::json{ { "peer", aVm } };
    });
  }
}

void peer_watch::OnEnded(const std::string& aVm, peer_client* aClient)
{
  mPeers[aVm].clients.erase(aClient);
}

void peer_watch::OnUnreachable(const version::member& aPeer)
{
  mPeers[aPeer.vm].control = aPeer.control;
  OnSilence(aPeer.vm);
}

void peer_watch::Tick()
{
  common::boot_time now = mRuntime.Now();
  for (auto& [vm, peer] : mPeers) {
    bool owes = !peer.clients.empty() && now >= peer.heardAt + kQuietTime;
    if ((owes || peer.silent) && !peer.asking && now >= peer.askAt) {
      Ask(vm, peer);
    }
  }
}

void peer_watch::Ask(const std::string& aVm, peer_state& aPeer)
{
  common::boot_time now = mRuntime.Now();
  aPeer.asking = true;
  aPeer.askAt = now + kAskAgain;
  mMessenger.Send(aPeer.control, kPingPath, common::json::object(),
                  now + mHealth.Stretch(kPingTimeout),
                  [this, aVm](const common::result<common::json>& aAnswer) {
                    mPeers[aVm].asking = false;
                    if (aAnswer.has_value()) {
                      mHealth.OnAnswer();
                      OnHeard(aVm);
                    } else {
                      OnSilence(aVm);
                    }
                  });
}

void peer_watch::OnSilence(const std::string& aVm)
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
  mPlacement.OnFailure(aVm, mRuntime.Now());
  // Each client may leave during its call.
  std::vector<peer_client*> clients(peer.clients.begin(), peer.clients.end());
  for (peer_client* client : clients) {
    if (peer.clients.count(client) > 0) {
      client->OnPeerSilent();
    }
  }
}

} // namespace bamboograde::process::sidecar
