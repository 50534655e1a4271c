#include "request/gate_fixture.h"

#include "common/hash.h"

namespace bamboograde::tests {

namespace {

constexpr char kSecret[] = "0123456789abcdef";
constexpr char kKey[] = "key";

} // namespace

gate_fixture::gate_fixture(request::gate_settings aSettings, size_t aSlots)
  : mGate(aSettings, common::service_name("routes"), kSecret)
{
  mGate.SetTable(MakeTable({ MakeRow("drivers", "driver", 4), MakeRow("others") }));
  mGate.SetOwnership(common::session_id("s"), { slice }, mNow);
  mGate.OpenUpstream(aSlots, mNow, mNow);
  RenewLease(common::milliseconds(2000));
}

request::request_token gate_fixture::Submit(uint64_t aFingerprint, const std::string& aTicket,
                                            const std::string& aAttempt)
{
  request::gate_request_ptr created(new request::gate_request());
  created->token = request::request_token(mNextToken++);
  created->id = common::request_id("r" + std::to_string(created->token.Value()));
  created->key = kKey;
  created->hash = common::HashKey(kKey);
  created->callerClass = common::caller_class("driver");
  created->deadline = mNow + common::seconds(10);
  created->nonIdempotent = !aTicket.empty();
  created->ticket = aTicket;
  created->fingerprint = aFingerprint;
  created->attempt = common::attempt_id(aAttempt);
  mGate.Submit(created, mNow);
  return created->token;
}

void gate_fixture::Finish(request::request_token aToken, request::dispatch_result aResult)
{
  mGate.Finish(aToken, aResult, { 200, {}, "answer" }, mNow);
}

std::string gate_fixture::IssueTicket()
{
  std::string ticket;
  mGate.IssueTicket(common::HashKey(kKey), mNow, mNextToken++, &ticket);
  return ticket;
}

void gate_fixture::TakeEvents()
{
  for (const request::gate_event& event : mGate.TakeEvents()) {
    if (const auto* dispatch = std::get_if<request::dispatch_event>(&event)) {
      mOutcomes[dispatch->token] = "dispatch";
    } else if (const auto* deliver = std::get_if<request::deliver_event>(&event)) {
      mOutcomes[deliver->token] = "deliver";
    } else if (const auto* replay = std::get_if<request::replay_event>(&event)) {
      mOutcomes[replay->token] = "replay";
    } else if (const auto* refuse = std::get_if<request::refuse_event>(&event)) {
      mOutcomes[refuse->token] = request::NameOf(refuse->why.reason);
    } else if (std::holds_alternative<request::probe_event>(event)) {
      mSawProbe = true;
    } else {
      mSawLoss = true;
    }
  }
}

std::string gate_fixture::Outcome(request::request_token aToken)
{
  TakeEvents();
  auto found = mOutcomes.find(aToken);
  return found == mOutcomes.end() ? "" : found->second;
}

bool gate_fixture::SawProbe()
{
  TakeEvents();
  return std::exchange(mSawProbe, false);
}

bool gate_fixture::SawLoss()
{
  TakeEvents();
  return std::exchange(mSawLoss, false);
}

} // namespace bamboograde::tests
