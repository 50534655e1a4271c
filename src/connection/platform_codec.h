// JSON encoding of the platform's protocol (docs/INTERFACE.md, "Platform").
#pragma once

#include "connection/platform_store.h"

namespace bamboograde::connection {

common::json EncodeTransaction(const transaction& aTransaction);
transaction DecodeTransaction(const common::json& aValue);
common::json EncodeRow(const platform_row& aRow);
platform_row DecodeRow(const common::json& aValue);

} // namespace bamboograde::connection
