#include "process/control/session_manager.h"

#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

using common::json;
using version::session_row;

namespace {

constexpr common::milliseconds kMaintenancePeriod{ 1000 };
constexpr common::milliseconds kJoinRetryDelay{ 500 };
constexpr size_t kFullSetSize = 3;

std::string ServiceRowName(const common::service_name& aService)
{
  return "service/" + aService.Str();
}

bool Contains(const lease::witness_set& aSet, const version::witness_ref& aMember)
{
  return std::find(aSet.begin(), aSet.end(), aMember) != aSet.end();
}

} // namespace

session_manager::session_manager(context& aContext, committer& aCommitter, map_gossip& aMap,
                                 table_manager& aTable)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(aMap)
  , mTable(aTable)
  , mHolder(aContext.config.leaseTerms)
  , mWitness(aContext.config.leaseTerms, aContext.boot, aContext.clock.Now())
  , mEditor(aContext, aCommitter, aMap)
{
  mEditor.SetRowDeletedObserver([this] { OnReleased(); });
}

void session_manager::SetLeaseObserver(std::function<void(common::boot_time)> aObserver)
{
  mOnLeaseRenewed = std::move(aObserver);
}

version::session_row_ptr session_manager::OwnRow() const
{
  const version::versioned_session_row* entry = mMap.Find(mContext.config.service, mSession);
  return entry == nullptr ? nullptr : entry->row;
}

common::row_version session_manager::OwnRowVersion() const
{
  const version::versioned_session_row* entry = mMap.Find(mContext.config.service, mSession);
  return entry == nullptr ? common::row_version() : entry->version;
}

common::boot_time session_manager::LeaseEnd() const
{
  return mSession.Empty() ? common::boot_time() : mHolder.LeaseEnd();
}

// Joining ----------------------------------------------------------------------------------------

void session_manager::Join()
{
  if (mPhase == session_phase::kNone && mContext.clock.Now() >= mNextJoin) {
    mPhase = session_phase::kJoining;
    StartJoin();
  }
}

void session_manager::StartJoin()
{
  auto fail = [this] {
    mPhase = session_phase::kNone;
    mNextJoin = mContext.FromNow(kJoinRetryDelay);
  };
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Read(
    ServiceRowName(mContext.config.service), mContext.FromNow(kPlatformTimeout),
    [this, fail](const common::result<connection::platform_row>& aRow) {
      if (!aRow.has_value() || mTable.Table() == nullptr) {
        fail();
        return;
      }
      bool isNew = aRow.assume_value().version.Value() == 0;
      common::session_id session(common::MakeUniqueId());
      lease::witness_set chosen = ChooseWitnessSet({}, {});
      RenewWithCandidates(session, chosen, [=, this](const lease::witness_set& aRenewed) {
        if (aRenewed.size() * 2 > chosen.size()) {
          CommitJoin(chosen, isNew, session);
          return;
        }
        // No majority of the candidates renewed: the rows known here may be out of date.
        mMap.LoadFromPlatform([fail](bool) { fail(); });
      });
    });
}

boost::intrusive_ptr<session_row> session_manager::MakeRow(const common::session_id& aSession,
                                                           lease::witness_set aWitnesses) const
{
  const settings& config = mContext.config;
  boost::intrusive_ptr<session_row> row(new session_row());
  row->service = config.service;
  row->session = aSession;
  row->region = config.region;
  row->zone = config.zone;
  row->boot = mContext.boot;
  row->caller = config.listen.caller;
  row->peer = config.listen.peer;
  row->control = config.listen.control;
  row->witnesses = std::move(aWitnesses);
  return row;
}

