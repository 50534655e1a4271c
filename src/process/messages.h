// Messages between the daemon's tasks: the gate, the workers and the control task.
#pragma once

#include "common/json.h"
#include "common/mailbox.h"
#include "request/gate.h"
#include "version/routing_map.h"

#include <variant>

namespace bamboograde::process {

// To the gate ------------------------------------------------------------------------------------

struct submit_request
{
  size_t worker;
  request::gate_request_ptr request;
};

struct cancel_request
{
  request::request_token token;
};

struct finish_request
{
  request::request_token token;
  request::dispatch_result result;
  // Empty for idempotent requests. The gate records it to replay it to a retry with the same
  // ticket.
  connection::http_response response;
};

struct issue_ticket
{
  size_t worker;
  request::request_token token;
  common::key_hash key;
};

struct resolve_attempt
{
  size_t worker;
  request::request_token token;
  common::attempt_id attempt;
};

struct set_ownership
{
  common::session_id session;
  std::vector<version::owned_slice> slices;
};

struct set_lease
{
  common::boot_time end;
};

struct set_table
{
  version::table_ptr table;
};

// Stops the admission of requests for the slices. The gate replies with slices_drained when none of
// their requests is in flight any more.
struct begin_move
{
  std::vector<version::slice_range> ranges;
};

// Ends a move that begin_move started. moved: the slices have a new owner; otherwise this daemon
// admits their requests again.
struct end_move
{
  std::vector<version::slice_range> ranges;
  bool moved;
};

// Ledger records of slices that their former owner hands over to this daemon.
struct import_records
{
  common::json records;
};

// Another daemon's list of requests that were in flight when an upstream crashed.
struct import_suspects
{
  common::json suspects;
};

struct open_upstream
{
  common::endpoint upstream;
  size_t slots;
  common::boot_time coldUntil;
};

struct close_upstream
{};

struct set_limit_share
{
  common::row_id row;
  double perSecond;
  common::boot_time until;
};

// Asks a worker or the gate for what it recorded about a request. The reply is a trace_reply with
// the same id.
struct trace_query
{
  uint64_t id;
  common::request_id request;
};

using gate_message =
  std::variant<submit_request, cancel_request, finish_request, issue_ticket, resolve_attempt,
               set_ownership, set_lease, set_table, begin_move, end_move, import_records,
               import_suspects, open_upstream, close_upstream, set_limit_share, trace_query>;

// To a worker ------------------------------------------------------------------------------------

struct ticket_issued
{
  request::request_token token;
  request::refusal_reason refuse;
  std::string ticket;
};

struct attempt_resolved
{
  request::request_token token;
  request::attempt_state state;
};

// The newest routing map and table that this daemon knows.
struct set_routing
{
  version::routing_map_ptr map;
  version::table_ptr table;
  common::session_id ownSession;
};

struct set_upstream
{
  common::endpoint upstream;
};

// The upstream is lost: cancels all calls to it.
struct abort_upstream_calls
{};

// Closes the listener for callers. From then on the worker sends worker_idle whenever it has no
// requests left, which may be more than once.
struct drain_worker
{};

using worker_message =
  std::variant<request::dispatch_event, request::refuse_event, request::replay_event,
               request::deliver_event, ticket_issued, attempt_resolved, set_routing, set_upstream,
               abort_upstream_calls, drain_worker, trace_query>;

// To the control task ----------------------------------------------------------------------------

struct slices_drained
{
  std::vector<version::slice_range> ranges;
  // One ledger export per range, in the order of ranges.
  common::json records;
  common::json suspects;
};

struct upstream_lost
{
  std::string cause;
  common::json suspects;
};

struct limit_demand
{
  std::vector<request::limit_report> reports;
};

struct trace_reply
{
  uint64_t id;
  common::json value;
};

struct worker_idle
{
  size_t worker;
};

// The process received SIGTERM or SIGINT.
struct stop_requested
{};

using control_message = std::variant<slices_drained, upstream_lost, limit_demand, trace_reply,
                                     worker_idle, stop_requested>;

// The mailboxes of all tasks. Outlives the tasks.
struct mailboxes
{
  explicit mailboxes(size_t aWorkers)
    : workers(aWorkers)
  {
  }
  common::mailbox<gate_message> gate;
  common::mailbox<control_message> control;
  std::vector<common::mailbox<worker_message>> workers;

  void SendToWorkers(const worker_message& aMessage)
  {
    for (auto& worker : workers) {
      worker.Send(aMessage);
    }
  }
};

// A visitor for std::visit() that is made of one lambda per message type.
template<typename... handlers>
struct overloaded : handlers...
{
  using handlers::operator()...;
};
template<typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

} // namespace bamboograde::process
