// Weighted fair queueing over the rows of the table: decides which request gets the next free slot.
//
// Each row is a flow with a virtual time, which is the slot time that the row has used divided by
// its weight. The flow with the smallest virtual time is served next. This is start-time fair
// queueing (Goyal et al., 1996), except that a request is charged its estimated cost when it is
// popped and the difference to its actual cost when it has finished.
#pragma once

#include "request/gate_request.h"

#include <map>

namespace bamboograde::request {

class fair_queue
{
public:
  // Sets the weights of all rows of the table. Requests that are queued stay with their rows.
  void SetWeights(const version::table& aTable);
  void Push(gate_request& aRequest);
  // Removes the next request and charges its row the mean cost. Null when the queue is empty.
  gate_request* Pop();
  // Removes a request, which must be queued.
  void Remove(gate_request& aRequest);
  // Corrects the charge for a popped request by its actual slot time.
  void Charge(const gate_request& aRequest, common::microseconds aActual);
  // Removes and returns all requests whose deadline has passed.
  std::vector<gate_request*> TakeExpired(common::boot_time aNow);
  std::vector<gate_request*> TakeAll();

  size_t Size() const { return mSize; }
  // Time until a request of the row would be dispatched with aSlots slots if it were queued now.
  common::microseconds EstimateWait(const common::row_id& aRow, size_t aSlots) const;
  // Number of requests popped so far per row, for request traces.
  std::map<common::row_id, uint64_t> PoppedByRow() const;

private:
  struct flow
  {
    double weight = 1;
    // Microseconds of slot time per unit of weight.
    double virtualTime = 0;
    // Exponentially weighted mean of the slot time, in microseconds.
    double meanCost = 1000;
    size_t queued = 0;
    uint64_t popped = 0;
    gate_request_list requests;
  };

  template<typename predicate>
  std::vector<gate_request*> RemoveIf(predicate aPredicate);

  std::map<common::row_id, flow> mFlows;
  double mVirtualNow = 0;
  size_t mSize = 0;
};

} // namespace bamboograde::request
