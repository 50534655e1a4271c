#include "process/sidecar/change_broadcast.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kTimeout{ 500 };
// Daemons of each other zone to which a change is sent by the one that made it. Two, because one
// may be down.
constexpr size_t kOtherZoneFanOut = 2;
// Daemons of its own zone to which each daemon sends a change that is new to it. With three, an
// epidemic reaches 94 of 100 daemons.
constexpr size_t kOwnZoneFanOut = 3;

} // namespace

change_broadcast::change_broadcast(runtime& aRuntime, peer_messenger& aMessenger)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
{
}

void change_broadcast::SpreadMember(const version::member& aMember)
{
  common::json body = { { "from", mRuntime.settings.listen.control.Str() },
                        { "members", common::json::array({ version::EncodeMember(aMember) }) } };
  SendEverywhere(body, {});
}

void change_broadcast::SpreadKeyMap(const version::key_map* aBefore, const version::key_map& aAfter)
{
  common::json delta = version::EncodeKeyMapDelta(aBefore, aAfter);
  vm_set concerned;
  for (const common::json& owner :
       common::GetArray(common::GetObject(delta, "changed"), "owners")) {
    concerned.insert(common::GetString(owner, "vm"));
  }
  common::json body = { { "from", mRuntime.settings.listen.control.Str() },
                        { "key_map", std::move(delta) } };
  SendEverywhere(body, concerned);
}

common::json change_broadcast::OnUpdate(const common::json& aBody)
{
  common::endpoint from(common::GetString(aBody, "from"));
  bool news = mRuntime.fleet.ApplyMembers(common::GetArray(aBody, "members"));
  news = ApplyDelta(aBody, from) || news;
  if (news) {
    PassOn(aBody, from);
  }
  return common::json::object();
}

bool change_broadcast::ApplyDelta(const common::json& aBody, const common::endpoint& aFrom)
{
  const common::json& delta = common::GetObject(aBody, "key_map");
  common::service_name service = version::ServiceOfDelta(delta);
  if (service.Empty()) {
    return false;
  }
  version::key_map_ptr known = mRuntime.fleet.KeyMap(service);
  version::applied_delta applied = version::ApplyKeyMapDelta(known.get(), delta);
  if (applied.result == version::delta_result::kGap && mOnGap && !aFrom.Empty()) {
    mOnGap(aFrom);
  }
  return applied.result == version::delta_result::kApplied &&
         mRuntime.fleet.ApplyKeyMap(applied.map);
}

std::map<common::zone_name, std::vector<const version::member*>> change_broadcast::PeersByZone()
{
  std::map<common::zone_name, std::vector<const version::member*>> zones;
  for (const version::member* peer : mRuntime.fleet.RunningPeers(mRuntime.settings.vm)) {
    zones[peer->zone].push_back(peer);
  }
  for (auto& [zone, peers] : zones) {
    common::Shuffle(&peers, mRuntime.random);
  }
  return zones;
}

void change_broadcast::SendEverywhere(const common::json& aBody, const vm_set& aFirst)
{
  for (const auto& [zone, peers] : PeersByZone()) {
    size_t left = zone == mRuntime.settings.zone ? kOwnZoneFanOut : kOtherZoneFanOut;
    for (const version::member* peer : peers) {
      bool concerned = aFirst.count(peer->vm) > 0;
      if (concerned || left > 0) {
        left -= concerned ? 0 : 1;
        Send(*peer, aBody);
      }
    }
  }
}

void change_broadcast::PassOn(const common::json& aBody, const common::endpoint& aFrom)
{
  common::json body = aBody;
  // A gap is closed by asking the nearest daemon that knows more.
  body["from"] = mRuntime.settings.listen.control.Str();
  auto zones = PeersByZone();
  size_t left = kOwnZoneFanOut;
  for (const version::member* peer : zones[mRuntime.settings.zone]) {
    if (left > 0 && peer->control != aFrom) {
      --left;
      Send(*peer, body);
    }
  }
}

void change_broadcast::Send(const version::member& aPeer, const common::json& aBody)
{
  mRuntime.counters.Add("bamboograde_updates_sent_total");
  // Whoever is missed is found by gossip.
  mMessenger.Send(aPeer.control, kUpdatePath, aBody, mRuntime.Now() + kTimeout,
                  [](const common::result<common::json>&) {});
}

} // namespace bamboograde::process::sidecar
