#include "process/sidecar/local_health.h"

#include <criterion/criterion.h>

using namespace bamboograde;

Test(local_health, one_silent_daemon_does_not_make_the_next_wait_long)
{
  process::sidecar::local_health health;
  common::milliseconds timeout{ 150 };
  cr_assert(health.ScaleTimeout(timeout) == timeout);
  health.OnSilence();
  health.OnAnswer();
  cr_assert(health.ScaleTimeout(timeout) == timeout);
}

Test(local_health, many_silences_at_once_stretch_the_timeouts_up_to_a_bound)
{
  process::sidecar::local_health health;
  common::milliseconds timeout{ 150 };
  for (int i = 0; i < 20; ++i) {
    health.OnSilence();
  }
  cr_assert(health.ScaleTimeout(timeout) == 4 * timeout);
  for (int i = 0; i < 3; ++i) {
    health.OnAnswer();
  }
  cr_assert(health.ScaleTimeout(timeout) == timeout);
}
