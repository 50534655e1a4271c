#include "version/session_row_store.h"

#include <criterion/criterion.h>

using namespace bamboograde;
using version::session_row;

namespace {

version::versioned_session_row MakeEntry(uint64_t aVersion, const std::string& aSession,
                                         std::vector<version::owned_slice> aSlices)
{
  boost::intrusive_ptr<session_row> row(new session_row());
  row->service = common::service_name("routes");
  row->session = common::session_id(aSession);
  row->slices = std::move(aSlices);
  return { common::row_version(aVersion), row };
}

std::string OwnerAt(version::session_row_store& aRows, uint64_t aHash)
{
  auto map = aRows.Build();
  const version::route* route = map->Find(common::service_name("routes"), common::key_hash(aHash));
  return route == nullptr ? "" : route->owner->session.Str();
}

version::owned_slice MakeSlice(uint64_t aFirst, uint64_t aLast, uint64_t aEpoch)
{
  return { { common::key_hash(aFirst), common::key_hash(aLast) }, common::slice_epoch(aEpoch) };
}

} // namespace

Test(routing_map, initial_slices_cover_the_hash_space_without_gap_or_overlap)
{
  for (size_t count : { 1, 3, 64, 1000 }) {
    auto slices = version::DivideHashSpace(count);
    cr_assert_eq(slices.front().range.first.Value(), 0U);
    cr_assert_eq(slices.back().range.last.Value(), UINT64_MAX);
    for (size_t i = 1; i < slices.size(); ++i) {
      cr_assert_eq(slices[i].range.first.Value(), slices[i - 1].range.last.Value() + 1);
    }
  }
}

// Guards against routes to the former owner when rows arrive late or in another order.
Test(routing_map, newer_rows_replace_stale_ones_in_any_order)
{
  auto old = MakeEntry(1, "a", { MakeSlice(0, 99, 1), MakeSlice(100, 199, 1) });
  auto oldShrunk = MakeEntry(2, "a", { MakeSlice(0, 99, 1) });
  auto successor = MakeEntry(2, "b", { MakeSlice(100, 199, 2) });
  version::session_row_store rows;
  // The successor's row arrives before the new row of the former owner. Until the latter arrives,
  // the route is to the owner with the higher epoch.
  rows.Apply("session/routes/a", old);
  rows.Apply("session/routes/b", successor);
  cr_assert_eq(OwnerAt(rows, 150), "b");
  rows.Apply("session/routes/a", oldShrunk);
  cr_assert_not(rows.Apply("session/routes/a", old));
  cr_assert_eq(OwnerAt(rows, 150), "b");
  cr_assert_eq(OwnerAt(rows, 50), "a");
  cr_assert_eq(OwnerAt(rows, 500), "");
}

// Guards against daemons that hold the same rows but find different digests.
Test(routing_map, digest_is_independent_of_the_order_of_changes)
{
  version::session_row_store left;
  version::session_row_store right;
  left.Apply("session/routes/a", MakeEntry(1, "a", {}));
  left.Apply("session/routes/a", MakeEntry(5, "a", { MakeSlice(0, 9, 1) }));
  left.Apply("session/routes/b", MakeEntry(3, "b", {}));
  right.Apply("session/routes/b", MakeEntry(3, "b", {}));
  cr_assert(left.Digest() != right.Digest());
  right.Apply("session/routes/a", MakeEntry(5, "a", { MakeSlice(0, 9, 1) }));
  cr_assert_eq(left.Digest(), right.Digest());
}

Test(routing_map, entry_encoding_round_trip)
{
  auto entry = MakeEntry(7, "a", { MakeSlice(0, UINT64_MAX, 3) });
  std::string name;
  version::versioned_session_row read;
  cr_assert(
    version::DecodeMapEntry(version::EncodeMapEntry("session/routes/a", entry), &name, &read));
  cr_assert_eq(name, "session/routes/a");
  cr_assert(read.row->slices == entry.row->slices);
  cr_assert_not(version::DecodeMapEntry(common::json::array(), &name, &read));
}
