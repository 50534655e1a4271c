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
// Polls of all daemons together that end without a change in a second.
constexpr int64_t kIdlePollsPerSecond = 64;
constexpr common::milliseconds kMinPollWait{ 1000 };
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
}

void config_sync::OnFeedResponse()
{
  common::milliseconds age = FeedAge();
  mFeedResponseAt = mRuntime.Now();
  if (age > kLongSilence) {
    mRuntime.log.Write(line_class::kState, "feed_response", [&] {
      return common::json{ { "version", Version() }, { "silent_ms", age.count() } };
    });
  }
}

void config_sync::Apply(const common::json& aValue, const std::string& aSource)
{
  uint64_t before = Version();
  if (!mRuntime.fleet.ApplyConfig(aValue)) {
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
  return { { "config", mRuntime.fleet.ConfigValue() } };
}

void config_sync::Tick()
{
  auto members = int64_t(mRuntime.fleet.RunningMemberCount());
  mFeed.SetMaxWait(
    std::max(kMinPollWait, common::milliseconds(members * 1000 / kIdlePollsPerSecond)));
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
