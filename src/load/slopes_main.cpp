// bamboograde_slopes: measures time and heap memory of the key map, the table, the fair queue, the
// ledger and the lease witness per slice, session, row and record.

#include "common/random.h"
#include "process/lease/lease_witness.h"
#include "request/fair_queue.h"
#include "request/ledger.h"
#include "version/session_row_store.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <malloc.h>

namespace {

namespace common = bamboograde::common;
namespace version = bamboograde::version;
namespace request = bamboograde::request;
namespace lease = bamboograde::process::lease;

// Mean time of one call of aCall, in nanoseconds.
double NanosecondsPerCall(size_t aCalls, const std::function<void(size_t)>& aCall)
{
  auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < aCalls; ++i) {
    aCall(i);
  }
  std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
  return elapsed.count() / double(aCalls);
}

size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

void Print(const std::string& aName, double aValue)
{
  std::cout << "slopes_" << aName << "=" << aValue << "\n";
}

version::versioned_session_row MakeSession(size_t aIndex, size_t aSlices, uint64_t aVersion)
{
  boost::intrusive_ptr<version::session_row> row(new version::session_row());
  row->service = common::service_name("routes");
  row->session = common::session_id(common::MakeUniqueId());
  row->zone = common::zone_name("zone-" + std::to_string(aIndex % 22));
  row->control = common::endpoint("10.0.0.1:" + std::to_string(aIndex));
  row->peer = row->control;
  row->caller = row->control;
  row->boot = common::boot_id(common::MakeUniqueId());
  for (size_t i = 0; i < 3; ++i) {
    row->witnesses.push_back({ row->control, row->boot });
  }
  for (size_t i = 0; i < aSlices; ++i) {
    uint64_t position = (aIndex * aSlices + i) << 40U;
    row->slices.push_back(
      { { common::key_hash(position), common::key_hash(position + 1) }, common::slice_epoch(1) });
  }
  return { common::row_version(aVersion), row };
}

void MeasureMap(size_t aSessions, size_t aSlices)
{
  size_t before = HeapBytes();
  version::session_row_store rows;
  for (size_t i = 0; i < aSessions; ++i) {
    auto entry = MakeSession(i, aSlices, i + 1);
    rows.Apply(version::SessionRowName(entry.row->service, entry.row->session), entry);
  }
  auto map = rows.Build();
  std::string label = "map_" + std::to_string(aSessions * aSlices) + "_slices";
  Print(label + "_bytes", double(HeapBytes() - before));
  auto changed = MakeSession(1, aSlices, 1000000);
  std::string name = version::SessionRowName(changed.row->service, changed.row->session);
  Print(label + "_rebuild_us", NanosecondsPerCall(5,
                                                  [&](size_t aRound) {
                                                    changed.version =
                                                      common::row_version(1000000 + aRound);
                                                    rows.Apply(name, changed);
                                                    map = rows.Build();
                                                  }) /
                                 1000);
  common::service_name service("routes");
  Print(label + "_find_ns", NanosecondsPerCall(100000, [&](size_t aRound) {
          map->Find(service, common::key_hash((aRound % (aSessions * aSlices)) << 40U));
        }));
  Print(label + "_row_change_bytes",
        double(common::Dump(version::EncodeMapEntry(name, changed)).size()));
}

void MeasureTable(size_t aRows)
{
  std::vector<version::table_row> rows(aRows);
  for (size_t i = 0; i < aRows; ++i) {
    rows[i].id = common::row_id("row-" + std::to_string(i));
    rows[i].service = common::service_name("routes");
    rows[i].callerClass = common::caller_class(i + 1 == aRows ? "*" : "c" + std::to_string(i));
  }
  boost::intrusive_ptr<version::table> table(new version::table(common::table_version(1), rows));
  common::caller_class last("none");
  Print("table_" + std::to_string(aRows) + "_rows_match_ns",
        NanosecondsPerCall(20000, [&](size_t) { table->Match(rows[0].service, last, "key"); }));
  request::fair_queue queue;
  queue.SetWeights(*table);
  std::vector<request::gate_request_ptr> requests;
  for (size_t i = 0; i < aRows; ++i) {
    requests.emplace_back(new request::gate_request());
    requests.back()->row = rows[i].id;
    queue.Push(*requests.back());
  }
  Print("queue_" + std::to_string(aRows) + "_rows_request_ns",
        NanosecondsPerCall(20000, [&](size_t) {
          request::gate_request* next = queue.Pop();
          queue.Charge(*next, common::microseconds(1000));
          queue.Push(*next);
        }));
  queue.TakeAll();
}

void MeasureLedger()
{
  constexpr size_t kRecords = 100000;
  request::ledger ledger({}, "0123456789abcdef");
  version::owned_slice slice{ { common::key_hash(0), common::key_hash(UINT64_MAX) },
                              common::slice_epoch(1) };
  common::boot_time now = common::FromMicros(1000000);
  ledger.Cover(slice, now);
  size_t before = HeapBytes();
  bamboograde::connection::http_response answer{ 200, {}, std::string(60, 'x') };
  Print("ledger_booking_ns", NanosecondsPerCall(kRecords, [&](size_t aRound) {
          common::key_hash key(aRound);
          std::string ticket = ledger.Issue(slice, key, now, aRound);
          ledger.Check(ticket, key, now);
          ledger.Start(ticket, key, now);
          ledger.FinishRan(ticket, answer);
        }));
  Print("ledger_record_bytes", double(HeapBytes() - before) / kRecords);
}

void MeasureWitness()
{
  constexpr size_t kSessions = 1000;
  lease::lease_witness witness({}, common::boot_id("b"), common::FromMicros(0));
  size_t before = HeapBytes();
  std::vector<common::session_id> sessions;
  for (size_t i = 0; i < kSessions; ++i) {
    sessions.emplace_back(common::MakeUniqueId());
  }
  size_t ids = HeapBytes() - before;
  common::boot_id boot("b");
  Print("witness_renewal_ns", NanosecondsPerCall(100000, [&](size_t aRound) {
          witness.OnRenew(sessions[aRound % kSessions], boot, {}, {},
                          common::FromMicros(int64_t(aRound)));
        }));
  Print("witness_session_bytes", double(HeapBytes() - before - ids) / kSessions);
}

} // namespace

int main()
{
  MeasureMap(12, 16);
  MeasureMap(200, 50);
  MeasureMap(1200, 50);
  for (size_t rows : { 10, 100, 1000 }) {
    MeasureTable(rows);
  }
  MeasureLedger();
  MeasureWitness();
  return 0;
}
