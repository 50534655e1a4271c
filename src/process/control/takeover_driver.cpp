#include "process/control/takeover_driver.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

using common::json;

namespace {

// Random delay, so that usually one witness of a session completes the takeover before the others
// start theirs.
constexpr uint64_t kFirstAttemptJitterMs = 150;
constexpr common::milliseconds kRetryDelay{ 400 };
constexpr common::milliseconds kRevokeTimeout{ 250 };
constexpr common::milliseconds kOrphanCheckPeriod{ 1000 };

} // namespace

takeover_driver::takeover_driver(context& aContext, committer& aCommitter, map_gossip& aMap,
                                 session_manager& aSessions)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(aMap)
  , mSessions(aSessions)
{
}

void takeover_driver::Tick()
{
  common::boot_time now = mContext.clock.Now();
  auto expired = mSessions.Witness().ExpiredSessions(now);
  for (const common::session_id& session : expired) {
    auto jitter = common::milliseconds(int64_t(mContext.random.Below(kFirstAttemptJitterMs)));
    auto [next, isNew] = mNextAttempt.try_emplace(session, now + jitter);
    if (next->second > now) {
      continue;
    }
    next->second = now + kRetryDelay + jitter;
    std::string name;
    for (const auto& row : mMap.Sessions(common::service_name())) {
      if (row->session == session) {
        name = version::SessionRowName(row->service, session);
      }
    }
    if (name.empty()) {
      // The session's row is not in the map: it was released or taken over.
      mSessions.Witness().IgnoreUntilRenewed(session);
      mNextAttempt.erase(session);
    } else {
      StartAttempt(session, name);
    }
  }
  if (now >= mNextOrphanCheck) {
    mNextOrphanCheck = now + kOrphanCheckPeriod;
    CheckOrphans();
  }
}

bool takeover_driver::NamesThisDaemon(const version::session_row& aRow) const
{
  const auto& self = mContext.config.listen.control;
  return std::any_of(
    aRow.witnesses.begin(), aRow.witnesses.end(),
    [&](const version::witness_ref& aWitness) { return aWitness.control == self; });
}

void takeover_driver::CheckOrphans()
{
  for (const auto& row : mMap.Sessions(common::service_name())) {
    bool isOwn = row->session == mSessions.Session();
    const auto& members = row->witnesses;
    bool namesThisStart =
      std::find(members.begin(), members.end(), mContext.Self()) != members.end();
    bool namesEarlierStart = NamesThisDaemon(*row) && !namesThisStart;
    bool released = members.empty() && row->service == mContext.config.service;
    if (!isOwn && (namesEarlierStart || released)) {
      StartAttempt(row->session, version::SessionRowName(row->service, row->session));
    }
  }
}

void takeover_driver::StartAttempt(const common::session_id& aSession, const std::string& aName)
{
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Read(aName, mContext.FromNow(kPlatformTimeout),
                         [=, this](const common::result<connection::platform_row>& aRow) {
                           mCommitter.NoteReachable(aRow.has_value());
                           if (aRow.has_value()) {
                             OnRow(aSession, aRow.assume_value());
                           }
                         });
}

void takeover_driver::OnRow(const common::session_id& aSession,
                            const connection::platform_row& aRow)
{
  version::session_row_ptr row = version::DecodeSession(aRow.value);
  if (aRow.version.Value() == 0 || row == nullptr) {
    mSessions.Witness().IgnoreUntilRenewed(aSession);
    mMap.Apply({ { aRow.name, { kDeletedVersion, nullptr } } }, common::endpoint());
    return;
  }
  mMap.Apply({ { aRow.name, { aRow.version, row } } }, common::endpoint());
  bool stillWitness = NamesThisDaemon(*row) || row->witnesses.empty();
  if (!stillWitness) {
    mSessions.Witness().IgnoreUntilRenewed(aSession);
    return;
  }
  ProbeHolder(std::make_shared<takeover_attempt>(
    takeover_attempt{ aRow.name, lease::takeover(row, aRow.version), 0, false, {}, false }));
}

void takeover_driver::ProbeHolder(const attempt_ptr& aAttempt)
{
  const version::session_row& row = aAttempt->promises.Row();
  if (row.control == mContext.config.listen.control) {
    CollectPromises(aAttempt);
    return;
  }
  // A holder that still has a valid lease is only unreachable for some witnesses; it keeps its
  // slices.
  mContext.peers.Call(row.control, "/alive", { { "session", row.session.Str() } },
                      mContext.FromNow(kRevokeTimeout),
                      [this, aAttempt](const connection::peer_reply& aReply) {
                        bool holds = aReply.ok && common::GetBool(aReply.body, "holds");
                        if (!holds) {
                          CollectPromises(aAttempt);
                        }
                      });
}

