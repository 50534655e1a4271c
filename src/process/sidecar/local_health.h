// How far this daemon can trust that others are silent.
//
// When several daemons seem to fall silent at once, it is more likely that this daemon's own link
// or processor is slow. Each new silence makes it wait longer before it believes the next one, and
// each answer shortens that again.
//
// Load pattern: a slow link that is full for a second, a daemon that is starved of processor time.
#pragma once

#include "common/clock.h"

namespace bamboograde::process::sidecar {

class local_health
{
public:
  // A daemon that used to answer did not.
  void OnSilence();
  void OnAnswer();
  // aTimeout, as long as it has to be now.
  common::milliseconds Stretch(common::milliseconds aTimeout) const;

private:
  unsigned mDoubts = 0;
};

} // namespace bamboograde::process::sidecar
