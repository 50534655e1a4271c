#include "version/key_map.h"

#include <algorithm>

namespace bamboograde::version {

namespace {

common::json EncodeRange(const held_range& aRange)
{
  return { aRange.range.first, aRange.range.last, aRange.token.Value(), aRange.handover };
}

bool DecodeRange(const common::json& aValue, held_range* aRange)
{
  bool wellFormed = aValue.is_array() && aValue.size() == 4 && aValue[0].is_number_unsigned() &&
                    aValue[1].is_number_unsigned() && aValue[2].is_number_unsigned() &&
                    aValue[3].is_string();
  if (!wellFormed) {
    return false;
  }
  if (aValue[0].get<uint64_t>() >= kKeyPositions || aValue[1].get<uint64_t>() >= kKeyPositions) {
    return false;
  }
  aRange->range = { aValue[0].get<uint32_t>(), aValue[1].get<uint32_t>() };
  aRange->token = fencing_token(aValue[2].get<uint64_t>());
  aRange->handover = aValue[3].get<std::string>();
  return aRange->range.first <= aRange->range.last;
}

common::json EncodeOwner(const key_owner& aOwner)
{
  common::json witnesses = common::json::array();
  for (const witness_ref& witness : aOwner.witnesses) {
    witnesses.push_back({ witness.control.Str(), witness.boot.Str() });
  }
  common::json ranges = common::json::array();
  for (const held_range& range : aOwner.ranges) {
    ranges.push_back(EncodeRange(range));
  }
  common::json value = { { "vm", aOwner.vm },
                         { "session", aOwner.session.Str() },
                         { "upstream", aOwner.upstream.Str() },
                         { "witnesses", std::move(witnesses) },
                         { "ranges", std::move(ranges) } };
  if (!aOwner.suspicion.Empty()) {
    value["suspicion"] = aOwner.suspicion.Str();
  }
  return value;
}

bool DecodeOwner(const common::json& aValue, key_owner* aOwner)
{
  aOwner->vm = common::GetString(aValue, "vm");
  aOwner->session = common::session_id(common::GetString(aValue, "session"));
  aOwner->upstream = upstream_id(common::GetString(aValue, "upstream"));
  aOwner->suspicion = suspicion_id(common::GetString(aValue, "suspicion"));
  for (const common::json& witness : common::GetArray(aValue, "witnesses")) {
    if (!witness.is_array() || witness.size() != 2 || !witness[0].is_string() ||
        !witness[1].is_string()) {
      return false;
    }
    aOwner->witnesses.push_back({ common::endpoint(witness[0].get<std::string>()),
                                  common::boot_id(witness[1].get<std::string>()) });
  }
  for (const common::json& range : common::GetArray(aValue, "ranges")) {
    if (!DecodeRange(range, &aOwner->ranges.emplace_back())) {
      return false;
    }
  }
  return !aOwner->vm.empty();
}

} // namespace

std::optional<key_range> Intersection(const key_range& aLeft, const key_range& aRight)
{
  key_range intersection{ std::max(aLeft.first, aRight.first), std::min(aLeft.last, aRight.last) };
  return intersection.first <= intersection.last ? std::optional(intersection) : std::nullopt;
}

const key_owner* key_map::Owner(const std::string& aVm) const
{
  auto found = std::find_if(owners.begin(), owners.end(),
                            [&](const key_owner& aOwner) { return aOwner.vm == aVm; });
  return found == owners.end() ? nullptr : &*found;
}

key_owner* key_map::Owner(const std::string& aVm)
{
  return const_cast<key_owner*>(std::as_const(*this).Owner(aVm));
}

const key_owner* key_map::Find(uint32_t aKey) const
{
  for (const key_owner& owner : owners) {
    auto after = std::upper_bound(
      owner.ranges.begin(), owner.ranges.end(), aKey,
      [](uint32_t aPosition, const held_range& aRange) { return aPosition < aRange.range.first; });
    if (after != owner.ranges.begin() && std::prev(after)->range.Contains(aKey)) {
      return &owner;
    }
  }
  return nullptr;
}

std::vector<key_range> key_map::Unowned() const
{
  std::vector<key_range> owned;
  for (const key_owner& owner : owners) {
    for (const held_range& range : owner.ranges) {
      owned.push_back(range.range);
    }
  }
  std::sort(owned.begin(), owned.end());
  std::vector<key_range> gaps;
  uint32_t next = 0;
  for (const key_range& range : owned) {
    if (range.first > next) {
      gaps.push_back({ next, range.first - 1 });
    }
    // Of overlapping ranges, a later one may end before an earlier one.
    next = std::max(next, range.last + 1);
  }
  if (next < kKeyPositions) {
    gaps.push_back({ next, kKeyPositions - 1 });
  }
  return gaps;
}

void key_map::RemoveOwner(const std::string& aVm)
{
  std::erase_if(owners, [&](const key_owner& aOwner) { return aOwner.vm == aVm; });
}

std::vector<key_range> RangesOf(const key_owner& aOwner)
{
  std::vector<key_range> ranges;
  for (const held_range& held : aOwner.ranges) {
    ranges.push_back(held.range);
  }
  return ranges;
}

void RemoveRange(key_owner* aOwner, const key_range& aRange)
{
  std::vector<held_range> remaining;
  for (const held_range& held : aOwner->ranges) {
    if (held.range.last < aRange.first || held.range.first > aRange.last) {
      remaining.push_back(held);
      continue;
    }
    if (held.range.first < aRange.first) {
      remaining.push_back({ { held.range.first, aRange.first - 1 }, held.token, held.handover });
    }
    if (held.range.last > aRange.last) {
      remaining.push_back({ { aRange.last + 1, held.range.last }, held.token, held.handover });
    }
  }
  aOwner->ranges = std::move(remaining);
}

void AddRange(key_owner* aOwner, const held_range& aRange)
{
  RemoveRange(aOwner, aRange.range);
  auto& ranges = aOwner->ranges;
  ranges.push_back(aRange);
  std::sort(ranges.begin(), ranges.end(), [](const held_range& aLeft, const held_range& aRight) {
    return aLeft.range.first < aRight.range.first;
  });
  JoinAdjacentRanges(aOwner);
}

void JoinAdjacentRanges(key_owner* aOwner)
{
  std::vector<held_range> joined;
  for (const held_range& range : aOwner->ranges) {
    bool joins = !joined.empty() && joined.back().range.last + 1 == range.range.first &&
                 joined.back().token == range.token && joined.back().handover == range.handover;
    if (joins) {
      joined.back().range.last = range.range.last;
    } else {
      joined.push_back(range);
    }
  }
  aOwner->ranges = std::move(joined);
}

common::json EncodeKeyMap(const key_map& aMap)
{
  common::json owners = common::json::array();
  for (const key_owner& owner : aMap.owners) {
    owners.push_back(EncodeOwner(owner));
  }
  common::json value = { { "service", aMap.service.Str() },
                         { "last_fence", aMap.lastFence.Value() },
                         { "owners", std::move(owners) } };
  if (!aMap.settled) {
    value["settled"] = false;
  }
  return value;
}

boost::intrusive_ptr<key_map> DecodeKeyMap(const common::json& aValue, common::row_version aVersion)
{
  boost::intrusive_ptr<key_map> map(new key_map());
  map->version = aVersion;
  map->service = common::service_name(common::GetString(aValue, "service"));
  map->lastFence = fencing_token(common::GetNumber(aValue, "last_fence"));
  map->settled = common::GetBool(aValue, "settled", true);
  for (const common::json& owner : common::GetArray(aValue, "owners")) {
    if (!DecodeOwner(owner, &map->owners.emplace_back())) {
      return nullptr;
    }
  }
  return map->service.Empty() ? nullptr : map;
}

} // namespace bamboograde::version
