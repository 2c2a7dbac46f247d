// Picks the work to start and the batch calls to preempt for online work.

#include <algorithm>
#include <cmath>

#include "caraway/scheduling/scheduler.h"

namespace caraway {

namespace {

// Batch prompts that the engine may prefill at a time while online work runs.
// An online prompt waits behind them, and two would keep the prefill busy.
constexpr uint32_t kMaxBatchPrefills = 1;
constexpr uint32_t kProtectedDivisor = 10; // a tenth of the limit
// Batch work that could wait for fewer of its runs is due soon: a run that is
// cut, and its repetition, take about two.
constexpr int64_t kSpareRuns = 2;
// Without a period, or if items run for longer than its pauses, online work
// that has used all slots leaves a quarter of them to batch work, or due times
// would be all that starts it.
constexpr uint32_t kMostKeptNumerator = 3;
constexpr uint32_t kMostKeptDenominator = 4;
// A burst whose end is not known has mostly not ended this soon after a cut.
constexpr Duration kPauseAfterCut = Seconds(1);
// Items that a stated rate lets start within this time may wait here.
constexpr Duration kItemsAhead = Seconds(2);

using Steps = std::vector<ScheduleStep>;

void
Start(Scheduler& aScheduler, MonoTime aNow, const Work& aWork, Steps& aSteps)
{
  const Work work = aScheduler.mWaiting.at(aWork.mId);
  aScheduler.mWaiting.erase(aWork.mId);
  if (work.mKind == WorkKind::eOnline) {
    aScheduler.mUrgent.erase({ work.mDeadline, work.mId });
    aScheduler.mStartGoals.erase({ work.mStartGoal, work.mId });
    if (work.mQueuedAt < aNow) {
      RecordDeparture(aScheduler.mDrain, aNow);
    }
    ++aScheduler.mRunningOnline;
  } else {
    aScheduler.mBatch.erase({ work.mDeadline, work.mId });
  }
  RecordCallStart(aScheduler.mPace, aNow);
  aScheduler.mRunning[work.mId] = { work, aNow, aNow };
  aSteps.push_back({ StepKind::eStart, work.mId });
}

bool
HasLessProgress(const RunningWork& aLeft, const RunningWork& aRight)
{
  if (aLeft.mTokens != aRight.mTokens) {
    return aLeft.mTokens < aRight.mTokens;
  }
  return aLeft.mStarted > aRight.mStarted;
}

// Running batch calls that online work may not preempt: those near their
// deadline, at most a tenth of the limit, those with the most progress first.
std::set<WorkId>
ProtectedBatchCalls(const Scheduler& aScheduler, MonoTime aNow)
{
  std::vector<const RunningWork*> near;
  for (const auto& [id, running] : aScheduler.mRunning) {
    if (NearDeadline(running.mWork, aNow)) {
      near.push_back(&running);
    }
  }
  std::sort(
    near.begin(), near.end(), [](const auto* aLeft, const auto* aRight) {
      return HasLessProgress(*aRight, *aLeft);
    });
  near.resize(std::min<size_t>(near.size(),
                               aScheduler.mLimit.mValue / kProtectedDivisor));
  std::set<WorkId> protectedCalls;
  for (const RunningWork* running : near) {
    protectedCalls.insert(running->mWork.mId);
  }
  return protectedCalls;
}

// How long resumable batch work can wait and still meet its goal. Negative if
// it will be late anyway.
Duration
SpareTime(const Work& aWork, MonoTime aNow, Duration aThisRun)
{
  const Duration left =
    std::max(Duration{}, aWork.mRunTime - aWork.mRan - aThisRun);
  return aWork.mGoal - (aNow + left);
}

// The slack of a resumable batch call: its spare time. A call that will be late
// anyway ranks above all others.
int64_t
SlackOf(const RunningWork& aRunning, MonoTime aNow)
{
  const Duration spare =
    SpareTime(aRunning.mWork, aNow, aNow - aRunning.mStarted);
  return spare < Duration{} ? kNever.mMicros - spare.mMicros : spare.mMicros;
}

// True if work with a goal can still meet it, but with little time to wait.
bool
IsDueSoon(const Work& aWork, MonoTime aNow, Duration aThisRun)
{
  const Duration spare = SpareTime(aWork, aNow, aThisRun);
  return aWork.mGoal != MonoTime{} && spare >= Duration{} &&
         spare < aWork.mRunTime * kSpareRuns;
}

// True if some batch work here is due soon: then others of its kind are likely
// to wait elsewhere.
bool
HasWorkDueSoon(const Scheduler& aScheduler, MonoTime aNow)
{
  return std::any_of(aScheduler.mRunning.begin(),
                     aScheduler.mRunning.end(),
                     [&](const auto& aOne) {
                       return IsDueSoon(
                         aOne.second.mWork, aNow, aNow - aOne.second.mStarted);
                     }) ||
         (!aScheduler.mBatch.empty() &&
          IsDueSoon(aScheduler.mWaiting.at(aScheduler.mBatch.begin()->second),
                    aNow,
                    {}));
}

bool
IsPreemptedBefore(const RunningWork& aLeft,
                  const RunningWork& aRight,
                  MonoTime aNow)
{
  if (aLeft.mWork.mGoal != MonoTime{} && aRight.mWork.mGoal != MonoTime{}) {
    return SlackOf(aLeft, aNow) > SlackOf(aRight, aNow);
  }
  return HasLessProgress(aLeft, aRight);
}

// Preempts the batch call that can wait best. Returns false if there is none.
bool
PreemptOne(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  const std::set<WorkId> protectedCalls = ProtectedBatchCalls(aScheduler, aNow);
  const RunningWork* victim = nullptr;
  for (const auto& [id, running] : aScheduler.mRunning) {
    const bool candidate =
      running.mWork.mKind == WorkKind::eBatch && !protectedCalls.contains(id);
    if (candidate &&
        (victim == nullptr || IsPreemptedBefore(running, *victim, aNow))) {
      victim = &running;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  Work work = victim->mWork;
  work.mRan = work.mRan + (aNow - victim->mStarted);
  aScheduler.mRunning.erase(work.mId);
  aScheduler.mCutAt = aNow;
  AddBatch(aScheduler, work);
  aSteps.push_back({ StepKind::ePreempt, work.mId });
  return true;
}

struct PendingFirstTokens
{
  uint32_t mOnline = 0; // running calls without a first token
  uint32_t mBatch = 0;
};

PendingFirstTokens
CountPendingFirstTokens(const Scheduler& aScheduler)
{
  PendingFirstTokens count;
  for (const auto& [id, running] : aScheduler.mRunning) {
    if (running.mTokens == 0 && running.mWork.mStreamed) {
      ++(running.mWork.mKind == WorkKind::eOnline ? count.mOnline
                                                  : count.mBatch);
    }
  }
  return count;
}

// Total number of calls from which on batch calls are preempted for online
// work. Beyond the batch cap each call slows all others, and beyond the
// throughput bound it adds no throughput.
uint32_t
PreemptionBound(const Scheduler& aScheduler)
{
  if (aScheduler.mSettings.mFixedLimit != 0) {
    return CallLimit(aScheduler);
  }
  return std::min({ CallLimit(aScheduler),
                    aScheduler.mBatchCap.mValue,
                    aScheduler.mKnee.mBound });
}

// Slots that the forecast keeps free for online work while an item runs, beyond
// what online work uses now.
uint32_t
SlotsKeptFree(const Scheduler& aScheduler,
              MonoTime aNow,
              uint32_t aLimit,
              Duration aRunTime)
{
  if (HasWorkDueSoon(aScheduler, aNow)) {
    return 0;
  }
  const uint32_t most = aLimit * kMostKeptNumerator / kMostKeptDenominator;
  uint32_t expected = ExpectedOnlineCalls(aScheduler.mForecast, aRunTime);
  const bool hasBetterTime =
    aScheduler.mForecast.mPeriod != 0 &&
    LeastExpectedCalls(aScheduler.mForecast, aRunTime) < most;
  if (!hasBetterTime) {
    if (aNow - aScheduler.mCutAt < kPauseAfterCut) {
      return aLimit;
    }
    expected = std::min(expected, most);
  }
  const uint32_t online = OnlineCalls(aScheduler);
  return expected > online ? expected - online : 0;
}

// Total number of calls up to which batch work may be added. The headroom below
// PreemptionBound absorbs small bursts without preempting batch work.
uint32_t
BatchBound(const Scheduler& aScheduler, MonoTime aNow, Duration aRunTime)
{
  const uint32_t bound = PreemptionBound(aScheduler);
  if (aScheduler.mSettings.mFixedLimit != 0) {
    return aScheduler.mSettings.mSpareBursts
             ? bound -
                 std::min(bound,
                          SlotsKeptFree(aScheduler, aNow, bound, aRunTime))
             : bound; // a preempted item resumes at its last event
  }
  return bound - Headroom(aScheduler.mBursts, aNow, bound);
}

void
StartBatch(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  PendingFirstTokens awaiting = CountPendingFirstTokens(aScheduler);
  while (!aScheduler.mBatch.empty() && !aScheduler.mBatchHeld) {
    const Work work = aScheduler.mWaiting.at(aScheduler.mBatch.begin()->second);
    const Duration runTime = std::max(Duration{}, work.mRunTime - work.mRan);
    if (CallsAtTarget(aScheduler) >= BatchBound(aScheduler, aNow, runTime) ||
        !MayStart(aScheduler.mPace, aNow, StartKind::eBatch)) {
      return;
    }
    // Do not slow the prefill of an online prompt by adding batch prompts.
    const bool onlineAbout =
      aScheduler.mRunningOnline > 0 && aScheduler.mSettings.mFixedLimit == 0;
    if (onlineAbout &&
        (awaiting.mOnline > 0 || awaiting.mBatch >= kMaxBatchPrefills)) {
      return;
    }
    awaiting.mBatch += work.mStreamed ? 1 : 0;
    Start(aScheduler, aNow, work, aSteps);
  }
}

// Takes the next online work, the most important first: work that can be on
// time, then late work by deadline.
Work
PopOnline(Scheduler& aScheduler)
{
  const bool hasLate = !aScheduler.mLateWork.empty();
  if (aScheduler.mOnline.mSize > 0 &&
      (!hasLate || FirstRank(aScheduler.mOnline) <=
                     std::get<uint32_t>(*aScheduler.mLateWork.begin()))) {
    return PopRanked(aScheduler.mOnline);
  }
  const WorkId work = std::get<WorkId>(*aScheduler.mLateWork.begin());
  aScheduler.mLateWork.erase(aScheduler.mLateWork.begin());
  return aScheduler.mWaiting.at(work);
}

void
ScheduleOnlineFirst(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  DemoteLateWork(aScheduler, aNow);
  const uint32_t limit = CallLimit(aScheduler);
  // A cold target can take only few calls: preempt batch work above the limit.
  while (
    (aScheduler.mLimit.mRamping || aScheduler.mSettings.mFixedLimit != 0) &&
    CallsAtTarget(aScheduler) > limit && PreemptOne(aScheduler, aNow, aSteps)) {
  }
  while (WaitingOnline(aScheduler) > 0 &&
         MayStart(aScheduler.mPace, aNow, StartKind::eOnline)) {
    const bool crowded =
      CallsAtTarget(aScheduler) >= PreemptionBound(aScheduler);
    const bool freed = crowded && PreemptOne(aScheduler, aNow, aSteps);
    if (CallsAtTarget(aScheduler) >= limit && !freed) {
      return;
    }
    if (CallsAtTarget(aScheduler) < limit) {
      Start(aScheduler, aNow, PopOnline(aScheduler), aSteps);
    }
  }
  StartBatch(aScheduler, aNow, aSteps);
}

void
ScheduleFirstCome(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  while (aScheduler.mOnline.mSize > 0 &&
         CallsAtTarget(aScheduler) < aScheduler.mLimit.mValue) {
    Start(aScheduler, aNow, PopRanked(aScheduler.mOnline), aSteps);
  }
}

void
ScheduleFixedSplit(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  const uint32_t limit = aScheduler.mLimit.mValue;
  const uint32_t online = (limit + 1) / 2;
  while (aScheduler.mOnline.mSize > 0 &&
         aScheduler.mRunningOnline + aScheduler.mForeign < online) {
    Start(aScheduler, aNow, PopRanked(aScheduler.mOnline), aSteps);
  }
  while (!aScheduler.mBatch.empty() && !aScheduler.mBatchHeld &&
         aScheduler.mRunning.size() - aScheduler.mRunningOnline <
           std::max<uint32_t>(1, limit - online)) {
    const Work work = aScheduler.mWaiting.at(aScheduler.mBatch.begin()->second);
    Start(aScheduler, aNow, work, aSteps);
  }
}

void
ExpireWaiting(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  while (!aScheduler.mUrgent.empty() &&
         aScheduler.mUrgent.begin()->first <= aNow) {
    const WorkId work = aScheduler.mUrgent.begin()->second;
    WithdrawWaiting(aScheduler, aNow, work);
    aSteps.push_back({ StepKind::eExpire, work });
  }
}

} // namespace

void
Schedule(Scheduler& aScheduler,
         MonoTime aNow,
         std::vector<ScheduleStep>& aSteps)
{
  ExpireWaiting(aScheduler, aNow, aSteps);
  if (aScheduler.mSettings.mSpareBursts) {
    // A queue says no more than that all slots are needed.
    RecordOnlineCalls(aScheduler.mForecast,
                      aNow,
                      std::min(OnlineCalls(aScheduler), CallLimit(aScheduler)));
  }
  ForgetOldStarts(aScheduler.mPace, aNow);
  AdjustBatchCap(aScheduler.mBatchCap,
                 aNow,
                 aScheduler.mSettings.mLimit.mTokenGoal,
                 CallsAtTarget(aScheduler));
  if (aScheduler.mLimit.mRamping) {
    aScheduler.mKnee =
      ThroughputKnee(); // rates of a cold target do not apply once it is warm
  }
  AdjustKnee(aScheduler.mKnee, aNow);
  if (aScheduler.mHeld) {
    return;
  }
  switch (aScheduler.mSettings.mPolicy) {
    case SchedulePolicy::eOnlineFirst:
      ScheduleOnlineFirst(aScheduler, aNow, aSteps);
      break;
    case SchedulePolicy::eFirstCome:
      ScheduleFirstCome(aScheduler, aNow, aSteps);
      break;
    case SchedulePolicy::eFixedSplit:
      ScheduleFixedSplit(aScheduler, aNow, aSteps);
      break;
  }
}

MonoTime
NextDecision(const Scheduler& aScheduler)
{
  MonoTime next = kNever;
  if (!aScheduler.mUrgent.empty()) {
    next = aScheduler.mUrgent.begin()->first;
  }
  if (!aScheduler.mWaiting.empty() && !aScheduler.mHeld) {
    next = std::min(next, NextStart(aScheduler.mPace));
  }
  if (CallsAtTarget(aScheduler) > aScheduler.mLimit.mValue) {
    return next; // no timeouts above the limit
  }
  for (const auto& [id, running] : aScheduler.mRunning) {
    if (running.mWork.mStreamed && running.mTokens == 0 &&
        !running.mFirstTokenOverdue) {
      const Duration bound =
        ColdThreshold(aScheduler.mLimit, running.mWork.mPrompt);
      next = std::min(next, running.mStarted + bound + Micros(1));
    }
  }
  return next;
}

uint32_t
BatchRoom(const Scheduler& aScheduler, MonoTime aNow)
{
  const auto waiting = static_cast<uint32_t>(aScheduler.mBatch.size());
  uint32_t bound = BatchBound(aScheduler, aNow, aScheduler.mItemTime);
  uint32_t used = CallsAtTarget(aScheduler) +
                  static_cast<uint32_t>(WaitingOnline(aScheduler)) + waiting;
  if (aScheduler.mSettings.mPolicy != SchedulePolicy::eOnlineFirst) {
    bound = aScheduler.mLimit.mValue;
    used = CallsAtTarget(aScheduler) - aScheduler.mRunningOnline + waiting;
  }
  const uint32_t room = bound > used ? bound - used : 0;
  if (aScheduler.mPace.mStatedRate <= 0) {
    return room;
  }
  // Items that the rate keeps waiting here could run at other targets.
  const auto startable = static_cast<uint32_t>(
    std::ceil(aScheduler.mPace.mStatedRate * kItemsAhead.Seconds()));
  return std::min(room, startable > waiting ? startable - waiting : 0);
}

} // namespace caraway
