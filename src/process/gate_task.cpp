#include "process/gate_task.h"

#include <algorithm>

namespace bamboograde::process {

namespace {

constexpr common::milliseconds kTickPeriod{ 5 };
constexpr unsigned kTicksPerReport = 40;
// Reports without demand are sent less often by this factor.
constexpr unsigned kIdleReportFactor = 5;
constexpr common::milliseconds kProbeTimeout{ 400 };
constexpr char kProbePath[] = "/health";

request::gate_settings MakeGateSettings(const settings& aSettings)
{
  request::gate_settings gate;
  gate.maxQueued = aSettings.limits.maxQueued;
  return gate;
}

} // namespace

gate_task::gate_task(const settings& aSettings, const common::clock_source& aClock,
                     mailboxes& aMailboxes, counters& aCounters)
  : mSettings(aSettings)
  , mClock(aClock)
  , mMailboxes(aMailboxes)
  , mCounters(aCounters)
  , mTask("gate")
  , mGate(MakeGateSettings(aSettings), aSettings.service, aSettings.peerKey)
  , mRandom(common::EntropySeed())
{
}

void gate_task::Start()
{
  mTask.Start([this] { SetUp(); }, [this] { TearDown(); });
}

void gate_task::SetUp()
{
  mProbeClient = std::make_unique<connection::http_client>(connection::http_client_limits{});
  mMailboxes.gate.Attach(mTask.Context(),
                         [this](gate_message&& aMessage) { OnMessage(std::move(aMessage)); });
  mTick.StartRepeating(kTickPeriod, [this] { OnTick(); });
}

void gate_task::TearDown()
{
  mTick.Stop();
  mMailboxes.gate.Detach();
  mProbeClient.reset();
}

void gate_task::OnMessage(gate_message&& aMessage)
{
  std::visit([this](auto&& aItem) { Handle(std::forward<decltype(aItem)>(aItem)); },
             std::move(aMessage));
  SendEvents();
}

void gate_task::Handle(submit_request&& aMessage)
{
  mGate.Submit(std::move(aMessage.request), mClock.Now());
}

void gate_task::Handle(cancel_request&& aMessage)
{
  mGate.Cancel(aMessage.token, mClock.Now());
}

void gate_task::Handle(finish_request&& aMessage)
{
  mGate.Finish(aMessage.token, aMessage.result, aMessage.response, mClock.Now());
  ReportDrainedSlices();
}

void gate_task::Handle(issue_ticket&& aMessage)
{
  ticket_issued reply{ aMessage.token, request::refusal_reason::kNone, "" };
  reply.refuse =
    mGate.IssueTicket(aMessage.key, mClock.Now(), mRandom.Below(UINT64_MAX), &reply.ticket);
  SendToWorkerOf(aMessage.token, std::move(reply));
}

void gate_task::Handle(resolve_attempt&& aMessage)
{
  request::attempt_state state = mGate.Resolve(aMessage.attempt, mClock.Now());
  SendToWorkerOf(aMessage.token, attempt_resolved{ aMessage.token, state });
}

void gate_task::Handle(set_ownership&& aMessage)
{
  mGate.SetOwnership(aMessage.session, std::move(aMessage.slices), mClock.Now());
}

void gate_task::Handle(set_lease&& aMessage)
{
  mGate.SetLease(aMessage.end);
}

void gate_task::Handle(set_table&& aMessage)
{
  mGate.SetTable(std::move(aMessage.table));
}

void gate_task::Handle(begin_move&& aMessage)
{
  for (const version::slice_range& range : aMessage.ranges) {
    mGate.BeginMove(range);
  }
  mDrainingMoves.push_back(std::move(aMessage));
  ReportDrainedSlices();
}

void gate_task::Handle(end_move&& aMessage)
{
  for (const version::slice_range& range : aMessage.ranges) {
    mGate.EndMove(range, aMessage.moved, mClock.Now());
  }
}

void gate_task::Handle(import_records&& aMessage)
{
  mGate.Ledger().Import(aMessage.records, mClock.Now());
}

void gate_task::Handle(import_suspects&& aMessage)
{
  mGate.Suspects().Import(aMessage.suspects, mClock.Now());
}

void gate_task::Handle(open_upstream&& aMessage)
{
  mUpstream = aMessage.upstream;
  mGate.OpenUpstream(aMessage.slots, mClock.Now(), aMessage.coldUntil);
}

void gate_task::Handle(close_upstream&&)
{
  mGate.CloseUpstream(mClock.Now());
}

void gate_task::Handle(set_limit_share&& aMessage)
{
  mGate.Limiter().SetShare(aMessage.row, aMessage.perSecond, aMessage.until);
}

void gate_task::Handle(trace_query&& aMessage)
{
  mMailboxes.control.Send(trace_reply{ aMessage.id, mGate.Traces().Find(aMessage.request) });
}

void gate_task::OnTick()
{
  mGate.Tick(mClock.Now(), mClock.UnixMs());
  SendEvents();
  bool changed = mGate.Limiter().SampleDemand(mClock.Now());
  bool reportDue = ++mTickCount % kTicksPerReport == 0;
  if (reportDue) {
    PublishCounters();
  }
  if (reportDue || changed) {
    ReportDemand(changed);
  }
}

void gate_task::ReportDemand(bool aChanged)
{
  auto reports = mGate.Limiter().TakeReports(mClock.Now());
  bool idle = std::all_of(reports.begin(), reports.end(), [](const request::limit_report& aReport) {
    return aReport.demandPerSecond < 1;
  });
  bool due = !idle || aChanged || mTickCount % (kTicksPerReport * kIdleReportFactor) == 0;
  if (!reports.empty() && due) {
    mMailboxes.control.Send(limit_demand{ std::move(reports) });
  }
}

void gate_task::SendEvents()
{
  for (request::gate_event& event : mGate.TakeEvents()) {
    SendEvent(std::move(event));
  }
}

void gate_task::SendEvent(request::gate_event&& aEvent)
{
  std::visit(overloaded{
               [this](request::probe_event&&) { SendProbe(); },
               [this](request::upstream_lost_event&& aLost) {
                 mMailboxes.control.Send(
                   upstream_lost{ std::move(aLost.cause), mGate.Suspects().Export(mClock.Now()) });
               },
               [this](auto&& aForWorker) {
                 request::request_token token = aForWorker.token;
                 SendToWorkerOf(token, std::forward<decltype(aForWorker)>(aForWorker));
               },
             },
             std::move(aEvent));
}

void gate_task::SendToWorkerOf(request::request_token aToken, worker_message aMessage)
{
  mMailboxes.workers[WorkerOf(aToken)].Send(std::move(aMessage));
}

void gate_task::ReportDrainedSlices()
{
  std::erase_if(mDrainingMoves, [this](const begin_move& aMove) {
    bool inFlight = std::any_of(aMove.ranges.begin(), aMove.ranges.end(),
                                [this](const auto& aRange) { return mGate.InFlight(aRange) > 0; });
    if (inFlight) {
      return false;
    }
    slices_drained drained{ aMove.ranges, common::json::array(),
                            mGate.Suspects().Export(mClock.Now()) };
    for (const version::slice_range& range : aMove.ranges) {
      drained.records.push_back(mGate.Ledger().Export(range, mClock.Now()));
    }
    mMailboxes.control.Send(std::move(drained));
    return true;
  });
}

void gate_task::SendProbe()
{
  connection::http_request request;
  request.authority = mUpstream.Str();
  request.target = kProbePath;
  request.newConnection = true;
  mProbeClient->Send(request, mClock.Now() + kProbeTimeout, mClock.Now(),
                     [this](const connection::http_result& aResult) { OnProbeResult(aResult); });
}

void gate_task::OnProbeResult(const connection::http_result& aResult)
{
  bool connected = aResult.failure != connection::transport_failure::kNotConnected;
  mGate.OnProbe(connected, aResult.Ok(), mClock.Now());
  SendEvents();
}

void gate_task::PublishCounters()
{
  const request::gate_counters& totals = mGate.Counters();
  mCounters.Get("gate_submitted_total") = totals.submitted;
  mCounters.Get("gate_dispatched_total") = totals.dispatched;
  mCounters.Get("gate_answered_total") = totals.answered;
  mCounters.Get("gate_replayed_total") = totals.replayed;
  mCounters.Get("gate_queued") = mGate.Queued();
  mCounters.Get("gate_in_flight") = mGate.InFlight();
  mCounters.Get("gate_ledger_records") = mGate.Ledger().Size();
  for (const auto& [row, count] : totals.requestsByRow) {
    mCounters.Get("row_requests_total", "row=\"" + row.Str() + "\"") = count;
  }
  for (const auto& [row, reasons] : totals.refusalsByRow) {
    for (const auto& [reason, count] : reasons) {
      std::string labels = "row=\"" + row.Str() + "\",reason=\"" + request::NameOf(reason) + "\"";
      mCounters.Get("row_refusals_total", labels) = count;
    }
  }
}

} // namespace bamboograde::process
