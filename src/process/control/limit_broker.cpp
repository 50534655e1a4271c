#include "process/control/limit_broker.h"

#include "common/hash.h"

#include <algorithm>

namespace bamboograde::process::control {

using common::json;

limit_broker::limit_broker(context& aContext, map_gossip& aMap, table_manager& aTable,
                           session_manager& aSessions)
  : mContext(aContext)
  , mMap(aMap)
  , mTable(aTable)
  , mSessions(aSessions)
{
}

const version::session_row* limit_broker::AllocatorOf(const common::row_id& aRow) const
{
  common::key_hash position = common::HashKey("limit/" + aRow.Str());
  const version::route* route = mMap.Map()->Find(mContext.config.service, position);
  return route == nullptr ? nullptr : route->owner.get();
}

bool limit_broker::IsAllocator(const common::row_id& aRow) const
{
  const version::session_row* owner = AllocatorOf(aRow);
  return owner != nullptr && owner->session == mSessions.Session() &&
         mContext.clock.Now() < mSessions.LeaseEnd();
}

std::set<common::session_id> limit_broker::LiveSessions() const
{
  // A session that was taken over has no lease and admits nothing, whatever share it holds.
  std::set<common::session_id> live;
  for (const auto& row : mMap.Sessions(mContext.config.service)) {
    live.insert(row->session);
  }
  return live;
}

double limit_broker::Grant(const common::row_id& aRow, const limit_claim& aClaim)
{
  if (!IsAllocator(aRow) || mTable.Table() == nullptr) {
    mAllocator.RemoveRow(aRow);
    return 0;
  }
  common::boot_time now = mContext.clock.Now();
  for (const version::table_row& row : mTable.Table()->Rows()) {
    if (row.id == aRow) {
      double share = mAllocator.Grant(aRow, row.limitPerSecond, aClaim, LiveSessions(), now);
      Prompt(aRow, mAllocator.SessionsToPrompt(aRow, row.limitPerSecond, aClaim.session, now));
      return share;
    }
  }
  return 0;
}

void limit_broker::Prompt(const common::row_id& aRow,
                          const std::vector<common::session_id>& aSessions)
{
  if (aSessions.empty()) {
    return;
  }
  std::set<common::session_id> prompted(aSessions.begin(), aSessions.end());
  for (const auto& row : mMap.Sessions(mContext.config.service)) {
    if (prompted.count(row->session) == 0) {
      continue;
    }
    if (row->session == mSessions.Session()) {
      ClaimShares({ aRow });
    } else {
      // A daemon that misses the prompt claims again with the next demand report of its gate.
      mContext.peers.Call(row->control, kLimitPromptPath, { { "row", aRow.Str() } },
                          mContext.FromNow(kPeerTimeout), [](const connection::peer_reply&) {});
    }
  }
}

json limit_broker::HandlePrompt(const json& aBody)
{
  ClaimShares({ common::row_id(common::GetString(aBody, "row")) });
  return json::object();
}

void limit_broker::UseShare(const common::row_id& aRow, double aPerSecond, uint64_t aSequence,
                            common::boot_time aClaimedAt)
{
  uint64_t& applied = mAppliedSequence[aRow];
  // The allocator relies on late responses being ignored: they must not restore an older share.
  if (aSequence <= applied) {
    return;
  }
  applied = aSequence;
  request::limit_report& report = mReports[aRow];
  bool confirmReduction = ShouldConfirmReduction(report.heldPerSecond, aPerSecond);
  report.heldPerSecond = aPerSecond;
  report.heldUntil = aClaimedAt + kShareTerm;
  mContext.boxes.gate.Send(set_limit_share{ aRow, aPerSecond, report.heldUntil });
  if (confirmReduction) {
    ClaimShares({ aRow });
  }
}

void limit_broker::OnDemandReport(const limit_demand& aDemand)
{
  mReports.clear();
  std::vector<common::row_id> rows;
  for (const request::limit_report& report : aDemand.reports) {
    mReports[report.row] = report;
    rows.push_back(report.row);
  }
  ClaimShares(rows);
}

void limit_broker::ClaimShares(const std::vector<common::row_id>& aRows)
{
  common::boot_time now = mContext.clock.Now();
  uint64_t sequence = ++mLastSequence;
  std::map<common::endpoint, json> claims;
  for (const common::row_id& row : aRows) {
    auto found = mReports.find(row);
    if (found == mReports.end()) {
      continue;
    }
    const request::limit_report& report = found->second;
    auto heldFor = std::max(common::microseconds(0), report.heldUntil - now);
    if (IsAllocator(row)) {
      limit_claim claim{ mSessions.Session(),   sequence,
                         mAppliedSequence[row], report.demandPerSecond,
                         report.heldPerSecond,  heldFor };
      UseShare(row, Grant(row, claim), sequence, now);
    } else if (const version::session_row* allocator = AllocatorOf(row)) {
      claims[allocator->control].push_back({ { "row", row.Str() },
                                             { "applied", mAppliedSequence[row] },
                                             { "demand", report.demandPerSecond },
                                             { "held", report.heldPerSecond },
                                             { "held_for_us", uint64_t(heldFor.count()) } });
    }
  }
  for (auto& [allocator, rows] : claims) {
    SendClaims(allocator, std::move(rows), sequence);
  }
}

void limit_broker::SendClaims(const common::endpoint& aAllocator, json aRows, uint64_t aSequence)
{
  json body = { { "session", mSessions.Session().Str() },
                { "sequence", aSequence },
                { "rows", std::move(aRows) } };
  mContext.peers.Call(aAllocator, kLimitReportPath, body, mContext.FromNow(kPeerTimeout),
                      [this, claimedAt = mContext.clock.Now(), aSequence,
                       aAllocator](const connection::peer_reply& aReply) {
                        for (const json& item : common::GetArray(aReply.body, "shares")) {
                          common::row_id row(common::GetString(item, "row"));
                          const version::session_row* current = AllocatorOf(row);
                          // A new allocator knows only the share reported to it, so late grants of
                          // the previous allocator are ignored.
                          if (current != nullptr && current->control == aAllocator) {
                            UseShare(row, common::GetReal(item, "share"), aSequence, claimedAt);
                          }
                        }
                      });
}

json limit_broker::HandleReport(const json& aBody)
{
  json shares = json::array();
  for (const json& item : common::GetArray(aBody, "rows")) {
    common::row_id row(common::GetString(item, "row"));
    if (!IsAllocator(row)) {
      continue;
    }
    limit_claim claim{ common::session_id(common::GetString(aBody, "session")),
                       common::GetNumber(aBody, "sequence"),
                       common::GetNumber(item, "applied"),
                       common::GetReal(item, "demand"),
                       common::GetReal(item, "held"),
                       common::microseconds(int64_t(common::GetNumber(item, "held_for_us"))) };
    shares.push_back({ { "row", row.Str() }, { "share", Grant(row, claim) } });
  }
  return { { "shares", std::move(shares) } };
}

} // namespace bamboograde::process::control
