#include "process/settings.h"

#include "common/files.h"

#include <charconv>
#include <functional>
#include <map>
#include <set>
#include <yaml-cpp/yaml.h>

namespace bamboograde::process {

namespace {

// Parses a value and stores it in a setting. Returns an empty text, or a description of the valid
// values if the value is not valid.
using reader = std::function<std::string(const std::string&)>;

// Whether a key must be present, and how to read its value.
struct known_key
{
  bool required;
  reader read;
};

using known_keys = std::map<std::string, known_key>;

bool ParseUnsigned(const std::string& aText, uint64_t* aValue)
{
  const char* end = aText.data() + aText.size();
  auto [stop, code] = std::from_chars(aText.data(), end, *aValue);
  return code == std::errc() && stop == end && !aText.empty();
}

template<typename target>
reader ReadText(target* aTarget)
{
  return [aTarget](const std::string& aText) -> std::string {
    *aTarget = target(aText);
    return aText.empty() ? "Text is expected." : "";
  };
}

reader ReadKey(std::string* aTarget)
{
  constexpr size_t kMinKeyLength = 16;
  return [aTarget](const std::string& aText) -> std::string {
    *aTarget = aText;
    return aText.size() < kMinKeyLength ? "A key of at least 16 characters is expected." : "";
  };
}

reader ReadEndpoint(common::endpoint* aTarget)
{
  return [aTarget](const std::string& aText) -> std::string {
    size_t colon = aText.rfind(':');
    uint64_t port = 0;
    bool ok = colon != std::string::npos && colon > 0 &&
              ParseUnsigned(aText.substr(colon + 1), &port) && port > 0 && port < 65536 &&
              aText.find_first_not_of("0123456789.") == colon;
    *aTarget = common::endpoint(aText);
    return ok ? "" : "IP:PORT is expected, such as 10.0.0.7:7100.";
  };
}

template<typename target>
reader ReadNumber(target* aTarget, uint64_t aMinimum, uint64_t aMaximum)
{
  return [=](const std::string& aText) -> std::string {
    uint64_t value = 0;
    bool ok = ParseUnsigned(aText, &value) && value >= aMinimum && value <= aMaximum;
    if (ok) {
      *aTarget = target(value);
    }
    return ok ? ""
              : "A whole number from " + std::to_string(aMinimum) + " to " +
                  std::to_string(aMaximum) + " is expected.";
  };
}

reader ReadShare(double* aTarget)
{
  return [aTarget](const std::string& aText) -> std::string {
    const char* end = aText.data() + aText.size();
    auto [stop, code] = std::from_chars(aText.data(), end, *aTarget);
    bool ok = code == std::errc() && stop == end && *aTarget >= 0 && *aTarget < 0.5;
    return ok ? "" : "A share from 0 to 0.5 is expected.";
  };
}

reader ReadChoice(std::string* aTarget, const std::string& aFirst, const std::string& aSecond)
{
  return [=](const std::string& aText) -> std::string {
    *aTarget = aText;
    return aText == aFirst || aText == aSecond
             ? ""
             : "'" + aFirst + "' or '" + aSecond + "' is expected.";
  };
}

known_keys MakeKnownKeys(settings* aOut)
{
  listen_settings& listen = aOut->listen;
  limit_settings& limits = aOut->limits;
  lease::lease_terms& terms = aOut->leaseTerms;
  return {
    { "vm", { true, ReadText(&aOut->vm) } },
    { "region", { false, ReadText(&aOut->region) } },
    { "zone", { true, ReadText(&aOut->zone) } },
    { "service", { true, ReadText(&aOut->service) } },
    { "listen.caller", { true, ReadEndpoint(&listen.caller) } },
    { "listen.peer", { true, ReadEndpoint(&listen.peer) } },
    { "listen.control", { true, ReadEndpoint(&listen.control) } },
    { "listen.operator", { true, ReadEndpoint(&listen.operators) } },
    { "listen.upstream", { true, ReadEndpoint(&listen.upstream) } },
    { "platform", { true, ReadEndpoint(&aOut->platform) } },
    { "keys.peer", { true, ReadKey(&aOut->peerKey) } },
    { "keys.operator", { true, ReadKey(&aOut->operatorKey) } },
    { "workers", { false, ReadNumber(&aOut->workers, 1, 64) } },
    { "slices", { false, ReadNumber(&aOut->initialSlices, 1, 65536) } },
    { "limits.max_body_bytes", { false, ReadNumber(&limits.maxBodyBytes, 1, 1 << 30) } },
    { "limits.default_timeout_ms", { false, ReadNumber(&limits.defaultTimeout, 1, 3600000) } },
    { "limits.max_timeout_ms", { false, ReadNumber(&limits.maxTimeout, 1, 3600000) } },
    { "limits.max_queued", { false, ReadNumber(&limits.maxQueued, 1, 1000000) } },
    { "limits.upstream_connections", { false, ReadNumber(&limits.upstreamConnections, 1, 65536) } },
    { "limits.request_timeout_s", { false, ReadNumber(&limits.requestTimeoutSeconds, 1, 3600) } },
    { "lease.term_ms", { false, ReadNumber(&terms.term, 100, 60000) } },
    { "lease.renew_ms", { false, ReadNumber(&terms.renewPeriod, 10, 30000) } },
    { "lease.max_drift", { false, ReadShare(&terms.maxDrift) } },
    { "log.format", { false, ReadChoice(&aOut->logFormat, "text", "json") } },
  };
}

// Reads the settings of a YAML document and reports keys that are unknown, repeated or missing.
class settings_reader
{
public:
  settings_reader(std::string aSource, known_keys aKeys, common::findings* aFindings)
    : mSource(std::move(aSource))
    , mKeys(std::move(aKeys))
    , mFindings(aFindings)
  {
  }

