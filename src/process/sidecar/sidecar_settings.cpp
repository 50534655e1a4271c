#include "process/sidecar/sidecar_settings.h"

#include "common/files.h"
#include "connection/http/tcp_stream.h"

#include <functional>
#include <map>
#include <yaml-cpp/yaml.h>

namespace bamboograde::process::sidecar {

namespace {

// Reads one value; returns a description of the expected value if it is invalid, or else an empty
// string.
using scalar_reader = std::function<std::string(const YAML::Node&)>;

struct known_setting
{
  bool required;
  scalar_reader read;
};

using known_settings = std::map<std::string, known_setting>;

scalar_reader Text(std::string* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    *aTarget = aNode.as<std::string>("");
    return aTarget->empty() ? "a text" : "";
  };
}

template<typename tag>
scalar_reader Id(common::text_id<tag>* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    *aTarget = common::text_id<tag>(aNode.as<std::string>(""));
    return aTarget->Empty() ? "a name" : "";
  };
}

scalar_reader Address(common::endpoint* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    *aTarget = common::endpoint(aNode.as<std::string>(""));
    return connection::http::ParseEndpoint(*aTarget).has_value() ? "" : "IP:PORT";
  };
}

scalar_reader Millis(common::milliseconds* aTarget, double aUnit)
{
  return [aTarget, aUnit](const YAML::Node& aNode) -> std::string {
    double value = aNode.as<double>(-1);
    *aTarget = common::milliseconds(int64_t(value * aUnit));
    return value > 0 ? "" : "a positive number";
  };
}

scalar_reader Number(double* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    *aTarget = aNode.as<double>(-1);
    return *aTarget >= 0 ? "" : "a number";
  };
}

scalar_reader Flag(bool* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    try {
      *aTarget = aNode.as<bool>();
      return "";
    } catch (const YAML::Exception&) {
      return "true or false";
    }
  };
}

scalar_reader Grants(grant_method* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    std::string value = aNode.as<std::string>("");
    *aTarget = value == "direct" ? grant_method::kDirect : grant_method::kResponse;
    return value == "direct" || value == "heartbeat" ? "" : "heartbeat or direct";
  };
}

scalar_reader Addresses(std::vector<common::endpoint>* aTarget)
{
  return [aTarget](const YAML::Node& aNode) -> std::string {
    for (const YAML::Node& item : aNode) {
      aTarget->emplace_back(item.as<std::string>(""));
      if (!connection::http::ParseEndpoint(aTarget->back()).has_value()) {
        return "a list of IP:PORT";
      }
    }
    return "";
  };
}

constexpr double kMillisecond = 1;
constexpr double kSecond = 1000;

known_settings Known(sidecar_settings* aSettings)
{
  sidecar_listeners& listen = aSettings->listen;
  sidecar_bounds& bounds = aSettings->bounds;
  return {
    { "vm", { true, Text(&aSettings->vm) } },
    { "zone", { true, Id(&aSettings->zone) } },
    { "service", { true, Id(&aSettings->service) } },
    { "upstream", { true, Address(&aSettings->upstream) } },
    { "platform", { true, Address(&aSettings->platform) } },
    { "announce_period_ms", { true, Millis(&aSettings->announcePeriod, kMillisecond) } },
    { "grants", { false, Grants(&aSettings->grants) } },
    { "first_start", { false, Flag(&aSettings->firstStart) } },
    { "seeds", { false, Addresses(&aSettings->seeds) } },
    { "listen.callers", { true, Address(&listen.callers) } },
    { "listen.forwards", { true, Address(&listen.forwards) } },
    { "listen.control", { true, Address(&listen.control) } },
    { "listen.readiness", { true, Address(&listen.readiness) } },
    { "listen.metrics", { false, Address(&listen.metrics) } },
    { "listen.announcements", { true, Address(&listen.announcements) } },
    { "advertise.forwards", { false, Address(&aSettings->advertise.forwards) } },
    { "advertise.control", { false, Address(&aSettings->advertise.control) } },
    { "bounds.grace_s", { false, Millis(&bounds.grace, kSecond) } },
    { "bounds.drain_ms", { false, Millis(&bounds.drain, kMillisecond) } },
    { "bounds.config_apply_ms", { false, Millis(&bounds.configApply, kMillisecond) } },
    { "bounds.retry_ratio", { false, Number(&bounds.retryRatio) } },
    { "bounds.retry_slack", { false, Number(&bounds.retrySlack) } },
    { "bounds.retry_window_s", { false, Millis(&bounds.retryWindow, kSecond) } },
    { "bounds.max_hold_ms", { false, Millis(&bounds.maxHold, kMillisecond) } },
    { "bounds.cold_overage", { false, Number(&bounds.coldOverage) } },
    { "bounds.cold_slack", { false, Number(&bounds.coldSlack) } },
    { "bounds.evacuate_ms", { false, Millis(&bounds.evacuate, kMillisecond) } },
    { "link_mbps", { false, Number(&aSettings->linkMbps) } },
  };
}

void Collect(const YAML::Node& aNode, const std::string& aPrefix,
             std::map<std::string, YAML::Node>* aValues)
{
  for (const auto& item : aNode) {
    std::string name = aPrefix + item.first.as<std::string>("");
    if (item.second.IsMap()) {
      Collect(item.second, name + ".", aValues);
    } else {
      (*aValues)[name] = item.second;
    }
  }
}

} // namespace

sidecar_settings ParseSidecarSettings(const std::string& aText, const std::string& aSource,
                                      common::findings* aFindings)
{
  sidecar_settings settings;
  std::map<std::string, YAML::Node> values;
  try {
    Collect(YAML::Load(aText), "", &values);
  } catch (const YAML::Exception& failure) {
    aFindings->Add({ aSource, failure.mark.line + 1, "", "not YAML: " + failure.msg });
    return settings;
  }
  known_settings known = Known(&settings);
  for (const auto& [name, node] : values) {
    auto found = known.find(name);
    if (found == known.end()) {
      aFindings->Add({ aSource, node.Mark().line + 1, name, "unknown setting; remove it" });
      continue;
    }
    std::string expected = found->second.read(node);
    if (!expected.empty()) {
      aFindings->Add({ aSource, node.Mark().line + 1, name, "expected " + expected });
    }
  }
  for (const auto& [name, setting] : known) {
    if (setting.required && values.count(name) == 0) {
      aFindings->Add({ aSource, 0, name, "missing; add it" });
    }
  }
  return settings;
}

sidecar_settings LoadSidecarSettings(const std::string& aPath, common::findings* aFindings)
{
  auto text = common::ReadTextFile(aPath);
  if (!text.has_value()) {
    aFindings->Add({ aPath, 0, "", text.assume_error().message });
    return {};
  }
  return ParseSidecarSettings(text.assume_value(), aPath, aFindings);
}

} // namespace bamboograde::process::sidecar
