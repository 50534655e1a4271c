// Log of the requests that an upstream ran, for history checking: one JSON object per line.
#pragma once

#include "common/json.h"

#include <cstdio>

namespace bamboograde::standins::upstream {

class run_log
{
public:
  // With an empty path, nothing is written.
  explicit run_log(const std::string& aPath);
  ~run_log();
  run_log(const run_log&) = delete;
  run_log& operator=(const run_log&) = delete;
  void Write(const common::json& aEntry);

private:
  FILE* mFile = nullptr;
};

} // namespace bamboograde::standins::upstream
