#include "version/session_row.h"

#include "common/hash.h"

namespace bamboograde::version {

using common::json;

std::string SessionRowName(const common::service_name& aService, const common::session_id& aSession)
{
  return kSessionPrefix + aService.Str() + "/" + aSession.Str();
}

json EncodeSlices(const std::vector<owned_slice>& aSlices)
{
  json list = json::array();
  for (const owned_slice& slice : aSlices) {
    list.push_back(json::array({ common::ToHex(slice.range.first.Value()),
                                 common::ToHex(slice.range.last.Value()), slice.epoch.Value() }));
  }
  return list;
}

std::vector<owned_slice> DecodeSlices(const json& aValue)
{
  std::vector<owned_slice> slices;
  if (!aValue.is_array()) {
    return slices;
  }
  for (const json& item : aValue) {
    bool wellFormed = item.is_array() && item.size() == 3 && item[0].is_string() &&
                      item[1].is_string() && item[2].is_number_unsigned();
    uint64_t first = 0;
    uint64_t last = 0;
    if (wellFormed && common::FromHex(item[0].get<std::string>(), &first) &&
        common::FromHex(item[1].get<std::string>(), &last)) {
      slices.push_back({ { common::key_hash(first), common::key_hash(last) },
                         common::slice_epoch(item[2].get<uint64_t>()) });
    }
  }
  return slices;
}

json EncodeSession(const session_row& aRow)
{
  json witnesses = json::array();
  for (const witness_ref& witness : aRow.witnesses) {
    witnesses.push_back({ { "control", witness.control.Str() }, { "boot", witness.boot.Str() } });
  }
  return { { "service", aRow.service.Str() },
           { "session", aRow.session.Str() },
           { "region", aRow.region },
           { "zone", aRow.zone.Str() },
           { "boot", aRow.boot.Str() },
           { "caller", aRow.caller.Str() },
           { "peer", aRow.peer.Str() },
           { "control", aRow.control.Str() },
           { "draining", aRow.draining },
           { "witnesses", std::move(witnesses) },
           { "slices", EncodeSlices(aRow.slices) } };
}

session_row_ptr DecodeSession(const json& aValue)
{
  boost::intrusive_ptr<session_row> row(new session_row());
  row->service = common::service_name(common::GetString(aValue, "service"));
  row->session = common::session_id(common::GetString(aValue, "session"));
  if (row->service.Empty() || row->session.Empty()) {
    return nullptr;
  }
  row->region = common::GetString(aValue, "region");
  row->zone = common::zone_name(common::GetString(aValue, "zone"));
  row->boot = common::boot_id(common::GetString(aValue, "boot"));
  row->caller = common::endpoint(common::GetString(aValue, "caller"));
  row->peer = common::endpoint(common::GetString(aValue, "peer"));
  row->control = common::endpoint(common::GetString(aValue, "control"));
  row->draining = common::GetBool(aValue, "draining");
  for (const json& item : common::GetArray(aValue, "witnesses")) {
    row->witnesses.push_back({ common::endpoint(common::GetString(item, "control")),
                               common::boot_id(common::GetString(item, "boot")) });
  }
  row->slices = DecodeSlices(common::GetArray(aValue, "slices"));
  return row;
}

std::vector<owned_slice> DivideHashSpace(size_t aCount)
{
  std::vector<owned_slice> slices;
  uint64_t step = UINT64_MAX / aCount;
  for (size_t i = 0; i < aCount; ++i) {
    uint64_t first = i * step;
    uint64_t last = i + 1 == aCount ? UINT64_MAX : first + step - 1;
    slices.push_back(
      { { common::key_hash(first), common::key_hash(last) }, common::slice_epoch(1) });
  }
  return slices;
}

} // namespace bamboograde::version
