#include "request/load_model.h"

#include "common/event_queue.h"

#include <cmath>

namespace bamboograde::tests {

namespace {

using common::boot_time;
using common::microseconds;

struct caller
{
  const load_class* kind = nullptr;
  boot_time firstAsked;
  bool returned = false;
};

class replayer
{
public:
  replayer(const load_pattern& aPattern, bool aAdmission, uint64_t aSeed)
    : mPattern(aPattern)
    , mAdmission(aAdmission)
    , mRandom(aSeed)
  {
    mGate.SetSlots(aPattern.slots);
  }

  std::map<std::string, load_outcome> Run()
  {
    for (const load_class& kind : mPattern.classes) {
      ScheduleArrival(kind, boot_time());
    }
    mEvents.Run();
    return mOutcomes;
  }

private:
  void ScheduleArrival(const load_class& aKind, boot_time aFrom)
  {
    bool burst = aFrom >= boot_time(mPattern.burstFrom) && aFrom < boot_time(mPattern.burstUntil);
    double rate = aKind.perSecond * (burst ? mPattern.burst : 1);
    double gap = -std::log(1 - mRandom.Unit()) / rate;
    boot_time at = aFrom + microseconds(int64_t(gap * 1e6));
    if (at < boot_time(mPattern.length)) {
      mEvents.At(at, [this, &aKind, at] {
        ++mOutcomes[aKind.name].asked;
        Arrive({ &aKind, at, false });
        ScheduleArrival(aKind, at);
      });
    }
  }

  void Arrive(const caller& aCaller)
  {
    const load_class& kind = *aCaller.kind;
    if (!mAdmission) {
      mFifo.push(aCaller);
      StartFifo();
      return;
    }
    request::admission_decision decision =
      mGate.Offer({ kind.name, kind.rank, aCaller.firstAsked + kind.deadline,
                    aCaller.firstAsked + kind.target },
                  mEvents.Now());
    switch (decision.verdict) {
      case request::admission_verdict::kBusy:
      case request::admission_verdict::kReject:
        Reject(aCaller, decision.expectedWait);
        return;
      case request::admission_verdict::kStart:
        Start(decision.ticket, aCaller);
        return;
      case request::admission_verdict::kWait:
        mWaiting[decision.ticket] = aCaller;
        return;
    }
  }

  void Reject(const caller& aCaller, microseconds aWait)
  {
    boot_time deadline = aCaller.firstAsked + aCaller.kind->deadline;
    auto left = std::chrono::duration_cast<microseconds>(deadline - mEvents.Now());
    if (aCaller.returned) {
      ++mOutcomes[aCaller.kind->name].rejectedTwice;
      return;
    }
    caller again = aCaller;
    again.returned = true;
    mEvents.At(mEvents.Now() + std::min(std::max(aWait, microseconds(50000)), left / 3),
               [this, again] { Arrive(again); });
  }

  void Start(request::ticket_number aTicket, const caller& aCaller)
  {
    double spread = 0.7 + 0.6 * mRandom.Unit();
    auto work = microseconds(int64_t(double(microseconds(aCaller.kind->work).count()) * spread));
    ++mRunning;
    mEvents.At(mEvents.Now() + work, [this, aTicket, aCaller] {
      --mRunning;
      Count(aCaller);
      if (!mAdmission) {
        StartFifo();
        return;
      }
      mGate.OnFinished(aTicket, true, mEvents.Now());
      for (request::ticket_number lost : mGate.TakeHopeless(mEvents.Now())) {
        Break(mWaiting[lost]);
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
      if (mEvents.Now() + next.kind->work > next.firstAsked + next.kind->deadline) {
        Break(next);
      } else {
        Start(0, next);
      }
    }
  }

  void Break(const caller& aCaller)
  {
    load_outcome& outcome = mOutcomes[aCaller.kind->name];
    ++outcome.brokenPromises;
    outcome.longestRejection =
      std::max(outcome.longestRejection,
               std::chrono::duration_cast<microseconds>(mEvents.Now() - aCaller.firstAsked));
  }

  void Count(const caller& aCaller)
  {
    load_outcome& outcome = mOutcomes[aCaller.kind->name];
    auto spent = mEvents.Now() - aCaller.firstAsked;
    if (spent <= aCaller.kind->target) {
      ++outcome.inTarget;
    } else if (spent <= aCaller.kind->deadline) {
      ++outcome.late;
    } else {
      ++outcome.brokenPromises;
    }
  }

  const load_pattern& mPattern;
  bool mAdmission;
  common::seeded_random mRandom;
  request::admission mGate;
  event_queue mEvents;
  unsigned mRunning = 0;
  std::queue<caller> mFifo;
  std::map<request::ticket_number, caller> mWaiting;
  std::map<std::string, load_outcome> mOutcomes;
};

} // namespace

std::map<std::string, load_outcome> Replay(const load_pattern& aPattern, bool aAdmission,
                                           uint64_t aSeed)
{
  return replayer(aPattern, aAdmission, aSeed).Run();
}

} // namespace bamboograde::tests
