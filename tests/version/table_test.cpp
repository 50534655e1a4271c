#include "version/table_rows.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::MakeRow;

Test(table, first_matching_row_applies)
{
  auto hot = MakeRow("hot");
  hot.keyFrom = "m";
  hot.keyTo = "n";
  auto table = tests::MakeTable({ hot, MakeRow("drivers", "driver"), MakeRow("others") });
  common::service_name routes("routes");
  cr_assert_eq(table->Match(routes, common::caller_class("driver"), "munich")->id.Str(), "hot");
  cr_assert_eq(table->Match(routes, common::caller_class("driver"), "n")->id.Str(), "drivers");
  cr_assert_eq(table->Match(routes, common::caller_class("office"), "a")->id.Str(), "others");
  cr_assert_null(table->Match(common::service_name("other"), common::caller_class("x"), "a"));
}

Test(table, all_findings_are_reported_together_with_row_and_column)
{
  auto bad = MakeRow("a", "driver", -1, -5);
  bad.keyFrom = "z";
  bad.keyTo = "b";
  bad.prefers = "speed";
  auto found = version::CheckRows("t.csv", { bad, MakeRow("a", "driver") });
  std::string text = found.Format();
  for (const char* expected : { "t.csv:1: key_to:", "t.csv:1: weight:", "t.csv:1: limit:",
                                "t.csv:1: prefers:", "t.csv:2: row:", "needs a last row" }) {
    cr_assert(text.find(expected) != std::string::npos, "missing %s in:\n%s", expected,
              text.c_str());
  }
}

Test(table, unreachable_row_is_a_finding)
{
  auto found = version::CheckRows("t", { MakeRow("all"), MakeRow("drivers", "driver") });
  cr_assert(found.Format().find("t:2: row: Row 'all' above matches all its requests") !=
            std::string::npos);
}
