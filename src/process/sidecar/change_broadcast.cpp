#include "process/sidecar/change_broadcast.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr common::milliseconds kTimeout{ 500 };
// Daemons per other zone to which the origin of a change sends it. Two, because one may be down.
constexpr size_t kOtherZoneFanOut = 2;
// Daemons of its own zone to which each daemon sends a change that is new to it. With a fan-out of
// 3 an epidemic broadcast reaches 94 of 100 daemons.
constexpr size_t kOwnZoneFanOut = 3;

} // namespace

change_broadcast::change_broadcast(runtime& aRuntime, peer_messenger& aMessenger)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
{
}

void change_broadcast::BroadcastMember(const version::member& aMember)
{
  common::json body = { { "from", mRuntime.settings.PublicControl().Str() },
                        { "members", common::json::array({ version::EncodeMember(aMember) }) } };
  SendToAllZones(body, {});
}

void change_broadcast::BroadcastKeyMap(const version::key_map* aBefore,
                                       const version::key_map& aAfter)
{
  common::json delta = version::EncodeKeyMapDelta(aBefore, aAfter);
  vm_set affected;
  for (const common::json& owner :
       common::GetArray(common::GetObject(delta, "changed"), "owners")) {
    affected.insert(common::GetString(owner, "vm"));
  }
  common::json body = { { "from", mRuntime.settings.PublicControl().Str() },
                        { "key_map", std::move(delta) } };
  SendToAllZones(body, affected);
}

common::json change_broadcast::OnUpdate(const common::json& aBody)
{
  common::endpoint from(common::GetString(aBody, "from"));
  bool changed = mRuntime.fleet.ApplyMembers(common::GetArray(aBody, "members"));
  changed = ApplyDelta(aBody, from) || changed;
  if (changed) {
    RelayInOwnZone(aBody, from);
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
  if (applied.result == version::delta_result::kBaseMismatch && mOnGap && !aFrom.Empty()) {
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

void change_broadcast::SendToAllZones(const common::json& aBody, const vm_set& aRequired)
{
  for (const auto& [zone, peers] : PeersByZone()) {
    size_t remaining = zone == mRuntime.settings.zone ? kOwnZoneFanOut : kOtherZoneFanOut;
    for (const version::member* peer : peers) {
      bool affected = aRequired.count(peer->vm) > 0;
      if (affected || remaining > 0) {
        remaining -= affected ? 0 : 1;
        Send(*peer, aBody);
      }
    }
  }
}

void change_broadcast::RelayInOwnZone(const common::json& aBody, const common::endpoint& aFrom)
{
  common::json body = aBody;
  // A receiver that lacks earlier versions fetches them from the sender of this message.
  body["from"] = mRuntime.settings.PublicControl().Str();
  auto zones = PeersByZone();
  size_t remaining = kOwnZoneFanOut;
  for (const version::member* peer : zones[mRuntime.settings.zone]) {
    if (remaining > 0 && peer->control != aFrom) {
      --remaining;
      Send(*peer, body);
    }
  }
}

void change_broadcast::Send(const version::member& aPeer, const common::json& aBody)
{
  mRuntime.counters.Add("bamboograde_updates_sent_total");
  // Gossip repairs lost messages.
  mMessenger.Send(aPeer.control, kUpdatePath, aBody, mRuntime.Now() + kTimeout,
                  [](const common::result<common::json>&) {});
}

} // namespace bamboograde::process::sidecar
