// Local health score: how far this daemon can trust its own failure detection.
//
// If several daemons seem to be silent at once, this daemon's own link or processor is more likely
// to be slow. Each newly silent peer lengthens the ping timeouts, and each response shortens them
// again.
//
// Typical causes: a slow link that is saturated for a second, or a daemon starved of CPU time.
#pragma once

#include "common/clock.h"

namespace bamboograde::process::sidecar {

class local_health
{
public:
  // A peer that was not silent before did not respond.
  void OnSilence();
  void OnResponse();
  // aTimeout, lengthened according to the score.
  common::milliseconds ScaleTimeout(common::milliseconds aTimeout) const;

private:
  unsigned mScore = 0;
};

} // namespace bamboograde::process::sidecar
