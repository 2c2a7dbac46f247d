// Waiting and running work, and the measurements taken from it. The decisions
// are in scheduler_pick.cpp.

#include "caraway/scheduling/scheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// A gap sample is the mean of this many gaps. A single engine step that also
// prefills a long prompt delays one token of every call at once, so single gaps
// are misleading.
constexpr uint32_t kGapTokens = 8;
constexpr uint32_t kProgressTokens = 32; // per RecordProgress
// Fraction of the time to its deadline that late work waits at most. It
// outlasts bursts of a few seconds, and leaves the caller a third of the time
// to retry.
constexpr int64_t kLateWaitNumerator = 2;
constexpr int64_t kLateWaitDenominator = 3;

// Three quarters of the limit count as used up when deciding on its growth.
bool
IsLimitNearlyUsed(const Scheduler& aScheduler)
{
  // The fixed split never gives more than half of the limit to one kind.
  const uint32_t share =
    aScheduler.mSettings.mPolicy == SchedulePolicy::eFixedSplit ? 2 : 1;
  return CallsAtTarget(aScheduler) * 4 * share >= aScheduler.mLimit.mValue * 3;
}

bool
IsWithinLimit(const Scheduler& aScheduler)
{
  return CallsAtTarget(aScheduler) <= aScheduler.mLimit.mValue;
}

bool
HasRoomForOnline(const Scheduler& aScheduler)
{
  if (aScheduler.mHeld || WaitingOnline(aScheduler) > 0) {
    return false;
  }
  const uint32_t foreignAndOnline =
    aScheduler.mRunningOnline + aScheduler.mForeign;
  const bool yields =
    aScheduler.mSettings.mPolicy == SchedulePolicy::eOnlineFirst;
  return (yields ? foreignAndOnline : CallsAtTarget(aScheduler)) <
         CallLimit(aScheduler);
}

Work
TakeWaiting(Scheduler& aScheduler, WorkId aWork)
{
  auto place = aScheduler.mWaiting.find(aWork);
  Work work = std::move(place->second);
  aScheduler.mWaiting.erase(place);
  if (work.mKind == WorkKind::eOnline) {
    aScheduler.mUrgent.erase({ work.mDeadline, aWork });
    aScheduler.mStartGoals.erase({ work.mStartGoal, aWork });
    aScheduler.mLateWork.erase({ work.mRank, work.mDeadline, aWork });
  } else {
    aScheduler.mBatch.erase({ work.mDeadline, aWork });
  }
  return work;
}

uint32_t
OnlineSlots(const Scheduler& aScheduler)
{
  const uint32_t limit = CallLimit(aScheduler);
  return aScheduler.mSettings.mPolicy == SchedulePolicy::eFixedSplit
           ? std::max<uint32_t>(1, limit / 2)
           : limit;
}

MonoTime
LateWorkDeadline(const Work& aWork)
{
  if (aWork.mIsCallerRetry) {
    return aWork.mDeadline;
  }
  const Duration time = aWork.mDeadline - aWork.mQueuedAt;
  return aWork.mQueuedAt + time * kLateWaitNumerator / kLateWaitDenominator;
}

// True if the work would miss its goal and its caller can be told to retry
// later.
bool
ShouldReturnLater(const Work& aWork, MonoTime aNow, Duration aWait)
{
  return aWork.mMayReturn && aWork.mStartGoal != MonoTime{} &&
         aNow + aWait > aWork.mStartGoal;
}

// Reserves the time at which a refused caller should retry. The times of
// different callers are one expected departure apart, so that they do not
// collide again.
Duration
ReserveReturnTime(Scheduler& aScheduler, MonoTime aNow, Duration aWait)
{
  const Duration drain =
    DrainTime(aScheduler.mDrain, aNow, 1)
      .value_or(ExpectedWait(
        aScheduler.mRate, aScheduler.mRate.mCost, OnlineSlots(aScheduler)));
  const Duration each = std::max(drain, TimePerStart(aScheduler.mPace));
  const MonoTime at = std::max(aScheduler.mNextReturn, aNow + aWait);
  aScheduler.mNextReturn = at + each;
  return at - aNow;
}

