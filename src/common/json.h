// Helpers for the JSON library that report errors by value instead of by exceptions.
#pragma once

#include "common/error.h"
#include "common/ids.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace bamboograde::common {

using json = nlohmann::json;

// Parses text. Returns kInvalidInput if it is not valid JSON.
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
// Serializes a value. Invalid UTF-8 is replaced instead of raising an exception.
std::string Dump(const json& aValue, int aIndent = -1);

} // namespace bamboograde::common
