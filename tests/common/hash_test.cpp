#include "common/hash.h"

#include <criterion/criterion.h>

namespace common = bamboograde::common;

Test(hash, hexadecimal_text_survives_a_round_trip)
{
  for (uint64_t value : { uint64_t(0), uint64_t(1), uint64_t(0xdeadbeef), UINT64_MAX }) {
    uint64_t read = 1;
    cr_assert(common::FromHex(common::ToHex(value), &read));
    cr_assert_eq(read, value);
  }
}

Test(hash, malformed_hexadecimal_text_is_rejected)
{
  uint64_t value = 0;
  for (const char* text : { "", "xyz", "12345678901234567", "12g" }) {
    cr_assert_not(common::FromHex(text, &value), "'%s' was accepted", text);
  }
}

Test(hash, signatures_depend_on_secret_and_text)
{
  std::string signature = common::Sign("secret", "text", 24);
  cr_assert_eq(signature.size(), 24U);
  cr_assert(signature != common::Sign("other", "text", 24));
  cr_assert(signature != common::Sign("secret", "texu", 24));
}
