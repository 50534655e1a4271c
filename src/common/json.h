// Thin helpers over the JSON library, so that parsing never throws across an interface.
#pragma once

#include "common/error.h"
#include "common/ids.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace bamboograde::common {

using json = nlohmann::json;

// Parses text; the error names the reason.
result<json> ParseJson(std::string_view aText);

// Readers return the given default when the member is missing or of another type.
std::string GetString(const json& aObject, const char* aName, const std::string& aDefault = "");
uint64_t GetNumber(const json& aObject, const char* aName, uint64_t aDefault = 0);
double GetReal(const json& aObject, const char* aName, double aDefault = 0);
bool GetBool(const json& aObject, const char* aName, bool aDefault = false);
// An empty array when the member is missing or not an array.
const json& GetArray(const json& aObject, const char* aName);
// An empty object when the member is missing or not an object.
const json& GetObject(const json& aObject, const char* aName);
// Invalid UTF-8 is replaced, never thrown on.
std::string Dump(const json& aValue, int aIndent = -1);

} // namespace bamboograde::common
