#include "request/gate_request.h"

#include "common/hash.h"

namespace bamboograde::request {

uint64_t Fingerprint(std::string_view aMethod, std::string_view aTarget, std::string_view aKey,
                     std::string_view aBody)
{
  std::string text;
  for (std::string_view part : { aMethod, aTarget, aKey }) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  text += common::ToHex(common::HashBytes(aBody));
  return common::HashBytes(text);
}

} // namespace bamboograde::request
