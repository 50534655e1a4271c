#include "common/hash.h"

#include <charconv>
#include <glib.h>
#include <xxhash.h>

namespace bamboograde::common {

key_hash HashKey(std::string_view aKey)
{
  return key_hash(HashBytes(aKey));
}

uint64_t HashBytes(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::string ToHex(uint64_t aValue)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = kDigits[(aValue >> (4 * i)) & 15U];
  }
  return text;
}

bool FromHex(std::string_view aText, uint64_t* aValue)
{
  if (aText.empty() || aText.size() > 16) {
    return false;
  }
  const char* end = aText.data() + aText.size();
  auto [stop, code] = std::from_chars(aText.data(), end, *aValue, 16);
  return code == std::errc() && stop == end;
}

std::string Sign(std::string_view aSecret, std::string_view aText, size_t aDigits)
{
  char* digest = g_compute_hmac_for_data(
    G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(aSecret.data()), aSecret.size(),
    reinterpret_cast<const guchar*>(aText.data()), aText.size());
  std::string text(digest, aDigits);
  g_free(digest);
  return text;
}

} // namespace bamboograde::common
