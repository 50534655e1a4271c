#include "common/random.h"

#include <glib.h>

namespace bamboograde::common {

uint64_t seeded_random::Below(uint64_t aBound)
{
  return std::uniform_int_distribution<uint64_t>(0, aBound - 1)(mEngine);
}

double seeded_random::Unit()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
}

uint64_t EntropySeed()
{
  std::random_device device;
  return (uint64_t(device()) << 32) | device();
}

std::string MakeUniqueId()
{
  char* text = g_uuid_string_random();
  std::string id;
  for (const char* c = text; *c != '\0'; ++c) {
    if (*c != '-') {
      id.push_back(*c);
    }
  }
  g_free(text);
  return id;
}

} // namespace bamboograde::common
