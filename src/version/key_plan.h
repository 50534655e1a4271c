// Decides how keys are spread over owners.
#pragma once

#include "version/key_load.h"

namespace bamboograde::version {

struct heir
{
  std::string vm;
  // Requests that its upstream can run at the same time.
  unsigned slots = 1;
  // Share of its slots that is in use or asked for.
  double use = 0;
};

struct key_assignment
{
  key_range range;
  std::string vm;
};

// Cuts the ranges into consecutive pieces, so that each heir gets load in proportion to its slots.
// aLoad may be null; each key then weighs the same. aHeirs must not be empty.
std::vector<key_assignment> SpreadKeys(const std::vector<key_range>& aRanges,
                                       const std::vector<heir>& aHeirs, const key_load* aLoad);

// Parts of the ranges that have about the wanted load together: one narrow range if there is one,
// else the heaviest ones that are not too heavy. A key that alone has more than that stays, and
// what is beside it goes. Empty when what can go has nearly no load.
std::vector<key_range> ChooseRanges(const std::vector<key_range>& aRanges, const key_load& aLoad,
                                    float aWanted);

// At most aMost of the heirs, the least used first. Spreading keys over few heirs keeps the number
// of ranges, and so the size of the map and of its changes, independent of the fleet's size.
std::vector<heir> LeastUsed(std::vector<heir> aHeirs, size_t aMost);

} // namespace bamboograde::version