// Evicts the work that gives way first. Returns none if the newcomer has to be
// refused instead.
WorkId
MakeRoom(Scheduler& aScheduler, const Work& aNewcomer)
{
  if (aScheduler.mSettings.mPolicy != SchedulePolicy::eOnlineFirst) {
    return {};
  }
  const std::optional<Work> evicted = EvictFor(aScheduler.mOnline, aNewcomer);
  if (!evicted) {
    return {};
  }
  TakeWaiting(aScheduler, evicted->mId);
  return evicted->mId;
}

// Cost of the late work that goes before work of this rank.
double
LateCostAhead(const Scheduler& aScheduler, uint32_t aRank)
{
  double cost = 0;
  for (const auto& [rank, deadline, id] : aScheduler.mLateWork) {
    if (rank >= aRank) {
      break;
    }
    cost += aScheduler.mWaiting.at(id).mCost;
  }
  return cost;
}

} // namespace

Scheduler
MakeScheduler(const SchedulerSettings& aSettings)
{
  Scheduler scheduler;
  scheduler.mSettings = aSettings;
  scheduler.mLimit = MakeLimit(aSettings.mLimit);
  return scheduler;
}

uint32_t
CallLimit(const Scheduler& aScheduler)
{
  if (aScheduler.mSettings.mFixedLimit != 0) {
    return SlowStartLimit(aScheduler.mSlowStart,
                          aScheduler.mSettings.mFixedLimit);
  }
  // For the baselines, only the latency goals limit the calls.
  if (aScheduler.mSettings.mPolicy != SchedulePolicy::eOnlineFirst) {
    return aScheduler.mLimit.mValue;
  }
  // The throughput bound is learned on a changing mix of work. Online work may
  // exceed it by half: waiting in the queue delays the first token more than a
  // few slower engine steps do.
  const uint64_t online = uint64_t{ aScheduler.mKnee.mBound } * 3 / 2;
  return static_cast<uint32_t>(
    std::min<uint64_t>(aScheduler.mLimit.mValue, online));
}

uint32_t
CallsAtTarget(const Scheduler& aScheduler)
{
  return static_cast<uint32_t>(aScheduler.mRunning.size()) +
         aScheduler.mForeign;
}

uint32_t
OnlineCalls(const Scheduler& aScheduler)
{
  return aScheduler.mRunningOnline + aScheduler.mForeign +
         static_cast<uint32_t>(WaitingOnline(aScheduler));
}

OfferResult
OfferOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork)
{
  OfferResult result;
  RecordArrival(aScheduler.mBursts, aNow);
  DemoteLateWork(aScheduler, aNow);
  result.mExpectedWait = ExpectedStart(aScheduler, aNow, aWork);
  if (aWork.mDeadline <= aNow ||
      aNow + result.mExpectedWait > aWork.mDeadline) {
    result.mVerdict = Verdict::eRefused;
    result.mKind = ErrorKind::eDeadlineTooShort;
    result.mRetryAfter = std::max(Millis(100), result.mExpectedWait);
    return result;
  }
  if (ShouldReturnLater(aWork, aNow, result.mExpectedWait)) {
    result.mVerdict = Verdict::eRefused;
    result.mKind = ErrorKind::eOverloaded;
    result.mRetryAfter =
      ReserveReturnTime(aScheduler, aNow, result.mExpectedWait);
    return result;
  }
  if (WaitingOnline(aScheduler) >= aScheduler.mSettings.mMaxOnlineQueue) {
    result.mEvicted = MakeRoom(aScheduler, aWork);
    if (result.mEvicted.IsNone()) {
      result.mVerdict = Verdict::eRefused;
      result.mKind = ErrorKind::eOverloaded;
      result.mRetryAfter = std::max(Seconds(1), result.mExpectedWait);
      return result;
    }
  }
  Work queued = aWork;
  queued.mKind = WorkKind::eOnline;
  queued.mQueuedAt = aNow;
  aScheduler.mUrgent.insert({ queued.mDeadline, queued.mId });
  if (queued.mStartGoal != MonoTime{}) {
    aScheduler.mStartGoals.insert({ queued.mStartGoal, queued.mId });
  }
  aScheduler.mWaiting.emplace(queued.mId, queued);
  if (aScheduler.mSettings.mPolicy != SchedulePolicy::eOnlineFirst) {
    queued.mWorkspace = {}; // the baselines use one flow for all
    queued.mRank = 0;
    queued.mIsCallerRetry = false;
  }
  PushRanked(aScheduler.mOnline, std::move(queued));
  return result;
}

