// Deduplication of non-idempotent requests, so that each runs at most once: records the requests
// that this owner has started, and their responses.
//
// A caller first takes a ticket from the owner of the key and sends it as Idempotency-Key. The
// ticket names the key, the ownership epoch and the time of issue on the owner's clock, and is
// signed. The owner of that epoch has a record of every ticket whose request it started, so it
// decides a retry without another daemon. In a hand-off the records are handed over with the slice.
// When an owner is lost, so are its records: tickets of epochs that the new owner's records do not
// cover are undecided, and an undecided request is refused.
#pragma once

#include "common/clock.h"
#include "common/json.h"
#include "connection/http_message.h"
#include "request/refusal.h"
#include "version/session_row.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <unordered_map>

namespace bamboograde::request {

struct ledger_settings
{
  // How long a ticket is valid after its issue, and a record is kept after the start of its
  // request.
  common::seconds retention{ 600 };
  // Responses with a longer body are recorded without it.
  size_t maxResponseBytes = 4096;
};

enum class ledger_state
{
  kFresh,
  kRunning,
  kRan,
  // Dispatched, but whether it ran is unknown: no response arrived, or the record was exported to
  // this owner while the request was running.
  kUnknown,
};

struct ledger_decision
{
  // kNone: the request may run, or replay is set.
  refusal_reason refuse = refusal_reason::kNone;
  // Set when the recorded response is to be returned.
  const connection::http_response* replay = nullptr;
};

class ledger
{
public:
  // aSecret is the signing key of tickets, the same in all daemons of a deployment.
  ledger(ledger_settings aSettings, std::string aSecret);

  // Starts coverage of a slice: this owner sees every request of the slice's epoch.
  void Cover(const version::owned_slice& aSlice, common::boot_time aNow);
  // Issues a ticket for a key of a covered slice.
  std::string Issue(const version::owned_slice& aSlice, common::key_hash aKey,
                    common::boot_time aNow, uint64_t aNonce);
  // Decides whether the request may be queued. Does not record it yet.
  ledger_decision Check(const std::string& aTicket, common::key_hash aKey, common::boot_time aNow);
  // Records the request before it is dispatched.
  void Start(const std::string& aTicket, common::key_hash aKey, common::boot_time aNow);
  // Removes the record of a request that provably did not run; its ticket can be used again.
  void Forget(const std::string& aTicket);
  void FinishRan(const std::string& aTicket, const connection::http_response& aResponse);
  void FinishUnknown(const std::string& aTicket);
  void Expire(common::boot_time aNow);

  // Encodes coverage and records of a slice for its next owner. Times are relative, because the
  // clocks of two owners differ.
  common::json Export(const version::slice_range& aRange, common::boot_time aNow) const;
  void Import(const common::json& aRecords, common::boot_time aNow);
  // Ends coverage of a slice that was handed off or lost, and removes its records.
  void Drop(const version::slice_range& aRange);

  size_t Size() const { return mRecords.size(); }

private:
  struct ticket_fields
  {
    common::key_hash key;
    common::slice_epoch epoch;
    // On the boot clock of the owner that issued the ticket.
    int64_t issuedUs = 0;
  };

  struct record
    : public boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  {
    std::string ticket;
    common::key_hash key;
    ledger_state state = ledger_state::kFresh;
    common::boot_time expiresAt;
    connection::http_response response;
  };

  // An epoch and key range whose tickets this ledger can decide.
  struct coverage
  {
    version::slice_range range;
    common::slice_epoch epoch;
    // This daemon's boot clock minus that of the daemon that issued the tickets.
    common::microseconds clockOffset{ 0 };
    common::boot_time since;
  };

  bool Parse(const std::string& aTicket, ticket_fields* aFields) const;
  const coverage* FindCoverage(const ticket_fields& aFields) const;
  record& Insert(const std::string& aTicket, common::key_hash aKey, common::boot_time aExpiresAt);

  ledger_settings mSettings;
  std::string mSecret;
  std::vector<coverage> mCoverage;
  std::unordered_map<std::string, record> mRecords;
  // In order of insertion, which is the order of expiry except for imported records.
  boost::intrusive::list<record, boost::intrusive::constant_time_size<false>> mInsertionOrder;
};

} // namespace bamboograde::request
