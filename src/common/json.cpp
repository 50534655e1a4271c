#include "common/json.h"

#include <algorithm>
#include <limits>

namespace bamboograde::common {

namespace {

constexpr size_t kMaxNesting = 64;

// Whether arrays and objects are nested deeper than kMaxNesting.
bool IsNestedTooDeep(std::string_view aText)
{
  size_t depth = 0;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    char c = aText[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      depth -= depth > 0 ? 1 : 0;
    }
  }
  return false;
}

const json* Member(const json& aObject, const char* aName)
{
  if (!aObject.is_object()) {
    return nullptr;
  }
  auto found = aObject.find(aName);
  return found == aObject.end() ? nullptr : &*found;
}

} // namespace

result<json> ParseJson(std::string_view aText)
{
  if (IsNestedTooDeep(aText)) {
    return error{ error_code::kInvalidInput, "The text is nested too deep." };
  }
  json value = json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return error{ error_code::kInvalidInput, "The text is not valid JSON." };
  }
  return value;
}

std::string GetString(const json& aObject, const char* aName, const std::string& aDefault)
{
  const json* member = Member(aObject, aName);
  return member != nullptr && member->is_string() ? member->get<std::string>() : aDefault;
}

uint64_t GetNumber(const json& aObject, const char* aName, uint64_t aDefault)
{
  const json* member = Member(aObject, aName);
  return member != nullptr && member->is_number_unsigned() ? member->get<uint64_t>() : aDefault;
}

double GetReal(const json& aObject, const char* aName, double aDefault)
{
  const json* member = Member(aObject, aName);
  return member != nullptr && member->is_number() ? member->get<double>() : aDefault;
}

std::optional<unsigned> GetUnsigned(const json& aObject, const char* aName)
{
  const json* member = Member(aObject, aName);
  bool usable = member != nullptr && member->is_number_unsigned() &&
                member->get<uint64_t>() <= std::numeric_limits<unsigned>::max();
  return usable ? std::optional(member->get<unsigned>()) : std::nullopt;
}

milliseconds GetMilliseconds(const json& aObject, const char* aName)
{
  double longest = double(kMaxTimeSpan.count());
  return milliseconds(int64_t(std::clamp(GetReal(aObject, aName), 0.0, longest)));
}

row_version GetVersion(const json& aObject, const char* aName)
{
  const json* member = Member(aObject, aName);
  bool isPair = member != nullptr && member->is_array() && member->size() == 2 &&
                (*member)[0].is_number_unsigned() && (*member)[1].is_number_unsigned();
  if (isPair) {
    return { store_era((*member)[0].get<uint64_t>()), (*member)[1].get<uint64_t>() };
  }
  return row_version(GetNumber(aObject, aName));
}

json EncodeVersion(const row_version& aVersion)
{
  if (aVersion.Era() == store_era()) {
    return aVersion.Value();
  }
  return { aVersion.Era().Value(), aVersion.Value() };
}

bool GetBool(const json& aObject, const char* aName, bool aDefault)
{
  const json* member = Member(aObject, aName);
  return member != nullptr && member->is_boolean() ? member->get<bool>() : aDefault;
}

const json& GetArray(const json& aObject, const char* aName)
{
  static const json kEmpty = json::array();
  const json* member = Member(aObject, aName);
  return member != nullptr && member->is_array() ? *member : kEmpty;
}

const json& GetObject(const json& aObject, const char* aName)
{
  static const json kEmpty = json::object();
  if (!aObject.is_object()) {
    return kEmpty;
  }
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_object() ? *found : kEmpty;
}

std::string Dump(const json& aValue, int aIndent)
{
  return aValue.dump(aIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace bamboograde::common