void takeover_driver::CollectPromises(const attempt_ptr& aAttempt)
{
  const version::session_row& row = aAttempt->promises.Row();
  FindSuccessors(mContext, mMap, row.service, { row.session }, kMaxSuccessors,
                 [this, aAttempt](std::vector<successor> aSuccessors) {
                   aAttempt->successors = std::move(aSuccessors);
                   aAttempt->successorsKnown = true;
                   CommitIfReady(aAttempt);
                 });
  for (const version::witness_ref& witness : row.witnesses) {
    json body = { { "session", row.session.Str() }, { "boot", witness.boot.Str() } };
    if (witness.control == mContext.config.listen.control) {
      OnPromise(aAttempt, witness, common::GetBool(mSessions.HandleRevoke(body), "promised"));
      continue;
    }
    mContext.peers.Call(witness.control, "/lease/revoke", body, mContext.FromNow(kRevokeTimeout),
                        [=, this](const connection::peer_reply& aReply) {
                          OnPromise(aAttempt, witness,
                                    aReply.ok && common::GetBool(aReply.body, "promised"));
                        });
  }
}

void takeover_driver::OnPromise(const attempt_ptr& aAttempt, const version::witness_ref& aWitness,
                                bool aPromised)
{
  if (aPromised) {
    aAttempt->promises.OnPromise(aWitness);
    CommitIfReady(aAttempt);
  }
}

void takeover_driver::CommitIfReady(const attempt_ptr& aAttempt)
{
  bool ready = aAttempt->promises.Ready() && aAttempt->successorsKnown && !aAttempt->committed;
  if (ready && !aAttempt->successors.empty()) {
    aAttempt->committed = true;
    Commit(aAttempt);
  }
}

void takeover_driver::Commit(const attempt_ptr& aAttempt)
{
  const version::session_row& lost = aAttempt->promises.Row();
  std::vector<size_t> counts;
  for (const successor& item : aAttempt->successors) {
    counts.push_back(item.row->slices.size());
  }
  auto parts = lease::DivideSlices(lost.slices, counts);
  connection::transaction transaction;
  transaction.conditions.push_back({ aAttempt->name, aAttempt->promises.RowVersion() });
  transaction.writes.push_back({ aAttempt->name, json() });
  auto rows = std::make_shared<std::vector<version::session_row_ptr>>();
  json successors = json::array();
  for (size_t i = 0; i < parts.size(); ++i) {
    if (!parts[i].empty()) {
      rows->push_back(AddSlices(aAttempt->successors[i], parts[i], &transaction));
      successors.push_back(
        { { "session", rows->back()->session.Str() }, { "slices", parts[i].size() } });
    }
  }
  transaction.writes.push_back(MakeAuditRow(mContext, { { "kind", "takeover" },
                                                        { "service", lost.service.Str() },
                                                        { "from", lost.session.Str() },
                                                        { "lost", lost.control.Str() },
                                                        { "zone", lost.zone.Str() },
                                                        { "heirs", std::move(successors) } }));
  mCommitter.Commit(std::move(transaction), [=, this](connection::commit_result aResult) {
    if (aResult.outcome != connection::commit_outcome::kCommitted) {
      Finish(aAttempt, "conflict");
      return;
    }
    std::vector<named_entry> entries{ { aAttempt->name, { kDeletedVersion, nullptr } } };
    for (const version::session_row_ptr& row : *rows) {
      entries.push_back(
        { version::SessionRowName(row->service, row->session), { aResult.version, row } });
    }
    mMap.ApplyAfterOwners(entries, [=, this] { Finish(aAttempt, "committed"); });
  });
}

void takeover_driver::Finish(const attempt_ptr& aAttempt, const char* aOutcome)
{
  const version::session_row& lost = aAttempt->promises.Row();
  mContext.metrics.Get("takeovers_total", std::string("outcome=\"") + aOutcome + "\"")++;
  spdlog::info("takeover of session {} with {} slices: {}", lost.session.Str(), lost.slices.size(),
               aOutcome);
  mNextAttempt.erase(lost.session);
}

} // namespace bamboograde::process::control
