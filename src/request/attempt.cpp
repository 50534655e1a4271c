#include "request/attempt.h"

#include <array>

namespace bamboograde::request {

namespace {

constexpr std::array<std::string_view, 7> kRefusalNames = { "overloaded",    "no_upstream",
                                                            "not_owner",     "unreachable",
                                                            "crash_suspect", "upstream_refused",
                                                            "busy" };

int64_t RemainingMicros(common::boot_time aDeadline, common::boot_time aNow)
{
  return std::chrono::duration_cast<common::microseconds>(aDeadline - aNow).count();
}

int64_t GetSigned(const common::json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_number_integer() ? found->get<int64_t>() : 0;
}

} // namespace

std::string_view RefusalName(attempt_refusal_reason aReason)
{
  return kRefusalNames[size_t(aReason)];
}

common::json EncodeFacts(const request_facts& aFacts, common::boot_time aNow)
{
  common::json value = { { "id", aFacts.id.Str() },
                         { "service", aFacts.service.Str() },
                         { "origin", aFacts.origin.Str() },
                         { "work", aFacts.work },
                         { "rank", aFacts.rank },
                         { "idempotent", aFacts.idempotent },
                         { "left_us", RemainingMicros(aFacts.deadline, aNow) },
                         { "target_us", RemainingMicros(aFacts.target, aNow) },
                         { "fingerprint", aFacts.fingerprint },
                         { "map", common::EncodeVersion(aFacts.mapVersion) } };
  if (aFacts.key.has_value()) {
    value["key"] = *aFacts.key;
  }
  if (aFacts.namedLimit.has_value()) {
    value["named_limit"] = { { "per_second", aFacts.namedLimit->PerSecond() },
                             { "upstream", aFacts.namedBy.id.Str() },
                             { "started_ms", aFacts.namedBy.startedMs } };
  }
  if (aFacts.onlyIfFree) {
    value["only_if_free"] = true;
  }
  if (aFacts.usualTime.count() > 0) {
    value["usual_us"] = aFacts.usualTime.count();
  }
  if (aFacts.bulk) {
    value["bulk"] = true;
  }
  return value;
}

request_facts DecodeFacts(const common::json& aValue, common::boot_time aNow)
{
  request_facts facts;
  facts.id = common::request_id(common::GetString(aValue, "id"));
  facts.service = common::service_name(common::GetString(aValue, "service"));
  facts.origin = common::service_name(common::GetString(aValue, "origin"));
  facts.work = common::GetString(aValue, "work");
  facts.rank = unsigned(common::GetNumber(aValue, "rank"));
  facts.idempotent = common::GetBool(aValue, "idempotent");
  facts.deadline = aNow + common::microseconds(GetSigned(aValue, "left_us"));
  facts.target = aNow + common::microseconds(GetSigned(aValue, "target_us"));
  facts.fingerprint = common::GetNumber(aValue, "fingerprint");
  facts.mapVersion = common::GetVersion(aValue, "map");
  facts.onlyIfFree = common::GetBool(aValue, "only_if_free");
  facts.usualTime = common::microseconds(GetSigned(aValue, "usual_us"));
  facts.bulk = common::GetBool(aValue, "bulk");
  if (aValue.contains("named_limit")) {
    const common::json& limit = common::GetObject(aValue, "named_limit");
    facts.namedLimit = request_rate(common::GetReal(limit, "per_second"));
    facts.namedBy = { version::upstream_id(common::GetString(limit, "upstream")),
                      common::GetNumber(limit, "started_ms") };
  }
  if (aValue.contains("key")) {
    facts.key = uint32_t(common::GetNumber(aValue, "key"));
  }
  return facts;
}

common::json EncodeRefusal(const attempt_refusal& aRefusal)
{
  common::json value = { { "reason", RefusalName(aRefusal.reason) },
                         { "retry_after_us", aRefusal.retryAfter.count() } };
  if (aRefusal.completion.count() > 0) {
    value["completion_us"] = aRefusal.completion.count();
  }
  return value;
}

attempt_refusal DecodeRefusal(const common::json& aValue)
{
  attempt_refusal refusal;
  std::string reason = common::GetString(aValue, "reason");
  for (size_t i = 0; i < kRefusalNames.size(); ++i) {
    if (reason == kRefusalNames[i]) {
      refusal.reason = attempt_refusal_reason(i);
    }
  }
  refusal.retryAfter = common::microseconds(GetSigned(aValue, "retry_after_us"));
  refusal.completion = common::microseconds(GetSigned(aValue, "completion_us"));
  return refusal;
}

common::json EncodeLoad(const load_report& aReport)
{
  return { aReport.running, aReport.waiting, aReport.limit, aReport.serviceTime.count() };
}

load_report DecodeLoad(const common::json& aValue)
{
  load_report report;
  bool valid = aValue.is_array() && aValue.size() == 4;
  for (const common::json& number : aValue) {
    valid = valid && number.is_number_unsigned();
  }
  if (valid) {
    report.running = aValue[0].get<unsigned>();
    report.waiting = aValue[1].get<unsigned>();
    report.limit = aValue[2].get<unsigned>();
    report.serviceTime = common::microseconds(aValue[3].get<int64_t>());
  }
  return report;
}

} // namespace bamboograde::request
