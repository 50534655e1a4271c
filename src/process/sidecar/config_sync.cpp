#include "process/sidecar/config_sync.h"

#include <algorithm>

namespace bamboograde::process::sidecar {

namespace {

constexpr char kConfigRow[] = "config";
constexpr char kFeedSource[] = "feed";
// Long enough for a large configuration over a slow link.
constexpr common::milliseconds kTransferTimeout{ 2000 };
// The feed normally delivers a change within a few milliseconds of its commit. After
// kFeedGracePeriod a newer configuration is fetched from the peer, and after each further
// kFetchPeriod from another one.
constexpr common::milliseconds kFeedGracePeriod{ 150 };
constexpr common::milliseconds kFetchPeriod{ 500 };
// Daemons that follow the feed. Their polls without a change are a few calls per second.
constexpr size_t kMaxFollowers = 128;
// A poll ends after a random time in this range, so that the responses, each of which is a proof,
// are spread over time.
constexpr common::milliseconds kMinPollWait{ 14000 };
constexpr common::milliseconds kMaxPollWait{ 28000 };
// A response of the feed after a longer time without one is logged.
constexpr common::milliseconds kLongSilence{ 2000 };

common::milliseconds Since(common::boot_time aTime, common::boot_time aNow)
{
  return std::chrono::duration_cast<common::milliseconds>(aNow - aTime);
}

} // namespace

config_sync::config_sync(runtime& aRuntime, peer_messenger& aMessenger, connection::row_feed& aFeed)
  : mRuntime(aRuntime)
  , mMessenger(aMessenger)
  , mFeed(aFeed)
  , mFeedResponseAt(aRuntime.Now())
  , mFreshness(aRuntime.random, aRuntime.settings.bounds.configApply)
  , mQueryTimer(aRuntime.loop, [this] { QueryIfUnproven(); })
  , mEvacuations(aRuntime.fleet)
{
}

uint64_t config_sync::Version() const
{
  const version::route_config_ptr& config = mRuntime.fleet.Config();
  return config == nullptr ? 0 : config->Version().Value();
}

common::milliseconds config_sync::FeedAge() const
{
  return Since(mFeedResponseAt, mRuntime.Now());
}

void config_sync::OnRow(const connection::platform_row& aRow)
{
  if (aRow.name == kConfigRow && !aRow.value.is_null()) {
    Apply(aRow.value, kFeedSource);
  }
  common::zone_name zone = mRuntime.fleet.EvacuatedZone(aRow.name);
  if (!zone.Empty()) {
    mEvacuations.OnRow(zone, { aRow.version, !aRow.value.is_null() }, mRuntime.Now());
  }
}

void config_sync::OnFeedSynchronized(const std::set<std::string>& aRows,
                                     common::row_version aVersion)
{
  std::set<common::zone_name> evacuated;
  for (const std::string& row : aRows) {
    evacuated.insert(mRuntime.fleet.EvacuatedZone(row));
  }
  mEvacuations.OnRowsRead(evacuated, aVersion, mRuntime.Now());
}

void config_sync::OnPeerEvacuations(const common::json& aList)
{
  for (const auto& [zone, evacuation] : DecodeEvacuations(aList)) {
    mEvacuations.OnPeerReport(zone, evacuation, mRuntime.Now());
  }
}

void config_sync::OnFeedResponse(const connection::feed_response& aResponse)
{
  common::milliseconds age = FeedAge();
  mFeedResponseAt = mRuntime.Now();
  mFreshness.OnAnswer(aResponse.sentAt, { aResponse.era, aResponse.platformMs }, mFeedResponseAt);
  QueryIfUnproven();
  if (age > kLongSilence) {
    mRuntime.log.Write(line_class::kState, "feed_response", [&] {
      return common::json{ { "version", Version() }, { "silent_ms", age.count() } };
    });
  }
}

void config_sync::Apply(const common::json& aValue, const std::string& aSource)
{
  uint64_t before = Version();
  config_outcome outcome = mRuntime.fleet.ApplyConfig(aValue);
  if (outcome == config_outcome::kOlder || outcome == config_outcome::kDifferent) {
    mRuntime.counters.Add("bamboograde_configs_not_applied_total");
    mRuntime.log.Write(line_class::kState, "configuration_not_applied", [&] {
      return common::json{ { "reason", outcome == config_outcome::kOlder ? "older" : "different" },
                           { "version", Version() },
                           { "source", aSource },
                           { "era", mRuntime.fleet.Era().value_or(common::store_era()).Value() } };
    });
  }
  if (outcome != config_outcome::kApplied) {
    return;
  }
  mRuntime.log.Write(line_class::kState, "configuration", [&] {
    return common::json{ { "version", Version() },
                         { "before", before },
                         { "routes", mRuntime.fleet.Config()->RouteCount() },
                         { "source", aSource },
                         { "feed_age_ms", FeedAge().count() } };
  });
}

void config_sync::QueryIfUnproven()
{
  auto askAt = mFreshness.AskAt();
  if (!askAt.has_value()) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  if (now >= *askAt) {
    mRuntime.counters.Add("bamboograde_config_queries_total");
    mFreshness.OnAsked(now);
    mFeed.Query();
  }
  mQueryTimer.Arm(*mFreshness.AskAt());
}

// Whether this daemon is one of those that follow the feed: all in a small fleet, and every n-th by
// address in a large one.
bool config_sync::FollowsFeed() const
{
  auto peers = mRuntime.fleet.RunningPeers(mRuntime.settings.vm);
  size_t count = peers.size() + 1;
  auto before =
    size_t(std::count_if(peers.begin(), peers.end(), [this](const version::member* aPeer) {
      return aPeer->vm < mRuntime.settings.vm;
    }));
  return count <= kMaxFollowers ||
         before * kMaxFollowers / count != (before + 1) * kMaxFollowers / count;
}

void config_sync::AddState(common::json* aMessage) const
{
  (*aMessage)["config"] = Version();
  (*aMessage)["proof_ms"] = mFreshness.Proof().ms;
  if (mRuntime.fleet.Era().value_or(common::store_era()) > common::store_era()) {
    (*aMessage)["era"] = mRuntime.fleet.Era()->Value();
    (*aMessage)["proof_era"] = mFreshness.Proof().era.Value();
  }
  if (!mRuntime.fleet.Evacuations().empty()) {
    (*aMessage)["evacuations"] = mRuntime.fleet.EncodeEvacuations();
  }
}

void config_sync::OnPeerState(const common::json& aMessage)
{
  if (aMessage.contains("era")) {
    mRuntime.fleet.OnEra(common::store_era(common::GetNumber(aMessage, "era")));
  }
  uint64_t version = common::GetNumber(aMessage, "config");
  OnPeerVersion(version, common::endpoint(common::GetString(aMessage, "from")));
  OnPeerEvacuations(common::GetArray(aMessage, "evacuations"));
  // A proof for a newer configuration says nothing about the one of this daemon. Evacuations are
  // not older here, since the message contains them.
  if (version <= Version()) {
    mFreshness.OnPeerProof({ common::store_era(common::GetNumber(aMessage, "proof_era")),
                             common::GetNumber(aMessage, "proof_ms") },
                           mRuntime.Now());
  }
}

void config_sync::OnPeerVersion(uint64_t aVersion, const common::endpoint& aPeer)
{
  if (aVersion <= Version() || aPeer.Empty()) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  // A daemon without any configuration fetches it without a delay.
  bool hasNone = Version() == 0;
  if (mLag.version <= Version()) {
    mLag.fetchAt = hasNone ? now : now + kFeedGracePeriod;
  }
  mLag.version = std::max(mLag.version, aVersion);
  mLag.source = aPeer;
  if (hasNone && now >= mLag.fetchAt) {
    FetchMissing();
  }
}

common::json config_sync::OnRequest() const
{
  return { { "config", mRuntime.fleet.ConfigValue() },
           { "evacuations", mRuntime.fleet.EncodeEvacuations() } };
}

void config_sync::Tick()
{
  mFreshness.SetFleetSize(mRuntime.fleet.RunningMemberCount());
  auto jitter = int64_t(mRuntime.random.Below(uint64_t((kMaxPollWait - kMinPollWait).count())));
  mFeed.SetMaxWait(FollowsFeed() ? kMinPollWait + common::milliseconds(jitter)
                                 : common::milliseconds(0));
  mEvacuations.Tick(mRuntime.Now());
  if (mRuntime.Now() >= mLag.fetchAt) {
    FetchMissing();
  }
}

void config_sync::FetchMissing()
{
  if (mLag.version <= Version()) {
    return;
  }
  common::boot_time now = mRuntime.Now();
  mLag.fetchAt = now + kFetchPeriod;
  mRuntime.log.Write(line_class::kState, "configuration_late", [&] {
    return common::json{ { "version", Version() },
                         { "newer", mLag.version },
                         { "peer", mLag.source.Str() },
                         { "feed_age_ms", FeedAge().count() } };
  });
  mFeed.Refresh();
  common::endpoint source = mLag.source;
  mMessenger.Send(source, kConfigPath, common::json::object(), now + kTransferTimeout,
                  [this, source, now](const common::result<common::json>& aResponse) {
                    OnFetched(source, aResponse, now);
                  });
}

void config_sync::OnFetched(const common::endpoint& aPeer,
                            const common::result<common::json>& aResponse,
                            common::boot_time aSentAt)
{
  common::json config;
  if (aResponse.has_value()) {
    // Evacuations first, so that no request goes to an evacuated zone in between.
    OnPeerEvacuations(common::GetArray(aResponse.assume_value(), "evacuations"));
    config = common::GetObject(aResponse.assume_value(), "config");
  }
  if (!config.empty()) {
    Apply(config, aPeer.Str());
  }
  if (mLag.version <= Version()) {
    return;
  }
  if (aPeer == mLag.source) {
    // The peer is not asked again until it names a newer version again.
    mLag.version = Version();
  }
  mRuntime.log.Write(line_class::kState, "configuration_not_fetched", [&] {
    return common::json{ { "peer", aPeer.Str() },
                         { "reason", aResponse.has_value() ? "the peer lacks it"
                                                           : aResponse.assume_error().message },
                         { "spent_ms", Since(aSentAt, mRuntime.Now()).count() } };
  });
}

} // namespace bamboograde::process::sidecar
