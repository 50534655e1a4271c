#include "common/files.h"

#include <fstream>
#include <sstream>

namespace bamboograde::common {

result<std::string> ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return error{ error_code::kNotFound, "The file can not be read; name a readable file." };
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace bamboograde::common
