#include "process/control/successors.h"

#include <algorithm>
#include <memory>

namespace bamboograde::process::control {

namespace {

constexpr common::milliseconds kProbeTimeout{ 250 };
// More sessions are queried than needed, because some of them may be lost as well.
constexpr size_t kCandidatesPerSuccessor = 3;

std::vector<version::session_row_ptr> Candidates(const map_gossip& aMap,
                                                 const common::service_name& aService,
                                                 const std::vector<common::session_id>& aExcept,
                                                 common::random_source& aRandom)
{
  auto sessions = aMap.Sessions(aService);
  std::erase_if(sessions, [&](const version::session_row_ptr& aRow) {
    return aRow->draining ||
           std::find(aExcept.begin(), aExcept.end(), aRow->session) != aExcept.end();
  });
  // Sessions with equal counts are shuffled, so that concurrent takeovers and moves spread over
  // different successors.
  for (size_t i = sessions.size(); i > 1; --i) {
    std::swap(sessions[i - 1], sessions[aRandom.Below(i)]);
  }
  std::stable_sort(sessions.begin(), sessions.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->slices.size() < aRight->slices.size();
  });
  return sessions;
}

} // namespace

void FindSuccessors(context& aContext, const map_gossip& aMap, const common::service_name& aService,
                    const std::vector<common::session_id>& aExcept, size_t aCount,
                    std::function<void(std::vector<successor>)> aCallback)
{
  struct collection
  {
    size_t outstanding = 0;
    std::vector<successor> successors;
  };
  auto queried = Candidates(aMap, aService, aExcept, aContext.random);
  queried.resize(std::min(queried.size(), aCount * kCandidatesPerSuccessor));
  if (queried.empty()) {
    aCallback({});
    return;
  }
  auto collected = std::make_shared<collection>();
  collected->outstanding = queried.size();
  for (const version::session_row_ptr& row : queried) {
    aContext.peers.Call(
      row->control, "/alive", { { "session", row->session.Str() } },
      aContext.FromNow(kProbeTimeout),
      [collected, row, aCount, aCallback](const connection::peer_reply& aReply) {
        if (aReply.ok && common::GetBool(aReply.body, "accepting")) {
          successor found{ version::DecodeSession(aReply.body.value("row", common::json())),
                           common::row_version(common::GetNumber(aReply.body, "version")) };
          if (found.row != nullptr && collected->successors.size() < aCount) {
            collected->successors.push_back(std::move(found));
          }
        }
        if (--collected->outstanding == 0) {
          aCallback(std::move(collected->successors));
        }
      });
  }
}

boost::intrusive_ptr<version::session_row> AddSlices(
  const successor& aSuccessor, const std::vector<version::owned_slice>& aSlices,
  connection::transaction* aTransaction)
{
  boost::intrusive_ptr<version::session_row> row(new version::session_row(*aSuccessor.row));
  row->slices.insert(row->slices.end(), aSlices.begin(), aSlices.end());
  std::sort(row->slices.begin(), row->slices.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.range < aRight.range; });
  std::string name = version::SessionRowName(row->service, row->session);
  aTransaction->conditions.push_back({ name, aSuccessor.version });
  aTransaction->writes.push_back({ name, version::EncodeSession(*row) });
  return row;
}

} // namespace bamboograde::process::control
