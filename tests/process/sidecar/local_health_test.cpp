#include "process/sidecar/local_health.h"

#include <criterion/criterion.h>

using namespace bamboograde;

// If one silence had a lasting effect, the next failure of a daemon would be detected late.
Test(local_health, one_silent_daemon_does_not_lengthen_the_timeout_after_a_response)
{
  process::sidecar::local_health health;
  common::milliseconds timeout{ 150 };
  cr_assert(health.ScaleTimeout(timeout) == timeout);
  health.OnSilence();
  health.OnResponse();
  cr_assert(health.ScaleTimeout(timeout) == timeout);
}

// A daemon with a slow link must not count all its peers as failed, and must recover its normal
// timeouts.
Test(local_health, many_silent_daemons_lengthen_the_timeout_up_to_a_bound)
{
  process::sidecar::local_health health;
  common::milliseconds timeout{ 150 };
  for (int i = 0; i < 20; ++i) {
    health.OnSilence();
  }
  cr_assert(health.ScaleTimeout(timeout) == 4 * timeout);
  for (int i = 0; i < 3; ++i) {
    health.OnResponse();
  }
  cr_assert(health.ScaleTimeout(timeout) == timeout);
}