void
AddBatch(Scheduler& aScheduler, const Work& aWork)
{
  Work queued = aWork;
  queued.mKind = WorkKind::eBatch;
  if (queued.mRunTime > Duration{}) {
    aScheduler.mItemTime = queued.mRunTime;
  }
  aScheduler.mBatch.insert({ queued.mDeadline, queued.mId });
  aScheduler.mWaiting.emplace(queued.mId, queued);
  if (aScheduler.mSettings.mPolicy == SchedulePolicy::eFirstCome) {
    queued.mWorkspace = {};
    PushRanked(aScheduler.mOnline, std::move(queued));
  }
}

void
AdoptOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork)
{
  ++aScheduler.mRunningOnline;
  aScheduler.mRunning[aWork.mId] = { aWork, aNow, aNow };
}

bool
RemoveWaiting(Scheduler& aScheduler, WorkId aWork)
{
  if (!aScheduler.mWaiting.contains(aWork)) {
    return false;
  }
  const Work work = TakeWaiting(aScheduler, aWork);
  const bool fair =
    aScheduler.mSettings.mPolicy == SchedulePolicy::eOnlineFirst;
  RemoveRanked(aScheduler.mOnline,
               fair ? work.mRank : 0,
               fair ? work.mWorkspace : WorkspaceId(),
               aWork);
  return true;
}

void
DemoteLateWork(Scheduler& aScheduler, MonoTime aNow)
{
  while (!aScheduler.mStartGoals.empty() &&
         aScheduler.mStartGoals.begin()->first < aNow) {
    const WorkId id = aScheduler.mStartGoals.begin()->second;
    aScheduler.mStartGoals.erase(aScheduler.mStartGoals.begin());
    Work& work = aScheduler.mWaiting.at(id);
    if (RemoveRanked(aScheduler.mOnline, work.mRank, work.mWorkspace, id)) {
      aScheduler.mUrgent.erase({ work.mDeadline, id });
      work.mDeadline = LateWorkDeadline(work);
      aScheduler.mUrgent.insert({ work.mDeadline, id });
      aScheduler.mLateWork.insert({ work.mRank, work.mDeadline, id });
    }
  }
}

void
WithdrawWaiting(Scheduler& aScheduler, MonoTime aNow, WorkId aWork)
{
  if (RemoveWaiting(aScheduler, aWork)) {
    RecordDeparture(aScheduler.mDrain, aNow);
  }
}

size_t
WaitingOnline(const Scheduler& aScheduler)
{
  return aScheduler.mOnline.mSize + aScheduler.mLateWork.size();
}

Duration
ExpectedStart(Scheduler& aScheduler, MonoTime aNow, const Work& aWork)
{
  const Duration paced =
    NextStartUnderRate(aScheduler.mPace, aNow, WaitingOnline(aScheduler)) -
    aNow;
  if (HasRoomForOnline(aScheduler)) {
    return paced;
  }
  // In addition to the work ahead in fair order, one more call has to end
  // before a slot is free.
  const double mean = aScheduler.mRate.mCost;
  const double ahead = CostAhead(aScheduler.mOnline, aWork) +
                       LateCostAhead(aScheduler, aWork.mRank) + mean;
  const std::optional<Duration> drain =
    mean > 0 ? DrainTime(aScheduler.mDrain, aNow, ahead / mean) : std::nullopt;
  return std::max(paced,
                  drain.value_or(ExpectedWait(
                    aScheduler.mRate, ahead, OnlineSlots(aScheduler))));
}

