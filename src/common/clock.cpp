#include "common/clock.h"

#include <ctime>

namespace bamboograde::common {

boot_clock::time_point boot_clock::now()
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) + microseconds(value.tv_nsec / 1000));
}

boot_time system_clock_source::Now() const
{
  return boot_clock::now();
}

int64_t system_clock_source::UnixMs() const
{
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

int64_t ToMicros(boot_time aTime)
{
  return aTime.time_since_epoch().count();
}

boot_time FromMicros(int64_t aMicros)
{
  return boot_time(microseconds(aMicros));
}

int64_t MillisUntil(boot_time aDeadline, boot_time aNow)
{
  return std::chrono::floor<milliseconds>(aDeadline - aNow).count();
}

} // namespace bamboograde::common
