// Uses the scheduler of a node on its own. Batch calls fill a target with a
// limit of 8 calls, then 4 online requests arrive. The program fails unless all
// online requests start at once, preempting batch calls as needed, and batch
// calls start again after the online requests have ended.

#include <cstdio>

#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

constexpr uint32_t kLimit = 8;
constexpr uint64_t kOnline = 4;

Work
MakeWork(uint64_t aId, WorkKind aKind, MonoTime aDeadline)
{
  Work work;
  work.mId = WorkId(aId);
  work.mKind = aKind;
  work.mWorkspace = WorkspaceId(aKind == WorkKind::eOnline ? "day" : "night");
  work.mCost = 100;
  work.mDeadline = aDeadline;
  work.mWindow = Seconds(3600); // used for batch work only
  return work;
}

struct Count
{
  uint32_t mOnline = 0;
  uint32_t mBatch = 0;
  uint32_t mPreempted = 0;
};

// Counts the steps of one scheduling pass. A node would start and cancel calls
// at its target accordingly.
Count
Decide(Scheduler& aScheduler, MonoTime aNow)
{
  std::vector<ScheduleStep> steps;
  Schedule(aScheduler, aNow, steps);
  Count count;
  for (const ScheduleStep& step : steps) {
    const bool online = step.mWork.mValue <= kOnline;
    count.mOnline += step.mKind == StepKind::eStart && online ? 1 : 0;
    count.mBatch += step.mKind == StepKind::eStart && !online ? 1 : 0;
    count.mPreempted += step.mKind == StepKind::ePreempt ? 1 : 0;
  }
  return count;
}

} // namespace

int
main()
{
  MonoTime now{ Seconds(1).mMicros };
  SchedulerSettings settings;
  settings.mLimit.mCold = kLimit; // the target can take 8 calls when cold
  settings.mLimit.mMax = kLimit;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false; // the target has announced itself

  for (uint64_t n = 0; n < kLimit; ++n) {
    AddBatch(scheduler,
             MakeWork(100 + n, WorkKind::eBatch, now + Seconds(3600)));
  }
  const Count filled = Decide(scheduler, now);

  now = now + Millis(10);
  for (uint64_t n = 1; n <= kOnline; ++n) {
    const Work work = MakeWork(n, WorkKind::eOnline, now + Seconds(5));
    if (OfferOnline(scheduler, now, work).mVerdict != Verdict::eQueued) {
      std::puts("FAILED: an online request was refused");
      return 1;
    }
  }
  const Count burst = Decide(scheduler, now);

  now = now + Millis(100);
  for (uint64_t n = 1; n <= kOnline; ++n) {
    RecordCallEnd(scheduler, now, WorkId(n), Ending::eGood, 100);
  }
  now = now + Seconds(60); // the headroom for bursts shrinks again
  const Count after = Decide(scheduler, now);

  std::printf("batch started %u; online started %u, preempted %u; batch "
              "started again %u\n",
              filled.mBatch,
              burst.mOnline,
              burst.mPreempted,
              after.mBatch);
  const bool good = filled.mBatch > 0 && burst.mOnline == kOnline &&
                    filled.mBatch + kOnline - burst.mPreempted <= kLimit &&
                    after.mBatch >= 1;
  std::puts(good ? "ok" : "FAILED: online work waited behind batch work");
  return good ? 0 : 1;
}
