// Reading of whole files.
#pragma once

#include "common/error.h"

namespace bamboograde::common {

// The file's text; the error says that it can not be read.
result<std::string> ReadTextFile(const std::string& aPath);

} // namespace bamboograde::common
