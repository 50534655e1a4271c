// Sends claims for shares of rate limits to the allocators of the rows, passes the granted shares
// to the gate, and allocates the rows whose allocator is this daemon.
#pragma once

#include "process/control/limit_allocator.h"
#include "process/control/session_manager.h"

namespace bamboograde::process::control {

// Paths of the messages between daemons.
constexpr char kLimitReportPath[] = "/limits/report";
constexpr char kLimitPromptPath[] = "/limits/prompt";

class limit_broker
{
public:
  limit_broker(context& aContext, map_gossip& aMap, table_manager& aTable,
               session_manager& aSessions);

  // Handles a demand report of this daemon's gate.
  void OnDemandReport(const limit_demand& aDemand);
  // Handles claims of another daemon.
  common::json HandleReport(const common::json& aBody);
  // Handles a prompt of a row's allocator to claim a share of the row again.
  common::json HandlePrompt(const common::json& aBody);

private:
  const version::session_row* AllocatorOf(const common::row_id& aRow) const;
  bool IsAllocator(const common::row_id& aRow) const;
  // Claims shares of the rows, each from its allocator.
  void ClaimShares(const std::vector<common::row_id>& aRows);
  void SendClaims(const common::endpoint& aAllocator, common::json aRows, uint64_t aSequence);
  double Grant(const common::row_id& aRow, const limit_claim& aClaim);
  // Prompts the sessions to claim shares of the row again.
  void Prompt(const common::row_id& aRow, const std::vector<common::session_id>& aSessions);
  std::set<common::session_id> LiveSessions() const;
  void UseShare(const common::row_id& aRow, double aPerSecond, uint64_t aSequence,
                common::boot_time aClaimedAt);

  context& mContext;
  map_gossip& mMap;
  table_manager& mTable;
  session_manager& mSessions;
  limit_allocator mAllocator;
  uint64_t mLastSequence = 0;
  // Newest demand and the share in use, per row.
  std::map<common::row_id, request::limit_report> mReports;
  // Sequence of the claim whose share is in use, per row.
  std::map<common::row_id, uint64_t> mAppliedSequence;
};

} // namespace bamboograde::process::control
