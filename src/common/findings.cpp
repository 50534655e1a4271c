#include "common/findings.h"

namespace bamboograde::common {

std::string findings::Format() const
{
  std::string text;
  for (const finding& item : mItems) {
    text += item.source;
    if (item.line > 0) {
      text += ":" + std::to_string(item.line);
    }
    text += ": ";
    if (!item.key.empty()) {
      text += item.key + ": ";
    }
    text += item.message + "\n";
  }
  return text;
}

} // namespace bamboograde::common