  void Read(const YAML::Node& aRoot)
  {
    if (!aRoot.IsMap()) {
      mFindings->Add({ mSource, 1, "", "A mapping of settings is expected." });
      return;
    }
    ReadMap(aRoot, "");
    for (const auto& [name, key] : mKeys) {
      if (key.required && !mSeen.contains(name)) {
        mFindings->Add({ mSource, 0, name, "This setting is required and missing." });
      }
    }
  }

private:
  bool IsGroup(const std::string& aName) const
  {
    auto next = mKeys.lower_bound(aName + ".");
    return next != mKeys.end() && next->first.starts_with(aName + ".");
  }

  void ReadMap(const YAML::Node& aMap, const std::string& aPrefix)
  {
    for (const auto& item : aMap) {
      std::string name = aPrefix + item.first.Scalar();
      int line = item.first.Mark().line + 1;
      if (item.second.IsMap() && IsGroup(name)) {
        ReadMap(item.second, name + ".");
        continue;
      }
      auto known = mKeys.find(name);
      if (known == mKeys.end()) {
        mFindings->Add({ mSource, line, name, "There is no such setting; see docs/SETTINGS.md." });
        continue;
      }
      if (!mSeen.insert(name).second) {
        mFindings->Add({ mSource, line, name, "This setting is given twice." });
      }
      std::string expected = item.second.IsScalar() ? known->second.read(item.second.Scalar())
                                                    : "One value is expected.";
      if (!expected.empty()) {
        mFindings->Add({ mSource, line, name, expected });
      }
    }
  }

  std::string mSource;
  known_keys mKeys;
  common::findings* mFindings;
  std::set<std::string> mSeen;
};

} // namespace

settings ParseSettings(const std::string& aText, const std::string& aSource,
                       common::findings* aFindings)
{
  settings out;
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& problem) {
    aFindings->Add({ aSource, problem.mark.line + 1, "", "The file is not YAML: " + problem.msg });
    return out;
  }
  settings_reader(aSource, MakeKnownKeys(&out), aFindings).Read(root);
  // Several renewals must be possible within a term, so that the lease survives a failed one.
  if (out.leaseTerms.renewPeriod * 3 > out.leaseTerms.term) {
    aFindings->Add(
      { aSource, 0, "lease.renew_ms", "At most a third of lease.term_ms is expected." });
  }
  return out;
}

settings LoadSettings(const std::string& aPath, common::findings* aFindings)
{
  auto text = common::ReadTextFile(aPath);
  if (!text.has_value()) {
    aFindings->Add({ aPath, 0, "", text.assume_error().message });
    return {};
  }
  return ParseSettings(text.assume_value(), aPath, aFindings);
}

} // namespace bamboograde::process
