// Helpers for the JSON library that report errors by value instead of by exceptions.
#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace bamboograde::common {

using json = nlohmann::json;

// Longer times in messages are shortened to this.
constexpr milliseconds kMaxTimeSpan{ 24 * 60 * 60 * 1000 };

// Parses text. Returns kInvalidInput if it is not valid JSON or nested deeper than any message,
// since values are copied and serialized recursively.
result<json> ParseJson(std::string_view aText);

// Readers return the given default when the member is missing or of another type.
std::string GetString(const json& aObject, const char* aName, const std::string& aDefault = "");
uint64_t GetNumber(const json& aObject, const char* aName, uint64_t aDefault = 0);
double GetReal(const json& aObject, const char* aName, double aDefault = 0);
// Empty when the member is missing, of another type or out of range.
std::optional<unsigned> GetUnsigned(const json& aObject, const char* aName);
// A time in milliseconds, at least 0 and at most kMaxTimeSpan; 0 when the member is missing.
milliseconds GetMilliseconds(const json& aObject, const char* aName);
// A version encoded by EncodeVersion(); the default version when the member is missing or of
// another type.
row_version GetVersion(const json& aObject, const char* aName);
// A number, or an array of era and number unless the era is zero.
json EncodeVersion(const row_version& aVersion);
bool GetBool(const json& aObject, const char* aName, bool aDefault = false);
// An empty array when the member is missing or not an array.
const json& GetArray(const json& aObject, const char* aName);
// An empty object when the member is missing or not an object.
const json& GetObject(const json& aObject, const char* aName);
// Serializes a value. Invalid UTF-8 is replaced instead of raising an exception.
std::string Dump(const json& aValue, int aIndent = -1);

} // namespace bamboograde::common
