// The owner gate's state of one request, from admission to its end.
#pragma once

#include "common/clock.h"
#include "version/session_row.h"
#include "version/table.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bamboograde::request {

// Identifies a request within one gate.
using request_token = common::number_id<struct request_token_tag>;

enum class gate_state
{
  kNew,
  // Held until the hand-off of its slice ends, or, for a crash suspect, until no other suspect
  // runs.
  kHeld,
  kQueued,
  kDispatched,
  kDone,
};

struct gate_request
  : public boost::intrusive_ref_counter<gate_request, boost::thread_safe_counter>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  // Set before gate::Submit().
  request_token token;
  common::request_id id;
  common::attempt_id attempt;
  common::endpoint entry;
  common::caller_class callerClass;
  std::string key;
  common::key_hash hash;
  common::boot_time deadline;
  bool nonIdempotent = false;
  // Empty when the caller sent none.
  std::string ticket;
  // See Fingerprint(). A retry has the same value, even under another request id.
  uint64_t fingerprint = 0;

  // Set by the gate.
  gate_state state = gate_state::kNew;
  common::row_id row;
  common::table_version tableVersion;
  version::owned_slice slice;
  common::boot_time enqueuedAt;
  common::boot_time dispatchedAt;
  // Estimated slot time that the fair queue charged at dispatch.
  common::microseconds assumedCost{ 0 };
  // Length of the queue when this request was added.
  size_t queuePosition = 0;
};

using gate_request_ptr = boost::intrusive_ptr<gate_request>;
// Does not own its requests; the gate holds a reference to each one until it ends.
using gate_request_list =
  boost::intrusive::list<gate_request, boost::intrusive::constant_time_size<false>>;

// Hash of method, target, key and body. Equal for requests that ask for the same work.
uint64_t Fingerprint(std::string_view aMethod, std::string_view aTarget, std::string_view aKey,
                     std::string_view aBody);

} // namespace bamboograde::request
