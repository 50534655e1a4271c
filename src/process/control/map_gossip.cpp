#include "process/control/map_gossip.h"

#include <set>

namespace bamboograde::process::control {

using common::json;

namespace {

constexpr size_t kPageRows = 200;
// Delay that combines several changes into one publication.
constexpr common::milliseconds kPublishDelay{ 2 };
constexpr unsigned kMismatchesBeforeSync = 2;
constexpr common::milliseconds kSyncTimeout{ 3000 };
// An owner that does not respond in time learns of its slices by gossip.
constexpr common::milliseconds kOwnerTimeout{ 200 };

json EncodeEntries(const std::vector<named_entry>& aEntries)
{
  json list = json::array();
  for (const named_entry& item : aEntries) {
    list.push_back(version::EncodeMapEntry(item.name, item.entry));
  }
  return list;
}

std::vector<named_entry> DecodeEntries(const json& aList)
{
  std::vector<named_entry> entries;
  for (const json& item : aList) {
    named_entry decoded;
    if (version::DecodeMapEntry(item, &decoded.name, &decoded.entry)) {
      entries.push_back(std::move(decoded));
    }
  }
  return entries;
}

} // namespace

map_gossip::map_gossip(context& aContext, committer& aCommitter)
  : mContext(aContext)
  , mCommitter(aCommitter)
  , mMap(new version::routing_map())
{
}

void map_gossip::SetNeighbours(std::vector<common::endpoint> aNeighbours)
{
  mNeighbours = std::move(aNeighbours);
}

const version::versioned_session_row* map_gossip::Find(const common::service_name& aService,
                                                       const common::session_id& aSession) const
{
  return mRows.Find(version::SessionRowName(aService, aSession));
}

std::vector<version::session_row_ptr> map_gossip::Sessions(
  const common::service_name& aService) const
{
  std::vector<version::session_row_ptr> sessions;
  for (const auto& [name, entry] : mRows.Entries()) {
    bool wanted = entry.row != nullptr && (aService.Empty() || entry.row->service == aService);
    if (wanted) {
      sessions.push_back(entry.row);
    }
  }
  return sessions;
}

void map_gossip::Apply(const std::vector<named_entry>& aEntries, const common::endpoint& aFrom)
{
  std::vector<named_entry> accepted;
  for (const named_entry& item : aEntries) {
    if (mRows.Apply(item.name, item.entry)) {
      accepted.push_back(item);
    }
  }
  if (accepted.empty()) {
    return;
  }
  mContext.metrics.Get("map_changes_total") += accepted.size();
  mObserver();
  if (!mPublishTimer.Running()) {
    mPublishTimer.StartOnce(kPublishDelay, [this] { Publish(); });
  }
  Push(accepted, aFrom);
}

void map_gossip::ApplyAfterOwners(const std::vector<named_entry>& aEntries,
                                  std::function<void()> aCallback)
{
  std::set<common::endpoint> owners;
  for (const named_entry& item : aEntries) {
    if (item.entry.row != nullptr && item.entry.row->control != mContext.config.listen.control) {
      owners.insert(item.entry.row->control);
    }
  }
  auto outstanding = std::make_shared<size_t>(owners.size());
  auto apply = [this, aEntries, callback = std::move(aCallback)] {
    Apply(aEntries, common::endpoint());
    callback();
  };
  if (owners.empty()) {
    apply();
    return;
  }
  json body = { { "entries", EncodeEntries(aEntries) } };
  for (const common::endpoint& owner : owners) {
    mContext.peers.Call(owner, "/map/push", body, mContext.FromNow(kOwnerTimeout),
                        [outstanding, apply](const connection::peer_reply&) {
                          if (--*outstanding == 0) {
                            apply();
                          }
                        });
  }
}

void map_gossip::Publish()
{
  mMap = mRows.Build();
  mPublisher();
}

void map_gossip::Push(const std::vector<named_entry>& aEntries, const common::endpoint& aExcept)
{
  json body = { { "from", mContext.config.listen.control.Str() },
                { "entries", EncodeEntries(aEntries) } };
  for (const common::endpoint& peer : mNeighbours) {
    if (peer != aExcept) {
      mContext.peers.Call(peer, "/map/push", body, mContext.FromNow(kPeerTimeout),
                          [](const connection::peer_reply&) {});
    }
  }
}

json map_gossip::HandlePush(const json& aBody)
{
  Apply(DecodeEntries(common::GetArray(aBody, "entries")),
        common::endpoint(common::GetString(aBody, "from")));
  return json::object();
}

void map_gossip::CompareDigest(const common::endpoint& aPeer, uint64_t aDigest)
{
  unsigned& mismatches = mDigestMismatches[aPeer];
  if (aDigest == mRows.Digest()) {
    mismatches = 0;
    return;
  }
  if (++mismatches >= kMismatchesBeforeSync) {
    mismatches = 0;
    SyncWith(aPeer);
  }
}

void map_gossip::SyncWith(const common::endpoint& aPeer)
{
  ++mContext.metrics.Get("map_syncs_total");
  json versions = json::object();
  for (const auto& [name, entry] : mRows.Entries()) {
    versions[name] = entry.version.Value();
  }
  mContext.peers.Call(
    aPeer, "/map/sync", { { "versions", std::move(versions) } }, mContext.FromNow(kSyncTimeout),
    [this, aPeer](const connection::peer_reply& aReply) {
      if (!aReply.ok) {
        return;
      }
      Apply(DecodeEntries(common::GetArray(aReply.body, "newer")), aPeer);
      std::vector<named_entry> wanted;
      for (const json& name : common::GetArray(aReply.body, "wanted")) {
        std::string text = name.is_string() ? name.get<std::string>() : "";
        if (const version::versioned_session_row* entry = mRows.Find(text)) {
          wanted.push_back({ text, *entry });
        }
      }
      json body = { { "from", mContext.config.listen.control.Str() },
                    { "entries", EncodeEntries(wanted) } };
      mContext.peers.Call(aPeer, "/map/push", body, mContext.FromNow(kSyncTimeout),
                          [](const connection::peer_reply&) {});
    });
}

json map_gossip::HandleSync(const json& aBody)
{
  json theirs = aBody.value("versions", json::object());
  std::vector<named_entry> newer;
  json wanted = json::array();
  for (const auto& [name, entry] : mRows.Entries()) {
    if (common::GetNumber(theirs, name.c_str()) < entry.version.Value()) {
      newer.push_back({ name, entry });
    }
  }
  for (const auto& [name, version] : theirs.items()) {
    const version::versioned_session_row* known = mRows.Find(name);
    uint64_t theirVersion = version.is_number_unsigned() ? version.get<uint64_t>() : 0;
    if (known == nullptr || known->version.Value() < theirVersion) {
      wanted.push_back(name);
    }
  }
  return { { "newer", EncodeEntries(newer) }, { "wanted", std::move(wanted) } };
}

void map_gossip::LoadFromPlatform(std::function<void(bool)> aCallback)
{
  LoadPage("", std::make_shared<std::vector<named_entry>>(), std::move(aCallback));
}

void map_gossip::LoadPage(std::string aAfter, std::shared_ptr<std::vector<named_entry>> aLoaded,
                          std::function<void(bool)> aCallback)
{
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Scan(
    version::kSessionPrefix, aAfter, kPageRows, mContext.FromNow(kPlatformTimeout),
    [this, aLoaded, callback = std::move(aCallback)](
      const common::result<std::vector<connection::platform_row>>& aRows) {
      mCommitter.NoteReachable(aRows.has_value());
      if (!aRows.has_value()) {
        callback(false);
        return;
      }
      for (const connection::platform_row& row : aRows.assume_value()) {
        aLoaded->push_back({ row.name, { row.version, version::DecodeSession(row.value) } });
      }
      if (aRows.assume_value().size() == kPageRows) {
        LoadPage(aRows.assume_value().back().name, aLoaded, callback);
        return;
      }
      FinishLoad(*aLoaded);
      callback(true);
    });
}

void map_gossip::FinishLoad(const std::vector<named_entry>& aLoaded)
{
  std::set<std::string> present;
  for (const named_entry& item : aLoaded) {
    present.insert(item.name);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : mRows.Entries()) {
    if (entry.row != nullptr && !present.contains(name)) {
      missing.push_back(name);
    }
  }
  Apply(aLoaded, common::endpoint());
  for (const std::string& name : missing) {
    ConfirmDeleted(name);
  }
}

void map_gossip::ConfirmDeleted(const std::string& aName)
{
  // The pages are not read atomically: only a read of the row itself proves that it was deleted.
  ++mContext.metrics.Get("platform_reads_total");
  mContext.platform.Read(aName, mContext.FromNow(kPlatformTimeout),
                         [this, aName](const common::result<connection::platform_row>& aRow) {
                           if (aRow.has_value() && aRow.assume_value().version.Value() == 0) {
                             Apply({ { aName, { kDeletedVersion, nullptr } } }, common::endpoint());
                           }
                         });
}

} // namespace bamboograde::process::control
