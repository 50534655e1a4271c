#include "version/table_codec.h"
#include "version/table_rows.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using tests::MakeRow;

namespace {

std::vector<version::table_row> SampleRows()
{
  auto quoted = MakeRow("with \"quotes\", and commas", "driver", 2.5, 40);
  quoted.keyFrom = "a,b";
  quoted.keyTo = "b";
  quoted.prefers = "balance";
  return { quoted, MakeRow("others") };
}

} // namespace

Test(table_codec, round_trip_through_each_format_keeps_all_rows)
{
  common::findings found;
  auto rows = SampleRows();
  cr_assert(version::ParseCsv(version::FormatCsv(rows), "csv", &found) == rows);
  cr_assert(version::ParseYaml(version::FormatYaml(rows), "yaml", &found) == rows);
  cr_assert(version::DecodeRows(version::EncodeRows(rows), "json", &found) == rows);
  cr_assert(found.Empty(), "%s", found.Format().c_str());
}

Test(table_codec, all_invalid_csv_cells_are_reported)
{
  common::findings found;
  version::ParseCsv("row,service,class,wight,weight,limit\na,routes,*,1,heavy,many\nb,routes\n",
                    "t.csv", &found);
  std::string text = found.Format();
  for (const char* expected :
       { "t.csv: wight:", "t.csv:1: weight:", "t.csv:1: limit:", "t.csv:2: The row has 2 cells" }) {
    cr_assert(text.find(expected) != std::string::npos, "missing %s in:\n%s", expected,
              text.c_str());
  }
}
