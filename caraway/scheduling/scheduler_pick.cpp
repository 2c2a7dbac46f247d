// Which work starts, and which batch call gives way to online work.

#include <algorithm>

#include "caraway/scheduling/scheduler.h"

namespace caraway {

namespace {

// Batch prompts read by the engine at one time while online work is about. An
// online prompt waits behind them, and two keep the engine's reading busy.
constexpr uint32_t kMaxBatchPrefills = 1;
constexpr uint32_t kProtectedDivisor = 10; // of the limit, near their deadline

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
LessProgress(const RunningWork& aLeft, const RunningWork& aRight)
{
  if (aLeft.mTokens != aRight.mTokens) {
    return aLeft.mTokens < aRight.mTokens;
  }
  return aLeft.mStarted > aRight.mStarted;
}

// Running batch calls that online work may not stop: those near their
// deadline, at most a tenth of the limit, the ones with most progress first.
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
      return LessProgress(*aRight, *aLeft);
    });
  near.resize(std::min<size_t>(near.size(),
                               aScheduler.mLimit.mValue / kProtectedDivisor));
  std::set<WorkId> kept;
  for (const RunningWork* running : near) {
    kept.insert(running->mWork.mId);
  }
  return kept;
}

// How well a resumable batch call can wait: a late one best, then the one with
// the most time to spare.
int64_t
SpareTime(const RunningWork& aRunning, MonoTime aNow)
{
  const Work& work = aRunning.mWork;
  const Duration left = std::max(
    Duration{}, work.mRunTime - work.mRan - (aNow - aRunning.mStarted));
  const Duration spare = work.mGoal - (aNow + left);
  return spare < Duration{} ? kNever.mMicros - spare.mMicros : spare.mMicros;
}

bool
YieldsBefore(const RunningWork& aLeft, const RunningWork& aRight, MonoTime aNow)
{
  if (aLeft.mWork.mGoal != MonoTime{} && aRight.mWork.mGoal != MonoTime{}) {
    return SpareTime(aLeft, aNow) > SpareTime(aRight, aNow);
  }
  return LessProgress(aLeft, aRight);
}

// Stops the batch call that can wait best; false if there is none.
bool
PreemptOne(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  const std::set<WorkId> kept = ProtectedBatchCalls(aScheduler, aNow);
  const RunningWork* least = nullptr;
  for (const auto& [id, running] : aScheduler.mRunning) {
    const bool candidate =
      running.mWork.mKind == WorkKind::eBatch && !kept.contains(id);
    if (candidate &&
        (least == nullptr || YieldsBefore(running, *least, aNow))) {
      least = &running;
    }
  }
  if (least == nullptr) {
    return false;
  }
  Work work = least->mWork;
  work.mRan = work.mRan + (aNow - least->mStarted);
  aScheduler.mRunning.erase(work.mId);
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

// Calls in total above which batch work gives way to online work. Beyond the
// batch cap every call slows all others, and beyond the throughput bound it
// brings nothing.
uint32_t
PreemptionBound(const Scheduler& aScheduler)
{
  if (aScheduler.mSettings.mFixedLimit != 0) {
    return aScheduler.mSettings.mFixedLimit;
  }
  return std::min({ CallLimit(aScheduler),
                    aScheduler.mBatchCap.mValue,
                    aScheduler.mKnee.mBound });
}

// Calls in total up to which batch work may be added. The headroom below the
// other bound takes in small bursts without stopping batch work.
uint32_t
BatchBound(const Scheduler& aScheduler, MonoTime aNow)
{
  const uint32_t bound = PreemptionBound(aScheduler);
  if (aScheduler.mSettings.mFixedLimit != 0) {
    return bound; // a stopped item goes on later from its last event
  }
  return bound - Headroom(aScheduler.mBursts, aNow, bound);
}

void
StartBatch(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  const uint32_t bound = BatchBound(aScheduler, aNow);
  PendingFirstTokens awaiting = CountPendingFirstTokens(aScheduler);
  while (!aScheduler.mBatch.empty()) {
    if (CallsAtTarget(aScheduler) >= bound ||
        !MayStart(aScheduler.mPace, aNow, StartKind::eBatch)) {
      return;
    }
    // An online prompt that the engine reads now is not slowed by new ones.
    const bool onlineAbout =
      aScheduler.mRunningOnline > 0 && aScheduler.mSettings.mFixedLimit == 0;
    if (onlineAbout &&
        (awaiting.mOnline > 0 || awaiting.mBatch >= kMaxBatchPrefills)) {
      return;
    }
    const Work work = aScheduler.mWaiting.at(aScheduler.mBatch.begin()->second);
    awaiting.mBatch += work.mStreamed ? 1 : 0;
    Start(aScheduler, aNow, work, aSteps);
  }
}

// Work that can be on time, then work whose goal has passed, the most patient
// caller last.
Work
PopOnline(Scheduler& aScheduler)
{
  if (aScheduler.mOnline.mSize > 0) {
    return PopFair(aScheduler.mOnline);
  }
  const WorkId work = aScheduler.mLateWork.begin()->second;
  aScheduler.mLateWork.erase(aScheduler.mLateWork.begin());
  return aScheduler.mWaiting.at(work);
}

void
ScheduleOnlineFirst(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  DemoteLateWork(aScheduler, aNow);
  const uint32_t limit = CallLimit(aScheduler);
  // A cold target bears few calls: batch work above the limit goes at once.
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
    Start(aScheduler, aNow, PopFair(aScheduler.mOnline), aSteps);
  }
}

void
ScheduleFixedSplit(Scheduler& aScheduler, MonoTime aNow, Steps& aSteps)
{
  const uint32_t limit = aScheduler.mLimit.mValue;
  const uint32_t online = (limit + 1) / 2;
  while (aScheduler.mOnline.mSize > 0 &&
         aScheduler.mRunningOnline + aScheduler.mForeign < online) {
    Start(aScheduler, aNow, PopFair(aScheduler.mOnline), aSteps);
  }
  while (!aScheduler.mBatch.empty() &&
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
  ForgetOldStarts(aScheduler.mPace, aNow);
  AdjustBatchCap(aScheduler.mBatchCap,
                 aNow,
                 aScheduler.mSettings.mLimit.mTokenGoal,
                 CallsAtTarget(aScheduler));
  if (aScheduler.mLimit.mRamping) {
    aScheduler.mKnee =
      ThroughputKnee(); // rates of a cold target say nothing of a warm one
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
    return next; // silence says nothing above the limit
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
  uint32_t bound = BatchBound(aScheduler, aNow);
  uint32_t used = CallsAtTarget(aScheduler) +
                  static_cast<uint32_t>(WaitingOnline(aScheduler)) + waiting;
  if (aScheduler.mSettings.mPolicy != SchedulePolicy::eOnlineFirst) {
    bound = aScheduler.mLimit.mValue;
    used = CallsAtTarget(aScheduler) - aScheduler.mRunningOnline + waiting;
  }
  return bound > used ? bound - used : 0;
}

} // namespace caraway
