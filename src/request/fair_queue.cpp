#include "request/fair_queue.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

// Weight of the newest sample in the exponentially weighted mean cost of a row.
constexpr double kCostWeight = 0.1;

} // namespace

void fair_queue::SetWeights(const version::table& aTable)
{
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    it = it->second.queued == 0 && it->second.popped == 0 ? mFlows.erase(it) : std::next(it);
  }
  for (const version::table_row& row : aTable.Rows()) {
    auto found = mFlows.find(row.id);
    if (found != mFlows.end()) {
      found->second.weight = row.weight;
      continue;
    }
    mFlows[row.id].weight = row.weight;
  }
}

void fair_queue::Push(gate_request& aRequest)
{
  flow& target = mFlows[aRequest.row];
  if (target.queued == 0) {
    // A row that was idle starts at the present virtual time, so that idle time earns no credit.
    target.virtualTime = std::max(target.virtualTime, mVirtualNow);
  }
  aRequest.queuePosition = mSize;
  target.requests.push_back(aRequest);
  ++target.queued;
  ++mSize;
}

gate_request* fair_queue::Pop()
{
  flow* next = nullptr;
  for (auto& [row, candidate] : mFlows) {
    bool hasWork = candidate.queued > 0;
    if (hasWork && (next == nullptr || candidate.virtualTime < next->virtualTime)) {
      next = &candidate;
    }
  }
  if (next == nullptr) {
    return nullptr;
  }
  mVirtualNow = std::max(mVirtualNow, next->virtualTime);
  gate_request& request = next->requests.front();
  next->requests.pop_front();
  --next->queued;
  --mSize;
  ++next->popped;
  request.assumedCost = common::microseconds(int64_t(next->meanCost));
  next->virtualTime += next->meanCost / next->weight;
  return &request;
}

void fair_queue::Remove(gate_request& aRequest)
{
  flow& owner = mFlows[aRequest.row];
  owner.requests.erase(owner.requests.iterator_to(aRequest));
  --owner.queued;
  --mSize;
}

void fair_queue::Charge(const gate_request& aRequest, common::microseconds aActual)
{
  flow& owner = mFlows[aRequest.row];
  auto actual = double(aActual.count());
  owner.virtualTime += (actual - double(aRequest.assumedCost.count())) / owner.weight;
  owner.meanCost += kCostWeight * (actual - owner.meanCost);
}

template<typename predicate>
std::vector<gate_request*> fair_queue::RemoveIf(predicate aPredicate)
{
  std::vector<gate_request*> taken;
  for (auto& [row, candidate] : mFlows) {
    for (auto it = candidate.requests.begin(); it != candidate.requests.end();) {
      gate_request& request = *it;
      if (!aPredicate(request)) {
        ++it;
        continue;
      }
      it = candidate.requests.erase(it);
      --candidate.queued;
      --mSize;
      taken.push_back(&request);
    }
  }
  return taken;
}

std::vector<gate_request*> fair_queue::TakeExpired(common::boot_time aNow)
{
  return RemoveIf([aNow](const gate_request& aRequest) { return aRequest.deadline <= aNow; });
}

std::vector<gate_request*> fair_queue::TakeAll()
{
  return RemoveIf([](const gate_request&) { return true; });
}

common::microseconds fair_queue::EstimateWait(const common::row_id& aRow, size_t aSlots) const
{
  auto own = mFlows.find(aRow);
  if (own == mFlows.end() || aSlots == 0) {
    return common::microseconds(0);
  }
  double activeWeight = 0;
  for (const auto& [row, candidate] : mFlows) {
    bool isActive = candidate.queued > 0 || row == aRow;
    activeWeight += isActive ? candidate.weight : 0;
  }
  double share = own->second.weight / activeWeight * double(aSlots);
  return common::microseconds(int64_t(double(own->second.queued) * own->second.meanCost / share));
}

std::map<common::row_id, uint64_t> fair_queue::PoppedByRow() const
{
  std::map<common::row_id, uint64_t> counts;
  for (const auto& [row, candidate] : mFlows) {
    counts[row] = candidate.popped;
  }
  return counts;
}

} // namespace bamboograde::request
