#include "process/control/move_driver.h"

#include <algorithm>
#include <memory>
#include <spdlog/spdlog.h>

namespace bamboograde::process::control {

using common::json;
using version::owned_slice;

namespace {

constexpr common::milliseconds kPrepareTimeout{ 2000 };
constexpr common::milliseconds kBusyRetryDelay{ 20 };
// The session is released after this many moves even if it still owns slices.
constexpr unsigned kMaxBatches = 64;

std::vector<version::slice_range> RangesOf(const std::vector<owned_slice>& aSlices)
{
  std::vector<version::slice_range> ranges;
  ranges.reserve(aSlices.size());
  for (const owned_slice& slice : aSlices) {
    ranges.push_back(slice.range);
  }
  return ranges;
}

bool Contains(const std::vector<owned_slice>& aList, const owned_slice& aSlice)
{
  return std::find(aList.begin(), aList.end(), aSlice) != aList.end();
}

} // namespace

move_driver::move_driver(context& aContext, committer& aCommitter, map_gossip& aMap,
                         session_manager& aSessions)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(aMap)
  , mSessions(aSessions)
{
}

bool move_driver::Move(std::vector<owned_slice> aSlices, const version::session_row_ptr& aTarget,
                       const std::string& aCause, std::function<void(bool)> aCallback)
{
  if (mCurrent.has_value() || aSlices.empty()) {
    return false;
  }
  mContext.boxes.gate.Send(begin_move{ RangesOf(aSlices) });
  mCurrent = move{ std::move(aSlices), aTarget, aCause, std::move(aCallback) };
  return true;
}

void move_driver::OnDrained(const slices_drained& aDrained)
{
  if (!mCurrent.has_value()) {
    return;
  }
  common::boot_time now = mContext.clock.Now();
  if (mEarliestCommit > now) {
    auto wait = std::chrono::ceil<common::milliseconds>(mEarliestCommit - now);
    mDelayTimer.StartOnce(wait, [this, drained = aDrained] { PrepareTarget(drained); });
    return;
  }
  PrepareTarget(aDrained);
}

void move_driver::PrepareTarget(const slices_drained& aDrained)
{
  json body = { { "session", mCurrent->target->session.Str() },
                { "records", aDrained.records },
                { "suspects", aDrained.suspects } };
  mContext.peers.Call(
    mCurrent->target->control, "/move/prepare", body, mContext.FromNow(kPrepareTimeout),
    [this](const connection::peer_reply& aReply) {
      if (!aReply.ok || !common::GetBool(aReply.body, "accepting")) {
        Finish(false);
        return;
      }
      CommitMove({ version::DecodeSession(aReply.body.value("row", json())),
                   common::row_version(common::GetNumber(aReply.body, "version")) });
    });
}

json move_driver::HandlePrepare(const json& aBody)
{
  bool accepting = mSessions.Accepting() &&
                   mSessions.Session().Str() == common::GetString(aBody, "session") &&
                   mSessions.OwnRow() != nullptr;
  if (!accepting) {
    return { { "accepting", false } };
  }
  for (const json& records : common::GetArray(aBody, "records")) {
    mContext.boxes.gate.Send(import_records{ records });
  }
  mContext.boxes.gate.Send(import_suspects{ aBody.value("suspects", json()) });
  return { { "accepting", true },
           { "row", version::EncodeSession(*mSessions.OwnRow()) },
           { "version", mSessions.OwnRowVersion().Value() } };
}

void move_driver::CommitMove(const successor& aTarget)
{
  if (aTarget.row == nullptr) {
    Finish(false);
    return;
  }
  auto targetRow = std::make_shared<successor>(aTarget);
  auto prepare = [this, targetRow](row_edit& aEdit, version::session_row& aRow,
                                   connection::transaction& aTransaction) {
    std::vector<owned_slice> moved;
    for (owned_slice slice : mCurrent->slices) {
      if (!Contains(aRow.slices, slice)) {
        return false;
      }
      slice.epoch = slice.epoch.Next();
      moved.push_back(slice);
    }
    std::erase_if(aRow.slices,
                  [&](const owned_slice& aSlice) { return Contains(mCurrent->slices, aSlice); });
    if (const version::versioned_session_row* newest =
          mMap.Find(targetRow->row->service, targetRow->row->session);
        newest != nullptr && newest->row != nullptr && newest->version > targetRow->version) {
      *targetRow = { newest->row, newest->version };
    }
    aEdit.otherRows = { AddSlices(*targetRow, moved, &aTransaction) };
    aTransaction.writes.push_back(MakeAuditRow(mContext, { { "kind", "move" },
                                                           { "service", aRow.service.Str() },
                                                           { "from", aRow.session.Str() },
                                                           { "to", targetRow->row->session.Str() },
                                                           { "slices", moved.size() },
                                                           { "cause", mCurrent->cause } }));
    return true;
  };
  mSessions.EditOwnRow({ prepare, [this](bool aCommitted) { Finish(aCommitted); } });
}

void move_driver::Finish(bool aMoved)
{
  move done = std::move(*mCurrent);
  mCurrent.reset();
  mContext.boxes.gate.Send(end_move{ RangesOf(done.slices), aMoved });
  mContext.metrics.Get("moves_total", aMoved ? "outcome=\"moved\"" : "outcome=\"kept\"")++;
  done.callback(aMoved);
}

void move_driver::MoveAllAndRelease(const std::string& aCause, common::boot_time aEarliestCommit,
                                    std::function<void()> aCallback)
{
  mSessions.BeginLeave();
  mEarliestCommit = aEarliestCommit;
  mBatchesLeft = kMaxBatches;
  MoveNextBatch(aCause, std::move(aCallback));
}

void move_driver::MoveNextBatch(const std::string& aCause, std::function<void()> aCallback)
{
  if (mCurrent.has_value()) {
    mDelayTimer.StartOnce(kBusyRetryDelay, [=, this] { MoveNextBatch(aCause, aCallback); });
    return;
  }
  version::session_row_ptr own = mSessions.OwnRow();
  if (own == nullptr) {
    // The session was taken over in the meantime: there is nothing to hand over.
    mSessions.OnReleased();
    aCallback();
    return;
  }
  if (own->slices.empty() || mBatchesLeft-- == 0) {
    Release(aCause, std::move(aCallback));
    return;
  }
  FindSuccessors(
    mContext, mMap, own->service, { own->session }, kMaxSuccessors,
    [=, this](const std::vector<successor>& aSuccessors) {
      if (aSuccessors.empty() || mSessions.OwnRow() == nullptr) {
        Release(aCause, aCallback);
        return;
      }
      std::vector<size_t> counts;
      counts.reserve(aSuccessors.size());
      for (const successor& item : aSuccessors) {
        counts.push_back(item.row->slices.size());
      }
      auto slices = mSessions.OwnRow()->slices;
      auto parts = lease::DivideSlices(slices, counts);
      auto first = std::max_element(parts.begin(), parts.end(), [](auto& aLeft, auto& aRight) {
        return aLeft.size() < aRight.size();
      });
      // DivideSlices() returns the slices at their next epochs; Move() takes them at the present
      // ones.
      for (owned_slice& slice : *first) {
        slice.epoch = common::slice_epoch(slice.epoch.Value() - 1);
      }
      const successor& target = aSuccessors[size_t(first - parts.begin())];
      Move(*first, target.row, aCause, [=, this](bool) { MoveNextBatch(aCause, aCallback); });
    });
}

void move_driver::Release(const std::string& aCause, std::function<void()> aCallback)
{
  version::session_row_ptr own = mSessions.OwnRow();
  if (own == nullptr) {
    mSessions.OnReleased();
    aCallback();
    return;
  }
  // No slice is served from here on, so the session needs neither a lease nor witnesses.
  mContext.boxes.gate.Send(set_lease{ common::boot_time() });
  boost::intrusive_ptr<version::session_row> released(new version::session_row(*own));
  released->draining = true;
  released->witnesses.clear();
  std::string name = version::SessionRowName(own->service, own->session);
  bool keepRow = !own->slices.empty();
  connection::transaction transaction;
  transaction.conditions.push_back({ name, mSessions.OwnRowVersion() });
  transaction.writes.push_back({ name, keepRow ? version::EncodeSession(*released) : json() });
  transaction.writes.push_back(MakeAuditRow(mContext, { { "kind", "release" },
                                                        { "service", own->service.Str() },
                                                        { "from", own->session.Str() },
                                                        { "slices", own->slices.size() },
                                                        { "cause", aCause } }));
  mCommitter.Commit(std::move(transaction), [=, this](connection::commit_result aResult) {
    if (aResult.outcome == connection::commit_outcome::kConflict) {
      // Another daemon changed the row, for example by adding slices: reload it and move those too.
      mMap.LoadFromPlatform([=, this](bool) { MoveNextBatch(aCause, aCallback); });
      return;
    }
    version::versioned_session_row entry{ keepRow ? aResult.version : kDeletedVersion,
                                          keepRow ? version::session_row_ptr(released) : nullptr };
    mMap.Apply({ { name, entry } }, common::endpoint());
    for (const version::witness_ref& witness : own->witnesses) {
      mContext.peers.Call(witness.control, "/lease/release", { { "session", own->session.Str() } },
                          mContext.FromNow(kPeerTimeout), [](const connection::peer_reply&) {});
    }
    spdlog::info("released session {}, cause: {}", own->session.Str(), aCause);
    mSessions.OnReleased();
    aCallback();
  });
}

} // namespace bamboograde::process::control
