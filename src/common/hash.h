// Hashing of keys into the 64-bit space that slices divide, and of request fingerprints.
#pragma once

#include "common/ids.h"

#include <string_view>

namespace bamboograde::common {

// XXH3 with a fixed seed: every daemon must hash a key to the same value.
key_hash HashKey(std::string_view aKey);
uint64_t HashBytes(std::string_view aBytes);
// Sixteen lower-case hexadecimal digits.
std::string ToHex(uint64_t aValue);
// Returns false when aText is not 1 to 16 hexadecimal digits.
bool FromHex(std::string_view aText, uint64_t* aValue);
// HMAC-SHA256 in hexadecimal, shortened to aDigits.
std::string Sign(std::string_view aSecret, std::string_view aText, size_t aDigits);

} // namespace bamboograde::common
