// Guards against witnesses that fail together with the holder or with each other because they share
// an availability zone, against witnesses in another region although there are enough in the
// holder's, and against sets of two, which have no majority once a member is lost.

#include "process/lease/witness_choice.h"

#include <criterion/criterion.h>
#include <set>

using namespace bamboograde;
using namespace bamboograde::process::lease;

namespace {

witness_candidate Candidate(int aIndex, const std::string& aZone, const std::string& aRegion = "r")
{
  version::witness_ref ref{ common::endpoint("d" + std::to_string(aIndex)), common::boot_id("b") };
  return { ref, aRegion, common::zone_name(aZone), 0 };
}

} // namespace

Test(witness_choice, witnesses_are_in_zones_other_than_the_holders)
{
  common::seeded_random random(1);
  std::vector<witness_candidate> others;
  others.reserve(12);
  for (int i = 0; i < 12; ++i) {
    others.push_back(Candidate(i, "z" + std::to_string(i % 4)));
  }
  for (int round = 0; round < 50; ++round) {
    auto chosen = ChooseWitnesses(Candidate(99, "z0"), others, {}, random);
    std::set<std::string> zones;
    for (const auto& ref : chosen) {
      int index = std::stoi(ref.control.Str().substr(1));
      zones.insert("z" + std::to_string(index % 4));
    }
    cr_assert_eq(zones.size(), 3U);
    cr_assert_not(zones.contains("z0"));
  }
}

Test(witness_choice, own_region_comes_first)
{
  common::seeded_random random(1);
  std::vector<witness_candidate> others = { Candidate(0, "za", "far"), Candidate(1, "zb", "far"),
                                            Candidate(2, "zc"), Candidate(3, "zc"),
                                            Candidate(4, "zd") };
  auto chosen = ChooseWitnesses(Candidate(99, "zc"), others, {}, random);
  for (const auto& ref : chosen) {
    cr_assert(ref.control.Str() >= "d2", "%s is in another region", ref.control.Str().c_str());
  }
}

Test(witness_choice, small_sites_fall_back_to_the_holder_itself)
{
  common::seeded_random random(1);
  auto self = Candidate(99, "z0");
  cr_assert_eq(ChooseWitnesses(self, {}, {}, random).size(), 1U);
  cr_assert_eq(ChooseWitnesses(self, { Candidate(0, "z1") }, {}, random).size(), 1U);
  auto three = ChooseWitnesses(self, { Candidate(0, "z1"), Candidate(1, "z2") }, {}, random);
  cr_assert_eq(three.size(), 3U);
}