void session_manager::CommitJoin(lease::witness_set aWitnesses, bool aServiceIsNew,
                                 common::session_id aSession)
{
  auto row = MakeRow(aSession, std::move(aWitnesses));
  connection::transaction transaction;
  std::string name = version::SessionRowName(row->service, row->session);
  transaction.conditions.push_back({ name, common::row_version() });
  transaction.conditions.push_back({ kTableRowName, mTable.RowVersion() });
  if (aServiceIsNew) {
    std::string service = ServiceRowName(row->service);
    row->slices = version::DivideHashSpace(mContext.config.initialSlices);
    transaction.conditions.push_back({ service, common::row_version() });
    transaction.writes.push_back({ service, { { "service", row->service.Str() } } });
  }
  transaction.writes.push_back({ name, version::EncodeSession(*row) });
  transaction.writes.push_back(MakeAuditRow(mContext, { { "kind", "join" },
                                                        { "service", row->service.Str() },
                                                        { "session", aSession.Str() },
                                                        { "slices", row->slices.size() } }));
  mCommitter.Commit(std::move(transaction), [this, row](connection::commit_result aResult) {
    if (aResult.outcome != connection::commit_outcome::kCommitted) {
      mPhase = session_phase::kNone;
      mNextJoin = mContext.FromNow(kJoinRetryDelay);
      mTable.LoadFromPlatform([](bool) {});
      return;
    }
    Activate(row->session, row, aResult.version);
  });
}

void session_manager::Activate(const common::session_id& aSession,
                               const boost::intrusive_ptr<session_row>& aRow,
                               common::row_version aVersion)
{
  spdlog::info("session {} is active with {} slices and {} witnesses", aSession.Str(),
               aRow->slices.size(), aRow->witnesses.size());
  mSession = aSession;
  mEditor.SetSession(aSession);
  mPhase = session_phase::kActive;
  mHolder = lease::lease_holder(mContext.config.leaseTerms);
  mHolder.SetWitnesses(aRow->witnesses);
  mPublishedSlices.clear();
  mOnSessionChanged();
  mMap.Apply({ { version::SessionRowName(aRow->service, aSession), { aVersion, aRow } } },
             common::endpoint());
  PublishOwnership();
  // Responses to the first renewals are pending, so witnesses are not yet considered lost.
  mNextMaintenance = mContext.FromNow(mContext.config.leaseTerms.term);
  Renew();
}

void session_manager::RenewWithCandidates(const common::session_id& aSession,
                                          const lease::witness_set& aCandidates,
                                          std::function<void(lease::witness_set)> aCallback)
{
  struct responses
  {
    size_t outstanding;
    lease::witness_set renewed;
  };
  auto collected = std::make_shared<responses>(responses{ aCandidates.size(), {} });
  for (const version::witness_ref& witness : aCandidates) {
    json body = { { "session", aSession.Str() },
                  { "boot", witness.boot.Str() },
                  { "table", mTable.Version().Value() } };
    common::boot_time sentAt = mContext.clock.Now();
    auto onReply = [=, this](const connection::peer_reply& aReply) {
      if (aReply.ok && common::GetString(aReply.body, "answer") == "renewed") {
        // mHolder tracks the current session only.
        if (aSession == mSession) {
          mHolder.OnRenewed(witness, sentAt);
        }
        collected->renewed.push_back(witness);
      } else if (aReply.ok && common::GetString(aReply.body, "answer") == "wrong_boot") {
        mCurrentBoots[witness.control] = common::boot_id(common::GetString(aReply.body, "boot"));
      }
      if (--collected->outstanding == 0) {
        aCallback(collected->renewed);
      }
    };
    if (witness == mContext.Self()) {
      connection::peer_reply reply{ true, 200, HandleRenew(body) };
      onReply(reply);
    } else {
      mContext.peers.Call(witness.control, "/lease/renew", body, mContext.FromNow(kPeerTimeout),
                          onReply);
    }
  }
}

