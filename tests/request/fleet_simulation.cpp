#include "request/fleet_simulation.h"

#include "common/event_queue.h"
#include "request/admission.h"
#include "request/placement_search.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace bamboograde::tests {

namespace {

using common::boot_time;
using common::microseconds;

constexpr char kWork[] = "work";
constexpr unsigned kMaxTries = 4;

struct gate
{
  request::admission admission;
  unsigned zone = 0;
  double speed = 1;
  double busySeconds = 0;
  std::map<request::admission_id, struct job> waiting;
};

struct job
{
  boot_time arrivedAt;
  unsigned zone = 0;
};

class fleet_simulation
{
public:
  fleet_simulation(const fleet_pattern& aPattern, fleet_policy aPolicy, uint64_t aSeed)
    : mPattern(aPattern)
    , mPolicy(aPolicy)
    , mRandom(aSeed)
    , mGates(aPattern.speeds.size())
  {
    for (size_t i = 0; i < mGates.size(); ++i) {
      mGates[i].admission.SetSlots(aPattern.slots);
      mGates[i].zone = unsigned(i) % aPattern.zones;
      mGates[i].speed = aPattern.speeds[i];
    }
    for (unsigned i = 0; i < aPattern.entries; ++i) {
      mEntries.push_back(std::make_unique<request::placement>(mRandom));
    }
  }

  fleet_outcome Run()
  {
    ScheduleArrival();
    mEvents.Run();
    std::chrono::duration<double> length = mPattern.length;
    for (const gate& one : mGates) {
      double utilization = one.busySeconds / (length.count() * mPattern.slots);
      mOutcome.maxUtilization = std::max(mOutcome.maxUtilization, utilization);
      mOutcome.minUtilization = std::min(mOutcome.minUtilization, utilization);
    }
    return mOutcome;
  }

private:
  void ScheduleArrival()
  {
    double gap = -std::log(1 - mRandom.Unit()) / mPattern.perSecond;
    boot_time at = mEvents.Now() + microseconds(int64_t(gap * 1e6));
    if (at < boot_time(mPattern.length)) {
      mEvents.At(at, [this] {
        Arrive();
        ScheduleArrival();
      });
    }
  }

  void Arrive()
  {
    ++mOutcome.arrived;
    size_t entry = size_t(mRandom.Below(mPattern.entries));
    job newJob{ mEvents.Now(), unsigned(entry) % mPattern.zones };
    bool placed = mPolicy == fleet_policy::kSearch ? Search(entry, newJob) : Try(entry, newJob);
    mOutcome.rejected += placed ? 0 : 1;
  }

  std::vector<request::placement_candidate> Candidates(unsigned aZone) const
  {
    std::vector<request::placement_candidate> candidates;
    for (size_t i = 0; i < mGates.size(); ++i) {
      bool near = mGates[i].zone == aZone;
      candidates.push_back({ std::to_string(i),
                             near ? request::distance::kSameZone : request::distance::kOtherZone,
                             mPattern.slots });
    }
    return candidates;
  }

  bool Search(size_t aEntry, const job& aJob)
  {
    request::placement_search search(*mEntries[aEntry]);
    auto candidates = Candidates(aJob.zone);
    for (auto step = search.Next(candidates, mEvents.Now()); step.has_value();
         step = search.Next(candidates, mEvents.Now())) {
      auto decision = Offer(aEntry, step->index, aJob, step->onlyIfFree);
      switch (decision.verdict) {
        case request::admission_verdict::kStart:
        case request::admission_verdict::kWait:
          return true;
        case request::admission_verdict::kBusy:
          search.OnBusy(candidates[step->index].vm, decision.expectedWait);
          break;
        case request::admission_verdict::kReject:
          search.OnRefused(candidates[step->index].vm);
          break;
      }
    }
    return false;
  }

  bool Try(size_t aEntry, const job& aJob)
  {
    auto candidates = Candidates(aJob.zone);
    for (unsigned tries = 0; tries < kMaxTries && !candidates.empty(); ++tries) {
      size_t chosen = mPolicy == fleet_policy::kRandom
                        ? size_t(mRandom.Below(candidates.size()))
                        : mEntries[aEntry]->Choose(candidates, mEvents.Now());
      size_t index = std::stoul(candidates[chosen].vm);
      if (Offer(aEntry, index, aJob, false).verdict != request::admission_verdict::kReject) {
        return true;
      }
      candidates.erase(candidates.begin() + long(chosen));
    }
    return false;
  }

  request::admission_decision Offer(size_t aEntry, size_t aGate, const job& aJob, bool aOnlyIfFree)
  {
    gate& target = mGates[aGate];
    auto decision = target.admission.Offer({ kWork, 1, aJob.arrivedAt + mPattern.deadline,
                                             aJob.arrivedAt + mPattern.target, aOnlyIfFree },
                                           mEvents.Now());
    Report(aEntry, aGate);
    if (decision.verdict == request::admission_verdict::kStart) {
      Start(aEntry, aGate, decision.id, aJob);
    } else if (decision.verdict == request::admission_verdict::kWait) {
      target.waiting[decision.id] = aJob;
    }
    return decision;
  }

  void Report(size_t aEntry, size_t aGate)
  {
    const request::admission& admission = mGates[aGate].admission;
    mEntries[aEntry]->OnReport(std::to_string(aGate),
                               { unsigned(admission.Running()), unsigned(admission.Waiting()),
                                 mPattern.slots, admission.MeanServiceTime() },
                               mEvents.Now());
  }

  void Start(size_t aEntry, size_t aGate, request::admission_id aId, const job& aJob)
  {
    double spread = 0.5 + mRandom.Unit();
    auto work = microseconds(
      int64_t(double(microseconds(mPattern.work).count()) * spread / mGates[aGate].speed));
    mGates[aGate].busySeconds += std::chrono::duration<double>(work).count();
    mEvents.At(mEvents.Now() + work, [this, aEntry, aGate, aId, aJob] {
      gate& target = mGates[aGate];
      target.admission.OnFinished(aId, true, mEvents.Now());
      Count(target, aJob);
      Report(aEntry, aGate);
      for (request::admission_id unservable : target.admission.TakeUnservable(mEvents.Now())) {
        target.waiting.erase(unservable);
        ++mOutcome.rejected;
      }
      for (auto next = target.admission.Next(mEvents.Now()); next.has_value();
           next = target.admission.Next(mEvents.Now())) {
        job waited = target.waiting[*next];
        target.waiting.erase(*next);
        Start(aEntry, aGate, *next, waited);
      }
    });
  }

  void Count(const gate& aGate, const job& aJob)
  {
    bool inTarget = mEvents.Now() - aJob.arrivedAt <= mPattern.target;
    mOutcome.inTarget += inTarget ? 1 : 0;
    mOutcome.late += inTarget ? 0 : 1;
    mOutcome.otherZone += aGate.zone == aJob.zone ? 0 : 1;
  }

  const fleet_pattern& mPattern;
  fleet_policy mPolicy;
  common::seeded_random mRandom;
  std::vector<gate> mGates;
  std::vector<std::unique_ptr<request::placement>> mEntries;
  event_queue mEvents;
  fleet_outcome mOutcome;
};

} // namespace

fleet_outcome SimulateFleet(const fleet_pattern& aPattern, fleet_policy aPolicy, uint64_t aSeed)
{
  return fleet_simulation(aPattern, aPolicy, aSeed).Run();
}

} // namespace bamboograde::tests
