#include "common/histogram.h"

#include <criterion/criterion.h>

using bamboograde::common::histogram;
using bamboograde::common::microseconds;

Test(histogram, percentiles_stay_within_the_error_bound)
{
  histogram values;
  for (int i = 1; i <= 100000; ++i) {
    values.Record(microseconds(i));
  }
  for (double percent : { 1.0, 50.0, 90.0, 99.0, 99.9 }) {
    double exact = percent * 1000;
    auto estimate = double(values.Percentile(percent).count());
    cr_assert(estimate >= exact && estimate <= exact * 1.0625 + 1, "p%f: %f", percent, estimate);
  }
  cr_assert_eq(values.Max().count(), 100000);
}

Test(histogram, merging_adds_counts_and_keeps_the_maximum)
{
  histogram left;
  histogram right;
  left.Record(microseconds(10));
  right.Record(microseconds(5000));
  left.Merge(right);
  cr_assert_eq(left.Count(), 2U);
  cr_assert_eq(left.Max().count(), 5000);
  cr_assert_eq(left.Sum().count(), 5010);
}