LimitChange
RecordToken(Scheduler& aScheduler, MonoTime aNow, WorkId aWork)
{
  auto found = aScheduler.mRunning.find(aWork);
  if (found == aScheduler.mRunning.end()) {
    return LimitChange::eNone;
  }
  RunningWork& running = found->second;
  const bool first = running.mTokens++ == 0;
  const Duration since = aNow - (first ? running.mStarted : running.mLastToken);
  running.mLastToken = aNow;
  if (!running.mWork.mStreamed) {
    return LimitChange::eNone;
  }
  RecordKneeToken(aScheduler.mKnee, CallsAtTarget(aScheduler));
  if (first) {
    running.mSampled = aNow;
    return RecordFirstToken(aScheduler.mLimit,
                            since,
                            running.mWork.mPrompt,
                            IsWithinLimit(aScheduler));
  }
  if (running.mTokens % kGapTokens != 1) {
    return LimitChange::eNone;
  }
  const Duration gap = (aNow - running.mSampled) / kGapTokens;
  running.mSampled = aNow;
  RecordBatchGap(aScheduler.mBatchCap, gap);
  const LimitChange change =
    RecordTokenGap(aScheduler.mLimit, gap, IsWithinLimit(aScheduler));
  if (change == LimitChange::eNone && running.mTokens % kProgressTokens == 1) {
    return RecordProgress(aScheduler.mLimit, IsLimitNearlyUsed(aScheduler));
  }
  return change;
}

LimitChange
RecordCallEnd(Scheduler& aScheduler,
              MonoTime aNow,
              WorkId aWork,
              Ending aEnding,
              double aCost)
{
  auto found = aScheduler.mRunning.find(aWork);
  if (found == aScheduler.mRunning.end()) {
    return LimitChange::eNone;
  }
  const bool used = IsLimitNearlyUsed(aScheduler);
  const RunningWork running = std::move(found->second);
  aScheduler.mRunning.erase(found);
  const bool online = running.mWork.mKind == WorkKind::eOnline;
  if (online) {
    --aScheduler.mRunningOnline;
  }
  if (online && aCost > 0) {
    CorrectCharge(aScheduler.mOnline.mRanks[running.mWork.mRank],
                  running.mWork.mWorkspace,
                  running.mWork.mWeight,
                  aCost - running.mWork.mCost);
  }
  switch (aEnding) {
    case Ending::eGood:
      if (online) {
        RecordService(
          aScheduler.mRate, running.mWork.mCost, aNow - running.mStarted);
      }
      return RecordCompletion(aScheduler.mLimit, true, used);
    case Ending::eClientError:
      return RecordCompletion(aScheduler.mLimit, false, used);
    case Ending::eServerError:
      return RecordServerError(aScheduler.mLimit);
    case Ending::eBusy:
      return RecordConnectionFailure(aScheduler.mLimit);
    case Ending::eCancelled:
      break;
  }
  return LimitChange::eNone;
}

LimitChange
RecordColdTarget(Scheduler& aScheduler)
{
  return TurnCold(aScheduler.mLimit);
}

LimitChange
CheckFirstTokenTimeouts(Scheduler& aScheduler, MonoTime aNow)
{
  LimitChange change = LimitChange::eNone;
  if (!IsWithinLimit(aScheduler)) {
    return change;
  }
  for (auto& [id, running] : aScheduler.mRunning) {
    const bool overdue =
      running.mWork.mStreamed && running.mTokens == 0 &&
      !running.mFirstTokenOverdue &&
      aNow - running.mStarted >
        ColdThreshold(aScheduler.mLimit, running.mWork.mPrompt);
    if (overdue) {
      running.mFirstTokenOverdue = true;
      change = TurnCold(aScheduler.mLimit);
    }
  }
  return change;
}

bool
NearDeadline(const Work& aWork, MonoTime aNow)
{
  return aWork.mKind == WorkKind::eBatch &&
         (aWork.mDeadline - aNow) * 5 < aWork.mWindow;
}

} // namespace caraway
