// Carries limit claims to the allocators of their rows and the granted shares to the gate.
#pragma once

#include "process/control/limit_allocator.h"
#include "process/control/session_manager.h"

namespace bamboograde::process::control {

// Paths of the messages between daemons.
constexpr char kReportPath[] = "/limits/report";
constexpr char kPromptPath[] = "/limits/prompt";

class limit_broker
{
public:
  limit_broker(context& aContext, map_gossip& aMap, table_keeper& aTable,
               session_manager& aSessions);

  // Demand as counted by this daemon's gate.
  void OnDemand(const limit_demand& aDemand);
  // Claims of another daemon.
  common::json HandleReport(const common::json& aBody);
  // The allocator of a row would divide it anew now.
  common::json HandlePrompt(const common::json& aBody);

private:
  const version::session_row* AllocatorOf(const common::row_id& aRow) const;
  bool IsAllocator(const common::row_id& aRow) const;
  // Claims shares of the rows from their allocators.
  void ClaimShares(const std::vector<common::row_id>& aRows);
  void SendClaims(const common::endpoint& aAllocator, common::json aRows, uint64_t aSequence);
  double Grant(const common::row_id& aRow, const limit_claim& aClaim);
  // Asks the sessions to claim shares of the row again.
  void Prompt(const common::row_id& aRow, const std::vector<common::session_id>& aSessions);
  std::set<common::session_id> LiveSessions() const;
  void UseShare(const common::row_id& aRow, double aPerSecond, uint64_t aSequence,
                common::boot_time aClaimedAt);

  context& mContext;
  map_gossip& mMap;
  table_keeper& mTable;
  session_manager& mSessions;
  limit_allocator mAllocator;
  uint64_t mLastSequence = 0;
  // The newest demand of each row, and the share in use.
  std::map<common::row_id, request::limit_report> mReports;
  // Claim whose share is in use, per row.
  std::map<common::row_id, uint64_t> mApplied;
};

} // namespace bamboograde::process::control
