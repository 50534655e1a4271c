#include "process/sidecar/gossip.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kPeriod{ 400 };
constexpr common::milliseconds kTimeout{ 500 };
// Daemons that are told of a change at once; the others follow by their own rounds and the feed.
constexpr size_t kFanOut = 2;

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
    Exchange(seed);
  }
  Tick();
}

void gossip::Tick()
{
  // Spread over time, so that daemons that start together do not send together.
  mTimer.Arm(mRuntime.Now() + kPeriod / 2 +
             common::milliseconds(int64_t(mRuntime.random.Below(uint64_t(kPeriod.count())))));
  if (auto peer = RandomPeer(); peer.has_value()) {
    Exchange(*peer);
  }
}

void gossip::Announce()
{
  for (size_t i = 0; i < kFanOut; ++i) {
    if (auto peer = RandomPeer(); peer.has_value()) {
      Exchange(*peer);
    }
  }
}

std::optional<common::endpoint> gossip::RandomPeer()
{
  std::vector<const version::member*> peers;
  for (const auto& [vm, member] : mRuntime.fleet.Members().All()) {
    if (vm != mRuntime.settings.vm && !member.stopping) {
      peers.push_back(&member);
    }
  }
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
    maps[service.Str()] = map->version.Value();
  }
  const auto& config = mRuntime.fleet.Config();
  return { { "from", mRuntime.settings.listen.control.Str() },
           { "config", config == nullptr ? 0 : config->Version().Value() },
           { "members", std::move(members) },
           { "key_maps", std::move(maps) } };
}

void gossip::Exchange(const common::endpoint& aControl)
{
  common::json body = Versions();
  if (!mSuspects.Empty()) {
    body["suspects"] = mSuspects.Export();
  }
  mMessenger.Send(aControl, kExchangePath, body, mRuntime.Now() + kTimeout,
                  [this](const common::result<common::json>& aAnswer) {
                    if (aAnswer.has_value()) {
                      OnAnswer(aAnswer.assume_value());
                    }
                  });
}

bool gossip::TheyKnowMore(const common::json& aVersions) const
{
  const fleet_state& fleet = mRuntime.fleet;
  uint64_t config = fleet.Config() == nullptr ? 0 : fleet.Config()->Version().Value();
  if (common::GetNumber(aVersions, "config") > config) {
    return true;
  }
  for (const auto& [vm, sequence] : common::GetObject(aVersions, "members").items()) {
    const version::member* known = fleet.Members().Find(vm);
    if (sequence.is_number_unsigned() &&
        (known == nullptr || known->sequence < sequence.get<uint64_t>())) {
      return true;
    }
  }
  for (const auto& [service, row] : common::GetObject(aVersions, "key_maps").items()) {
    version::key_map_ptr known = fleet.KeyMap(common::service_name(service));
    if (row.is_number_unsigned() &&
        (known == nullptr || known->version.Value() < row.get<uint64_t>())) {
      return true;
    }
  }
  return false;
}

common::json gossip::OnExchange(const common::json& aBody)
{
  mSuspects.Import(common::GetArray(aBody, "suspects"), mRuntime.Now());
  const fleet_state& fleet = mRuntime.fleet;
  common::json answer = common::json::object();
  const common::json& theirs = common::GetObject(aBody, "members");
  common::json members = common::json::array();
  for (const auto& [vm, member] : fleet.Members().All()) {
    if (common::GetNumber(theirs, vm.c_str()) < member.sequence) {
      members.push_back(version::EncodeMember(member));
    }
  }
  answer["members"] = std::move(members);
  const common::json& theirMaps = common::GetObject(aBody, "key_maps");
  common::json maps = common::json::array();
  for (const auto& [service, map] : fleet.KeyMaps()) {
    if (common::GetNumber(theirMaps, service.Str().c_str()) < map->version.Value()) {
      maps.push_back({ { "row", map->version.Value() }, { "map", version::EncodeKeyMap(*map) } });
    }
  }
  answer["key_maps"] = std::move(maps);
  bool older = fleet.Config() != nullptr &&
               common::GetNumber(aBody, "config") < fleet.Config()->Version().Value();
  if (older) {
    answer["config"] = fleet.ConfigValue();
  }
  if (!mSuspects.Empty()) {
    answer["suspects"] = mSuspects.Export();
  }
  answer["more"] = TheyKnowMore(aBody);
  if (answer["more"].get<bool>()) {
    common::endpoint control(common::GetString(aBody, "from"));
    if (!control.Empty()) {
      Exchange(control);
    }
  }
  return answer;
}

void gossip::OnAnswer(const common::json& aAnswer)
{
  bool news = false;
  for (const common::json& value : common::GetArray(aAnswer, "members")) {
    if (auto member = version::DecodeMember(value); member.has_value()) {
      mRuntime.fleet.ApplyMember(*member);
    }
  }
  for (const common::json& value : common::GetArray(aAnswer, "key_maps")) {
    auto map = version::DecodeKeyMap(common::GetObject(value, "map"));
    if (map != nullptr) {
      map->version = common::row_version(common::GetNumber(value, "row"));
      news = mRuntime.fleet.ApplyKeyMap(map) || news;
    }
  }
  if (aAnswer.contains("config")) {
    news = mRuntime.fleet.ApplyConfig(aAnswer["config"]) || news;
  }
  mSuspects.Import(common::GetArray(aAnswer, "suspects"), mRuntime.Now());
  if (news && mOnLag) {
    mOnLag();
  }
}

} // namespace bamboograde::process::sidecar
