#include "process/sidecar/config_sync.h"

namespace bamboograde::process::sidecar {

namespace {

constexpr char kConfigRow[] = "config";
constexpr char kFeedSource[] = "feed";
// Long enough for a large configuration over a slow link.
constexpr common::milliseconds kTransferTimeout{ 2000 };
// The feed normally delivers a change within a few milliseconds of its commit. After
// kFeedGracePeriod a newer configuration is fetched from the peer; if the feed has not delivered it
// after kFeedLossTimeout either, the feed is considered interrupted.
constexpr common::milliseconds kFeedGracePeriod{ 150 };
constexpr common::milliseconds kFeedLossTimeout{ 1000 };
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
    mFromFeedAt = mRuntime.Now();
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
  if (aSource != kFeedSource) {
    mFromPeerAt = mFromPeerAt.value_or(mRuntime.Now());
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
  if (aVersion <= Version() || aVersion <= mLag.version || aPeer.Empty()) {
    return;
  }
  bool behindBefore = mLag.version > Version();
  mLag.version = aVersion;
  mLag.source = aPeer;
  if (!behindBefore) {
    mLag.since = mRuntime.Now();
  }
  // A daemon without any configuration fetches it without a delay.
  if (Version() == 0) {
    mLag.since -= kFeedGracePeriod;
    FetchMissing();
  }
}

common::json config_sync::OnRequest() const
{
  return { { "config", mRuntime.fleet.ConfigValue() } };
}

void config_sync::Tick()
{
  FetchMissing();
  CheckFeed();
}

void config_sync::FetchMissing()
{
  common::boot_time now = mRuntime.Now();
  bool behind = mLag.version > Version();
  if (!behind || mLag.fetching || now < mLag.since + kFeedGracePeriod) {
    return;
  }
  mLag.fetching = true;
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
  mLag.fetching = false;
  if (aResponse.has_value()) {
    Apply(common::GetObject(aResponse.assume_value(), "config"), aPeer.Str());
    return;
  }
  // Lets the next peer with a newer configuration become the source.
  mLag.version = Version();
  mRuntime.log.Write(line_class::kState, "configuration_not_fetched", [&] {
    return common::json{ { "peer", aPeer.Str() },
                         { "reason", aResponse.assume_error().message },
                         { "spent_ms", Since(aSentAt, mRuntime.Now()).count() } };
  });
}

// Reports the feed as interrupted if it does not deliver a configuration that a peer already had.
void config_sync::CheckFeed()
{
  if (!mFromPeerAt.has_value() || mRuntime.Now() < *mFromPeerAt + kFeedLossTimeout) {
    return;
  }
  bool seenInFeed = mFromFeedAt >= *mFromPeerAt;
  mFromPeerAt.reset();
  if (seenInFeed) {
    return;
  }
  mRuntime.log.Write(line_class::kState, "configuration_late", [this] {
    return common::json{ { "version", Version() } };
  });
  mFeed.Refresh();
}

} // namespace bamboograde::process::sidecar
