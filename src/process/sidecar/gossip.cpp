#include "process/sidecar/gossip.h"

#include "common/hash.h"

#include <spdlog/fmt/fmt.h>

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kPeriod{ 400 };
constexpr common::milliseconds kTimeout{ 500 };
// Long enough for a large configuration over a slow link.
constexpr common::milliseconds kTransferTimeout{ 2000 };
// The feed normally delivers a change within a few milliseconds of its commit. After
// kFeedGracePeriod a newer configuration is fetched from the peer; if the feed has not delivered it
// after kFeedLossTimeout either, the feed is considered interrupted.
constexpr common::milliseconds kFeedGracePeriod{ 150 };
constexpr common::milliseconds kFeedLossTimeout{ 1000 };

} // namespace

gossip::gossip(runtime& aRuntime, peer_messenger& aMessenger, request::suspect_list& aSuspects)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
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
  FetchMissingConfig();
  CheckFeed();
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

uint64_t gossip::ConfigVersion() const
{
  const version::route_config_ptr& config = mRuntime.fleet.Config();
  return config == nullptr ? 0 : config->Version().Value();
}

common::json gossip::Versions() const
{
  common::json members = common::json::object();
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    members[vm] = member.sequence;
  }
  common::json maps = common::json::object();
  for (const auto& [service, map] : mRuntime.fleet.KeyMaps()) {
    maps[service.Str()] = map->version.Value();
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
    text += fmt::format("{} {}\n", service.Str(), map->version.Value());
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
    if (common::GetNumber(theirMaps, service.Str().c_str()) < map->version.Value()) {
      maps.push_back({ { "row", map->version.Value() }, { "map", version::EncodeKeyMap(*map) } });
    }
  }
  return { { "members", std::move(members) }, { "key_maps", std::move(maps) } };
}

void gossip::Compare(const common::endpoint& aControl)
{
  if (!mComparing.insert(aControl).second) {
    return;
  }
  common::json body = { { "from", mRuntime.settings.listen.control.Str() },
                        { "digest", Digest() },
                        { "config", ConfigVersion() } };
  if (!mSuspects.Empty()) {
    body["suspects"] = mSuspects.Export();
  }
  mMessenger.Send(aControl, kComparePath, body, mRuntime.Now() + kTimeout,
                  [this, aControl](const common::result<common::json>& aResponse) {
                    mComparing.erase(aControl);
                    if (!aResponse.has_value()) {
                      return;
                    }
                    mHeardAt = mRuntime.Now();
                    const common::json& response = aResponse.assume_value();
                    OnPeerState(response);
                    if (response.contains("versions")) {
                      Exchange(aControl, response["versions"]);
                    }
                  });
}

common::json gossip::OnCompare(const common::json& aBody)
{
  OnPeerState(aBody);
  common::json response = { { "from", mRuntime.settings.listen.control.Str() },
                            { "config", ConfigVersion() } };
  if (!mSuspects.Empty()) {
    response["suspects"] = mSuspects.Export();
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
  common::json response = ChangesSince(common::GetObject(aBody, "versions"));
  if (common::GetBool(aBody, "config_wanted") && mRuntime.fleet.Config() != nullptr) {
    response["config"] = mRuntime.fleet.ConfigValue();
  }
  return response;
}

void gossip::Apply(const common::json& aChanges)
{
  mRuntime.fleet.ApplyMembers(common::GetArray(aChanges, "members"));
  for (const common::json& value : common::GetArray(aChanges, "key_maps")) {
    auto map = version::DecodeKeyMap(common::GetObject(value, "map"),
                                     common::row_version(common::GetNumber(value, "row")));
    if (map != nullptr) {
      mRuntime.fleet.ApplyKeyMap(map);
    }
  }
  if (aChanges.contains("config") && mRuntime.fleet.ApplyConfig(aChanges["config"])) {
    mConfigFromPeerAt = mConfigFromPeerAt.value_or(mRuntime.Now());
  }
}

// Reads the configuration version and the crash suspects in a peer's message.
void gossip::OnPeerState(const common::json& aBody)
{
  mSuspects.Import(common::GetArray(aBody, "suspects"), mRuntime.Now());
  uint64_t peerVersion = common::GetNumber(aBody, "config");
  common::endpoint from(common::GetString(aBody, "from"));
  if (peerVersion <= ConfigVersion() || peerVersion <= mConfigLag.version || from.Empty()) {
    return;
  }
  bool behindBefore = mConfigLag.version > ConfigVersion();
  mConfigLag.version = peerVersion;
  mConfigLag.source = from;
  if (!behindBefore) {
    mConfigLag.since = mRuntime.Now();
  }
  // A daemon without any configuration fetches it without a delay.
  if (ConfigVersion() == 0) {
    mConfigLag.since -= kFeedGracePeriod;
    FetchMissingConfig();
  }
}

void gossip::FetchMissingConfig()
{
  common::boot_time now = mRuntime.Now();
  bool behind = mConfigLag.version > ConfigVersion();
  if (!behind || mConfigLag.fetching || now < mConfigLag.since + kFeedGracePeriod) {
    return;
  }
  mConfigLag.fetching = true;
  mMessenger.Send(mConfigLag.source, kExchangePath,
                  { { "versions", Versions() }, { "config_wanted", true } }, now + kTransferTimeout,
                  [this](const common::result<common::json>& aResponse) {
                    mConfigLag.fetching = false;
                    if (aResponse.has_value()) {
                      Apply(aResponse.assume_value());
                    } else {
                      // Lets the next peer with a newer configuration become the source.
                      mConfigLag.version = ConfigVersion();
                    }
                  });
}

// Reports the feed as interrupted if it does not deliver a configuration that a peer already had.
void gossip::CheckFeed()
{
  if (!mConfigFromPeerAt.has_value() || mRuntime.Now() < *mConfigFromPeerAt + kFeedLossTimeout) {
    return;
  }
  bool seenInFeed = mConfigFromFeedAt >= *mConfigFromPeerAt;
  mConfigFromPeerAt.reset();
  if (seenInFeed) {
    return;
  }
  mRuntime.log.Write(line_class::kState, "configuration_late", [this] {
    return common::json{ { "version", ConfigVersion() } };
  });
  if (mOnFeedLag) {
    mOnFeedLag();
  }
}

} // namespace bamboograde::process::sidecar