lease::witness_set session_manager::ChooseWitnessSet(const lease::witness_set& aKeep,
                                                     const lease::witness_set& aAvoid)
{
  std::map<version::witness_ref, lease::witness_candidate> known;
  for (const auto& row : mMap.Sessions(common::service_name())) {
    auto currentBoot = mCurrentBoots.find(row->control);
    version::witness_ref ref{ row->control, currentBoot == mCurrentBoots.end()
                                              ? row->boot
                                              : currentBoot->second };
    if (row->control != mContext.config.listen.control && !Contains(aAvoid, ref)) {
      known.try_emplace(ref, lease::witness_candidate{ ref, row->region, row->zone, 0 });
    }
  }
  for (const auto& row : mMap.Sessions(common::service_name())) {
    for (const version::witness_ref& witness : row->witnesses) {
      auto found = known.find(witness);
      if (found != known.end()) {
        ++found->second.load;
      }
    }
  }
  std::vector<lease::witness_candidate> others;
  others.reserve(known.size());
  for (const auto& [ref, candidate] : known) {
    others.push_back(candidate);
  }
  lease::witness_candidate self{ mContext.Self(), mContext.config.region, mContext.config.zone, 0 };
  return lease::ChooseWitnesses(self, others, aKeep, mContext.random);
}

// Renewing ---------------------------------------------------------------------------------------

void session_manager::Tick()
{
  common::boot_time now = mContext.clock.Now();
  bool hasSession = mPhase == session_phase::kActive || mPhase == session_phase::kLeaving;
  if (!hasSession) {
    return;
  }
  if (now >= mNextRenewal) {
    Renew();
  }
  if (now >= mNextMaintenance) {
    mNextMaintenance = now + kMaintenancePeriod;
    MaintainWitnesses();
  }
}

void session_manager::Renew()
{
  mNextRenewal = mContext.FromNow(mContext.config.leaseTerms.renewPeriod);
  for (const version::witness_ref& witness : mHolder.RenewalTargets()) {
    RenewWith(witness);
  }
}

void session_manager::RenewWith(const version::witness_ref& aWitness)
{
  common::boot_time sentAt = mContext.clock.Now();
  json body = { { "session", mSession.Str() },
                { "boot", aWitness.boot.Str() },
                { "from", mContext.config.listen.control.Str() },
                { "table", mTable.Version().Value() },
                { "digest", mMap.Rows().Digest() } };
  if (aWitness == mContext.Self()) {
    OnRenewReply(aWitness, mSession, sentAt, { true, 200, HandleRenew(body) });
    return;
  }
  ++mContext.metrics.Get("lease_renewals_sent_total");
  mContext.peers.Call(aWitness.control, "/lease/renew", body, mContext.FromNow(kPeerTimeout),
                      [=, this, session = mSession](const connection::peer_reply& aReply) {
                        OnRenewReply(aWitness, session, sentAt, aReply);
                      });
}

void session_manager::OnRenewReply(const version::witness_ref& aWitness,
                                   const common::session_id& aSession, common::boot_time aSentAt,
                                   const connection::peer_reply& aReply)
{
  if (!aReply.ok || aSession != mSession) {
    return;
  }
  std::string answer = common::GetString(aReply.body, "answer");
  if (answer == "renewed") {
    mHolder.OnRenewed(aWitness, aSentAt);
    PublishLease();
  } else if (answer == "revoked") {
    mHolder.OnRevoked(aWitness);
  }
  if (common::GetNumber(aReply.body, "table") > mTable.Version().Value()) {
    mTable.FetchFrom(aWitness.control);
  }
  uint64_t digest = common::GetNumber(aReply.body, "digest");
  if (digest != 0) {
    mMap.CompareDigest(aWitness.control, digest);
  }
}

void session_manager::PublishLease()
{
  common::boot_time end = mHolder.LeaseEnd();
  mContext.boxes.gate.Send(set_lease{ end });
  mOnLeaseRenewed(end);
}

