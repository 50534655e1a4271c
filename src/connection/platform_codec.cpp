#include "connection/platform_codec.h"

namespace bamboograde::connection {

using common::json;

json EncodeTransaction(const transaction& aTransaction)
{
  json conditions = json::array();
  for (const row_condition& condition : aTransaction.conditions) {
    conditions.push_back({ { "row", condition.name }, { "version", condition.version.Value() } });
  }
  json writes = json::array();
  for (const row_write& write : aTransaction.writes) {
    writes.push_back({ { "row", write.name }, { "value", write.value } });
  }
  return { { "operation", aTransaction.operation.Str() },
           { "conditions", std::move(conditions) },
           { "writes", std::move(writes) } };
}

transaction DecodeTransaction(const json& aValue)
{
  transaction decoded;
  decoded.operation = common::operation_id(common::GetString(aValue, "operation"));
  for (const json& item : common::GetArray(aValue, "conditions")) {
    decoded.conditions.push_back(
      { common::GetString(item, "row"), common::row_version(common::GetNumber(item, "version")) });
  }
  for (const json& item : common::GetArray(aValue, "writes")) {
    decoded.writes.push_back({ common::GetString(item, "row"), item.value("value", json()) });
  }
  return decoded;
}

json EncodeRow(const platform_row& aRow)
{
  return { { "row", aRow.name }, { "version", aRow.version.Value() }, { "value", aRow.value } };
}

platform_row DecodeRow(const json& aValue)
{
  platform_row row;
  row.name = common::GetString(aValue, "row");
  row.version = common::row_version(common::GetNumber(aValue, "version"));
  row.value = aValue.value("value", json());
  return row;
}

} // namespace bamboograde::connection
