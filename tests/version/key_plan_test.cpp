#include "version/key_plan.h"

#include <criterion/criterion.h>

using namespace bamboograde;

Test(key_plan, least_used_successors_are_chosen)
{
  std::vector<version::successor> successors = {
    { "a", 6, 0.9 }, { "b", 6, 0.1 }, { "c", 6, 0.5 }, { "d", 6, 0.2 }
  };
  auto few = version::LeastUsed(successors, 2);
  cr_assert_eq(few.size(), 2U);
  cr_assert(few[0].vm == "b" && few[1].vm == "d");
  cr_assert_eq(version::LeastUsed(successors, 9).size(), 4U);
}

// An owner whose keys lie in many small ranges must be able to move some. None of the ranges alone
// has the target load; when only one range could be moved, the owner stayed overloaded while others
// were idle.
Test(key_plan, several_small_ranges_move_when_none_has_the_target_load)
{
  static version::key_load load;
  std::vector<version::key_range> ranges;
  for (uint32_t first = 0; first < 1000; first += 100) {
    ranges.push_back({ first, first + 49 });
    for (uint32_t key = first; key < first + 10; ++key) {
      load.Count(key);
    }
  }
  auto chosen = version::ChooseRangesToMove(ranges, load, 35);
  float moved = 0;
  for (const version::key_range& range : chosen) {
    moved += load.Sum(range);
  }
  cr_assert(moved >= 30 && moved <= 53, "%f", double(moved));
}

// Guards against a move that transfers the overload with the hot key, and against no move at all.
Test(key_plan, keys_next_to_a_hot_key_move_and_the_hot_key_stays)
{
  static version::key_load load;
  for (uint32_t key = 0; key < 200; ++key) {
    load.Count(key);
  }
  for (int i = 0; i < 300; ++i) {
    load.Count(100);
  }
  auto chosen = version::ChooseRangesToMove({ { 0, 199 } }, load, 180);
  float moved = 0;
  for (const version::key_range& range : chosen) {
    cr_assert_not(range.Contains(100));
    moved += load.Sum(range);
  }
  cr_assert_geq(moved, 162);
}

Test(key_plan, nothing_moves_when_one_key_has_nearly_all_load)
{
  static version::key_load load;
  load.Count(7);
  for (int i = 0; i < 1000; ++i) {
    load.Count(100);
  }
  cr_assert(version::ChooseRangesToMove({ { 0, 199 } }, load, 400).empty());
  cr_assert(version::ChooseRangesToMove({}, load, 400).empty());
  cr_assert(version::ChooseRangesToMove({ { 0, 199 } }, load, 0).empty());
}

Test(key_plan, one_range_is_divided_into_as_many_parts_as_successors)
{
  std::vector<version::successor> successors = { { "a", 6, 0 }, { "b", 6, 0 }, { "c", 6, 0 } };
  auto parts = version::AssignKeys({ { 1000, 1999 } }, successors, nullptr);
  cr_assert_eq(parts.size(), 3U);
  uint32_t keys = 0;
  for (const auto& part : parts) {
    keys += part.range.Size();
  }
  cr_assert_eq(keys, 1000U);
}
