// Interface of the decoder for the configuration document that operators write.
#pragma once

#include "common/error.h"
#include "common/json.h"
#include "version/route_config.h"

namespace bamboograde::version {

class config_decoder
{
public:
  virtual ~config_decoder() = default;
  virtual common::result<route_config_ptr> Decode(const common::json& aValue) const = 0;
  // The availability zone that a row of this name in the operator's table evacuates; empty if the
  // row has another meaning.
  virtual common::zone_name EvacuatedZone(const std::string& aRow) const = 0;
};

} // namespace bamboograde::version