void session_manager::MaintainWitnesses()
{
  common::boot_time now = mContext.clock.Now();
  bool expired = LeaseEnd() + mContext.config.leaseTerms.WitnessTerm() <= now;
  // A row change in progress may still give slices away, so its outcome must be known first.
  if (expired && !mHolder.ChangePending() && !mEditor.Busy()) {
    CheckOwnRow();
    return;
  }
  if (mHolder.ChangePending() || mRenewingWithCandidates || mEditor.Busy() ||
      mPhase != session_phase::kActive) {
    return;
  }
  lease::witness_set lost = mHolder.LostWitnesses(now);
  lease::witness_set keep;
  for (const version::witness_ref& witness : mHolder.Witnesses()) {
    if (!Contains(lost, witness) && witness != mContext.Self()) {
      keep.push_back(witness);
    }
  }
  if (lost.empty() && keep.size() == kFullSetSize) {
    return;
  }
  lease::witness_set next = ChooseWitnessSet(keep, lost);
  std::set<version::witness_ref> before(mHolder.Witnesses().begin(), mHolder.Witnesses().end());
  if (std::set<version::witness_ref>(next.begin(), next.end()) != before) {
    ChangeWitnesses(std::move(next));
  }
}

void session_manager::ChangeWitnesses(lease::witness_set aNext)
{
  mRenewingWithCandidates = true;
  RenewWithCandidates(mSession, aNext, [this, next = aNext](const lease::witness_set& aRenewed) {
    mRenewingWithCandidates = false;
    // A member that did not renew would leave the new set with fewer usable witnesses.
    if (aRenewed.size() < next.size()) {
      return;
    }
    mHolder.BeginChange(next);
    EditOwnRow({ [this, next](row_edit&, session_row& aRow, connection::transaction& aTransaction) {
                  aRow.witnesses = next;
                  // The condition ensures that the holder knows the newest table, whose version its
                  // renewals then report to the new witnesses.
                  aTransaction.conditions.push_back({ kTableRowName, mTable.RowVersion() });
                  return true;
                },
                 [this](bool aCommitted) {
                   mHolder.EndChange(aCommitted);
                   if (!aCommitted) {
                     mTable.LoadFromPlatform([](bool) {});
                   }
                 } });
  });
}

// Loss and replacement ---------------------------------------------------------------------------

void session_manager::CheckOwnRow()
{
  if (mCheckingOwnRow) {
    return;
  }
  mCheckingOwnRow = true;
  ++mContext.metrics.Get("platform_reads_total");
  std::string name = version::SessionRowName(mContext.config.service, mSession);
  mContext.platform.Read(
    name, mContext.FromNow(kPlatformTimeout),
    [this, name](const common::result<connection::platform_row>& aRow) {
      mCheckingOwnRow = false;
      mCommitter.NoteReachable(aRow.has_value());
      if (!aRow.has_value()) {
        return;
      }
      const connection::platform_row& row = aRow.assume_value();
      if (row.version.Value() == 0) {
        spdlog::warn("session {} was taken over: its row is deleted", mSession.Str());
        mMap.Apply({ { name, { kDeletedVersion, nullptr } } }, common::endpoint());
        OnReleased();
        return;
      }
      bool expired = LeaseEnd() <= mContext.clock.Now();
      if (expired && mPhase == session_phase::kActive && !mEditor.Busy()) {
        ReplaceSession(version::DecodeSession(row.value), row.version);
      }
    });
}

