#include "process/sidecar/gossip.h"

#include "common/hash.h"

#include <spdlog/fmt/fmt.h>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kPeriod{ 400 };
constexpr common::milliseconds kTimeout{ 500 };
// Long enough for many key maps over a slow link.
constexpr common::milliseconds kTransferTimeout{ 2000 };

} // namespace

gossip::gossip(runtime& aRuntime, peer_messenger& aMessenger, config_sync& aConfig,
               request::suspect_list& aSuspects)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
  , mConfig(aConfig)
  , mSuspects(aSuspects)
  , mTimer(aRuntime.loop, [this] { Tick(); })
{
}

void gossip::Start()
{
  for (const common::endpoint& seed : mRuntime.settings.seeds) {
    Compare(seed);
  }
  Tick();
}

void gossip::Tick()
{
  // Jitter, so that daemons that start together do not send together.
  mTimer.Arm(mRuntime.Now() + kPeriod / 2 +
             common::milliseconds(int64_t(mRuntime.random.Below(uint64_t(kPeriod.count())))));
  mConfig.Tick();
  if (auto peer = RandomPeer(); peer.has_value()) {
    Compare(*peer);
  }
}

std::optional<common::endpoint> gossip::RandomPeer()
{
  auto peers = mRuntime.fleet.RunningPeers(mRuntime.settings.vm);
  if (!peers.empty()) {
    return peers[size_t(mRuntime.random.Below(peers.size()))]->control;
  }
  const auto& seeds = mRuntime.settings.seeds;
  if (seeds.empty()) {
    return std::nullopt;
  }
  return seeds[size_t(mRuntime.random.Below(seeds.size()))];
}

common::json gossip::Versions() const
{
  common::json members = common::json::object();
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    members[vm] = member.sequence;
  }
  common::json maps = common::json::object();
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    maps[service.Str()] = common::EncodeVersion(map->version);
  }
  return { { "members", std::move(members) }, { "key_maps", std::move(maps) } };
}

uint64_t gossip::Digest() const
{
  std::string text;
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    text += fmt::format("{} {}\n", vm, member.sequence);
  }
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    text +=
      fmt::format("{} {} {}\n", service.Str(), map->version.Era().Value(), map->version.Value());
  }
  return common::HashBytes(text);
}

common::json gossip::ChangesSince(const common::json& aVersions) const
{
  const common::json& theirMembers = common::GetObject(aVersions, "members");
  common::json members = common::json::array();
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    if (common::GetNumber(theirMembers, vm.c_str()) < member.sequence) {
      members.push_back(version::EncodeMember(member));
    }
  }
  const common::json& theirMaps = common::GetObject(aVersions, "key_maps");
  common::json maps = common::json::array();
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    if (common::GetVersion(theirMaps, service.Str().c_str()) < map->version) {
      maps.push_back(
        { { "row", common::EncodeVersion(map->version) }, { "map", version::EncodeKeyMap(*map) } });
    }
  }
  common::json changes = { { "members", std::move(members) }, { "key_maps", std::move(maps) } };
  common::store_era era = mRuntime.fleet.Era().value_or(common::store_era());
  if (era > common::store_era()) {
    changes["era"] = era.Value();
  }
  return changes;
}

void gossip::Compare(const common::endpoint& aControl)
{
  if (!mComparing.insert(aControl).second) {
    return;
  }
  common::json body = { { "from", mRuntime.settings.PublicControl().Str() },
                        { "digest", Digest() } };
  mConfig.AddState(&body);
  if (!mSuspects.Empty()) {
    body["suspects"] = mSuspects.Export(mRuntime.Now());
  }
  mMessenger.Send(
    aControl, kComparePath, body, mRuntime.Now() + kTimeout,
    [this, aControl, sentAt = mRuntime.Now()](const common::result<common::json>& aResponse) {
      mComparing.erase(aControl);
      if (!aResponse.has_value()) {
        if (mObserver != nullptr) {
          mObserver->OnNoReport(aControl);
        }
        return;
      }
      mHeardAt = mRuntime.Now();
      const common::json& response = aResponse.assume_value();
      OnPeerState(response);
      if (mObserver != nullptr) {
        mObserver->OnReport(aControl, common::GetObject(response, "owners"), sentAt);
      }
      if (response.contains("versions")) {
        Exchange(aControl, response["versions"]);
      }
    });
}

common::json gossip::OnCompare(const common::json& aBody)
{
  OnPeerState(aBody);
  common::json response = { { "from", mRuntime.settings.PublicControl().Str() } };
  mConfig.AddState(&response);
  if (!mSuspects.Empty()) {
    response["suspects"] = mSuspects.Export(mRuntime.Now());
  }
  if (mObserver != nullptr) {
    response["owners"] = mObserver->Report();
  }
  if (common::GetNumber(aBody, "digest") != Digest()) {
    response["versions"] = Versions();
  }
  return response;
}

// Sends what the peer lacks; the response contains what this daemon lacks.
void gossip::Exchange(const common::endpoint& aControl, const common::json& aTheirVersions)
{
  common::json body = { { "versions", Versions() }, { "news", ChangesSince(aTheirVersions) } };
  mMessenger.Send(aControl, kExchangePath, body, mRuntime.Now() + kTransferTimeout,
                  [this](const common::result<common::json>& aResponse) {
                    if (aResponse.has_value()) {
                      Apply(aResponse.assume_value());
                    }
                  });
}

common::json gossip::OnExchange(const common::json& aBody)
{
  Apply(common::GetObject(aBody, "news"));
  return ChangesSince(common::GetObject(aBody, "versions"));
}

void gossip::Apply(const common::json& aChanges)
{
  // A map of an earlier era may have been read, and changed, in this one.
  if (aChanges.contains("era")) {
    mRuntime.fleet.OnEra(common::store_era(common::GetNumber(aChanges, "era")));
  }
  mRuntime.fleet.ApplyMembers(common::GetArray(aChanges, "members"));
  for (const common::json& value : common::GetArray(aChanges, "key_maps")) {
    auto map =
      version::DecodeKeyMap(common::GetObject(value, "map"), common::GetVersion(value, "row"));
    if (map != nullptr) {
      mRuntime.fleet.ApplyKeyMap(map);
    }
  }
}

// Reads the state of the configuration and the crash suspects in a peer's message.
void gossip::OnPeerState(const common::json& aBody)
{
  auto changed = mSuspects.Import(common::GetArray(aBody, "suspects"), mRuntime.Now());
  for (uint64_t fingerprint : changed) {
    mRuntime.log.Write(line_class::kState, "crash_suspect_heard", [&] {
      return common::json{ { "fingerprint", fingerprint },
                           { "crashes", mSuspects.Crashes(fingerprint) },
                           { "from", common::GetString(aBody, "from") } };
    });
  }
  mConfig.OnPeerState(aBody);
}

} // namespace bamboograde::process::sidecar
