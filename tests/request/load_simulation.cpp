#include "request/load_simulation.h"

#include "common/event_queue.h"

#include <cmath>

namespace bamboograde::tests {

namespace {

using common::boot_time;
using common::microseconds;

struct caller
{
  const load_class* loadClass = nullptr;
  boot_time firstArrival;
  bool isRetry = false;
};

class load_simulation
{
public:
  load_simulation(const load_pattern& aPattern, bool aAdmission, uint64_t aSeed)
    : mPattern(aPattern)
    , mAdmission(aAdmission)
    , mRandom(aSeed)
  {
    mGate.SetSlots(aPattern.slots);
  }

  std::map<std::string, load_outcome> Run()
  {
    for (const load_class& loadClass : mPattern.classes) {
      ScheduleArrival(loadClass, boot_time());
    }
    mEvents.Run();
    return mOutcomes;
  }

private:
  void ScheduleArrival(const load_class& aClass, boot_time aFrom)
  {
    bool burst = aFrom >= boot_time(mPattern.burstFrom) && aFrom < boot_time(mPattern.burstUntil);
    double rate = aClass.perSecond * (burst ? mPattern.burstFactor : 1);
    double gap = -std::log(1 - mRandom.Unit()) / rate;
    boot_time at = aFrom + microseconds(int64_t(gap * 1e6));
    if (at < boot_time(mPattern.length)) {
      mEvents.At(at, [this, &aClass, at] {
        ++mOutcomes[aClass.name].arrived;
        Arrive({ &aClass, at, false });
        ScheduleArrival(aClass, at);
      });
    }
  }

  void Arrive(const caller& aCaller)
  {
    const load_class& loadClass = *aCaller.loadClass;
    if (!mAdmission) {
      mFifo.push(aCaller);
      StartFifo();
      return;
    }
    request::admission_decision decision =
      mGate.Offer({ loadClass.name, loadClass.rank, aCaller.firstArrival + loadClass.deadline,
                    aCaller.firstArrival + loadClass.target },
                  mEvents.Now());
    switch (decision.verdict) {
      case request::admission_verdict::kBusy:
      case request::admission_verdict::kReject:
        Reject(aCaller, decision.expectedWait);
        return;
      case request::admission_verdict::kStart:
        Start(decision.id, aCaller);
        return;
      case request::admission_verdict::kWait:
        mWaiting[decision.id] = aCaller;
        return;
    }
  }

  void Reject(const caller& aCaller, microseconds aWait)
  {
    boot_time deadline = aCaller.firstArrival + aCaller.loadClass->deadline;
    auto left = std::chrono::duration_cast<microseconds>(deadline - mEvents.Now());
    if (aCaller.isRetry) {
      ++mOutcomes[aCaller.loadClass->name].rejectedTwice;
      return;
    }
    caller retry = aCaller;
    retry.isRetry = true;
    mEvents.At(mEvents.Now() + std::min(std::max(aWait, microseconds(50000)), left / 3),
               [this, retry] { Arrive(retry); });
  }

  void Start(request::admission_id aId, const caller& aCaller)
  {
    double spread = 0.7 + 0.6 * mRandom.Unit();
    auto work =
      microseconds(int64_t(double(microseconds(aCaller.loadClass->work).count()) * spread));
    ++mRunning;
    mEvents.At(mEvents.Now() + work, [this, aId, aCaller] {
      --mRunning;
      Count(aCaller);
      if (!mAdmission) {
        StartFifo();
        return;
      }
      mGate.OnFinished(aId, true, mEvents.Now());
      for (request::admission_id unservable : mGate.TakeUnservable(mEvents.Now())) {
        CountNotServed(mWaiting[unservable]);
      }
      for (auto next = mGate.Next(mEvents.Now()); next.has_value();
           next = mGate.Next(mEvents.Now())) {
        Start(*next, mWaiting[*next]);
      }
    });
  }

  void StartFifo()
  {
    while (mRunning < mPattern.slots && !mFifo.empty()) {
      caller next = mFifo.front();
      mFifo.pop();
      if (mEvents.Now() + next.loadClass->work > next.firstArrival + next.loadClass->deadline) {
        CountNotServed(next);
      } else {
        Start(0, next);
      }
    }
  }

  void CountNotServed(const caller& aCaller)
  {
    load_outcome& outcome = mOutcomes[aCaller.loadClass->name];
    ++outcome.acceptedNotServed;
    outcome.maxLateRejection =
      std::max(outcome.maxLateRejection,
               std::chrono::duration_cast<microseconds>(mEvents.Now() - aCaller.firstArrival));
  }

  void Count(const caller& aCaller)
  {
    load_outcome& outcome = mOutcomes[aCaller.loadClass->name];
    auto spent = mEvents.Now() - aCaller.firstArrival;
    if (spent <= aCaller.loadClass->target) {
      ++outcome.inTarget;
    } else if (spent <= aCaller.loadClass->deadline) {
      ++outcome.late;
    } else {
      ++outcome.acceptedNotServed;
    }
  }

  const load_pattern& mPattern;
  bool mAdmission;
  common::seeded_random mRandom;
  request::admission mGate;
  event_queue mEvents;
  unsigned mRunning = 0;
  std::queue<caller> mFifo;
  std::map<request::admission_id, caller> mWaiting;
  std::map<std::string, load_outcome> mOutcomes;
};

} // namespace

std::map<std::string, load_outcome> SimulateLoad(const load_pattern& aPattern, bool aAdmission,
                                                 uint64_t aSeed)
{
  return load_simulation(aPattern, aAdmission, aSeed).Run();
}

} // namespace bamboograde::tests
