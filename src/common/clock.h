// Clocks. Decision logic takes the clock as an argument, so that tests can simulate time.
#pragma once

#include <chrono>
#include <cstdint>

namespace bamboograde::common {

// A monotonic clock that also counts while the machine is suspended (CLOCK_BOOTTIME).
// All processes on one VM read the same value, so deadlines can be passed between them.
struct boot_clock
{
  using rep = int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
  static time_point now();
};

using boot_time = boot_clock::time_point;
using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

// Source of the current time.
class clock_source
{
public:
  virtual ~clock_source() = default;
  virtual boot_time Now() const = 0;
  // Wall-clock milliseconds since 1970, for records that people read. Never used for decisions.
  virtual int64_t UnixMs() const = 0;
};

// Reads the machine's clocks.
class system_clock_source : public clock_source
{
public:
  boot_time Now() const override;
  int64_t UnixMs() const override;
};

// Microseconds since the clock's origin, as sent to processes on the same VM.
int64_t ToMicros(boot_time aTime);
boot_time FromMicros(int64_t aMicros);
// Whole milliseconds from aNow until aDeadline; negative when it has passed.
int64_t MillisUntil(boot_time aDeadline, boot_time aNow);

} // namespace bamboograde::common