void session_manager::ReplaceSession(version::session_row_ptr aOldRow,
                                     common::row_version aOldVersion)
{
  // Slices of the old session are not served from here on, whatever the transaction's outcome.
  mPhase = session_phase::kReplacing;
  common::session_id oldSession = std::exchange(mSession, common::session_id());
  mContext.boxes.gate.Send(set_lease{ common::boot_time() });
  mContext.boxes.gate.Send(set_ownership{ common::session_id(), {} });
  mEditor.SetSession(mSession);
  common::session_id session(common::MakeUniqueId());
  lease::witness_set chosen = ChooseWitnessSet({}, {});
  RenewWithCandidates(session, chosen, [=, this](const lease::witness_set& aRenewed) {
    if (aRenewed.size() * 2 <= chosen.size()) {
      ResumeSession(oldSession);
      mMap.LoadFromPlatform([](bool) {});
      return;
    }
    auto row = MakeRow(session, chosen);
    for (version::owned_slice slice : aOldRow->slices) {
      slice.epoch = slice.epoch.Next();
      row->slices.push_back(slice);
    }
    connection::transaction transaction;
    std::string oldName = version::SessionRowName(row->service, oldSession);
    std::string newName = version::SessionRowName(row->service, session);
    transaction.conditions.push_back({ oldName, aOldVersion });
    transaction.conditions.push_back({ kTableRowName, mTable.RowVersion() });
    transaction.writes.push_back({ oldName, json() });
    transaction.writes.push_back({ newName, version::EncodeSession(*row) });
    transaction.writes.push_back(MakeAuditRow(mContext, { { "kind", "rejoin" },
                                                          { "service", row->service.Str() },
                                                          { "from", oldSession.Str() },
                                                          { "session", session.Str() },
                                                          { "slices", row->slices.size() } }));
    mCommitter.Commit(std::move(transaction), [=, this](connection::commit_result aResult) {
      if (aResult.outcome == connection::commit_outcome::kCommitted) {
        mMap.Apply({ { oldName, { kDeletedVersion, nullptr } } }, common::endpoint());
        Activate(session, row, aResult.version);
        return;
      }
      ResumeSession(oldSession);
      mTable.LoadFromPlatform([](bool) {});
    });
  });
}

void session_manager::ResumeSession(const common::session_id& aSession)
{
  mSession = aSession;
  mEditor.SetSession(aSession);
  mPhase = session_phase::kActive;
  if (OwnRow() != nullptr) {
    mHolder.SetWitnesses(OwnRow()->witnesses);
  }
  mPublishedSlices.clear();
  PublishOwnership();
}

void session_manager::OnReleased()
{
  mPhase = session_phase::kNone;
  mSession = common::session_id();
  mHolder = lease::lease_holder(mContext.config.leaseTerms);
  mPublishedSlices.clear();
  mContext.boxes.gate.Send(set_lease{ common::boot_time() });
  mContext.boxes.gate.Send(set_ownership{ common::session_id(), {} });
  mEditor.SetSession(mSession);
  mOnSessionChanged();
}

void session_manager::OnMapChanged()
{
  PublishOwnership();
}

void session_manager::PublishOwnership()
{
  version::session_row_ptr row = OwnRow();
  if (row == nullptr || mSession.Empty() || row->slices == mPublishedSlices) {
    return;
  }
  mPublishedSlices = row->slices;
  mContext.metrics.Get("owned_slices") = mPublishedSlices.size();
  mContext.boxes.gate.Send(set_ownership{ mSession, mPublishedSlices });
}

// Witness ----------------------------------------------------------------------------------------

json session_manager::HandleRenew(const json& aBody)
{
  common::endpoint from(common::GetString(aBody, "from"));
  auto answer = mWitness.OnRenew(common::session_id(common::GetString(aBody, "session")),
                                 common::boot_id(common::GetString(aBody, "boot")),
                                 common::table_version(common::GetNumber(aBody, "table")),
                                 mTable.Version(), mContext.clock.Now());
  ++mContext.metrics.Get("lease_renewals_received_total",
                         std::string("answer=\"") + lease::NameOf(answer) + "\"");
  if (common::GetNumber(aBody, "table") > mTable.Version().Value() && !from.Empty()) {
    mTable.FetchFrom(from);
  }
  return { { "answer", lease::NameOf(answer) },
           { "boot", mContext.boot.Str() },
           { "table", mTable.Version().Value() },
           { "digest", mMap.Rows().Digest() } };
}

json session_manager::HandleRevoke(const json& aBody)
{
  auto answer =
    mWitness.OnRevoke(common::session_id(common::GetString(aBody, "session")),
                      common::boot_id(common::GetString(aBody, "boot")), mContext.clock.Now());
  return { { "promised", answer == lease::revocation_answer::kPromised } };
}

json session_manager::HandleRelease(const json& aBody)
{
  mWitness.IgnoreUntilRenewed(common::session_id(common::GetString(aBody, "session")));
  return json::object();
}

} // namespace bamboograde::process::control
