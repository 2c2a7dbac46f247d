#pragma once
// Decides which work starts at a target, and when. The engine admits every
// request at once, so the order has to be decided here.
//
// Online work goes first: the most important, and in fair order over workspaces
// among equals. Batch work fills the remaining capacity; with mSpareBursts,
// what online work is expected to leave free, unless the batch work is due
// soon. When online work needs a slot, a batch call is preempted in the same
// step: of resumable calls the one that can wait best, else the one with the
// least progress. Two baseline policies are kept for comparison.
//
// Under overload, a queue in arrival order would make all work late. So work
// whose goal has passed ("late work") is served after work that can still be on
// time, and a caller that would wait beyond its goal is told when to retry
// instead of being queued. A caller that has retried is queued before the new
// work of its workspace, and waits until its deadline. Other late work that has
// waited for two thirds of the time to its deadline expires, since the overload
// has lasted too long for the queue to catch up.

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/scheduling/batch_cap.h"
#include "caraway/scheduling/burst_tracker.h"
#include "caraway/scheduling/concurrency_limit.h"
#include "caraway/scheduling/knee.h"
#include "caraway/scheduling/online_forecast.h"
#include "caraway/scheduling/queue_drain.h"
#include "caraway/scheduling/ranked_queue.h"
#include "caraway/scheduling/service_rate.h"
#include "caraway/scheduling/slow_start.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

enum class SchedulePolicy : uint8_t
{
  eOnlineFirst, // fair queue, batch fills the rest, preemptible
  eFirstCome,   // baseline: one queue in arrival order
  eFixedSplit,  // baseline: half of the limit for each kind
};

struct SchedulerSettings
{
  SchedulePolicy mPolicy = SchedulePolicy::eOnlineFirst;
  LimitSettings mLimit;
  uint32_t mMaxOnlineQueue = 512; // waiting online work; more is refused
  uint32_t mFixedLimit = 0; // slots stated by the target, 0: learned limit
  // With mFixedLimit: batch work starts only into slots that bursts of online
  // work leave free, see online_forecast.h.
  bool mSpareBursts = false;
};

struct Scheduler
{
  SchedulerSettings mSettings;
  ConcurrencyLimit mLimit;
  BatchCap mBatchCap;
  BurstTracker mBursts;
  OnlineForecast mForecast;
  MonoTime mCutAt{ -kNever.mMicros }; // last preemption of a batch call
  Duration mItemTime; // expected run time of the last batch item, 0: unknown
  ThroughputKnee mKnee;
  ServiceRate mRate;
  StartPace mPace;
  SlowStart mSlowStart; // with mFixedLimit only
  QueueDrain mDrain;
  MonoTime mNextReturn{ 0 }; // next free time for a caller that retries
  RankedQueue mOnline;       // waiting online work that can be on time
  // Waiting online work whose goal has passed, by rank and deadline.
  std::set<std::tuple<uint32_t, MonoTime, WorkId>> mLateWork;
  std::set<std::pair<MonoTime, WorkId>> mStartGoals; // of mOnline, by goal
  std::set<std::pair<MonoTime, WorkId>> mUrgent; // waiting online, by deadline
  std::map<WorkId, Work> mWaiting;               // online and batch
  std::set<std::pair<MonoTime, WorkId>> mBatch;  // waiting batch, by deadline
  std::map<WorkId, RunningWork> mRunning; // by id, that is, in arrival order
  uint32_t mRunningOnline = 0;            // of mRunning
  uint32_t mForeign = 0;   // calls at the target that this node did not start
  bool mHeld = true;       // nothing starts while the target's state is unknown
  bool mBatchHeld = false; // no batch work starts
};

Scheduler
MakeScheduler(const SchedulerSettings& aSettings);

enum class Verdict : uint8_t
{
  eQueued,
  eRefused, // mKind holds the reason
};

struct OfferResult
{
  Verdict mVerdict = Verdict::eQueued;
  ErrorKind mKind = ErrorKind::eNone;
  Duration mRetryAfter;
  Duration mExpectedWait;
  WorkId mEvicted; // waiting work that was dropped to make room
};

// Queues online work or refuses it. Work that cannot start before its deadline
// at the measured rate is refused at once, and so is work that would miss its
// goal and whose caller may retry. When the queue is full, the newest work of
// the workspace with the largest backlog per weight is dropped.
OfferResult
OfferOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

void
AddBatch(Scheduler& aScheduler, const Work& aWork);

// Adds online work that already runs, started before this scheduler existed.
void
AdoptOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

enum class StepKind : uint8_t
{
  eStart,   // send the work to the target now
  ePreempt, // stop this batch call; it is queued again
  eExpire,  // the work's deadline passed while it waited
};

struct ScheduleStep
{
  StepKind mKind = StepKind::eStart;
  WorkId mWork;
};

// Appends the steps to take now. They must be carried out in order: a
// preemption precedes the start that it makes room for.
void
Schedule(Scheduler& aScheduler,
         MonoTime aNow,
         std::vector<ScheduleStep>& aSteps);

// The next time at which Schedule or CheckFirstTokenTimeouts has to be called.
MonoTime
NextDecision(const Scheduler& aScheduler);

// Removes waiting work. Returns false if it was not waiting.
bool
RemoveWaiting(Scheduler& aScheduler, WorkId aWork);

// Moves waiting work whose goal has passed behind the rest of its rank. Its
// deadline is cut to two thirds of the time it had, since other work may go
// first for as long as the overload lasts; unless its caller has returned, and
// would not do so again.
void
DemoteLateWork(Scheduler& aScheduler, MonoTime aNow);

// Removes waiting work that was withdrawn: it started at another target, its
// caller disconnected, or it expired.
void
WithdrawWaiting(Scheduler& aScheduler, MonoTime aNow, WorkId aWork);

// The number of waiting online calls.
size_t
WaitingOnline(const Scheduler& aScheduler);

// Expected wait until work of this workspace would start, behind the work that
// can be on time; 0 while slots are free.
Duration
ExpectedStart(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

// Records that a token or chunk of a running call arrived.
LimitChange
RecordToken(Scheduler& aScheduler, MonoTime aNow, WorkId aWork);

enum class Ending : uint8_t
{
  eGood,        // complete response
  eClientError, // complete response, 4xx
  eServerError, // complete response, 5xx
  eBusy,        // 503, or a broken or refused connection
  eCancelled,   // cancelled by this node or the caller
};

// Records that a running call ended. aCost is its actual cost, 0 if unknown.
LimitChange
RecordCallEnd(Scheduler& aScheduler,
              MonoTime aNow,
              WorkId aWork,
              Ending aEnding,
              double aCost);

// Records that the target is cold, for example since it restarted or stopped
// answering.
LimitChange
RecordColdTarget(Scheduler& aScheduler);

// Resets the limit if a running call has waited so long for its first token
// that the target must be cold.
LimitChange
CheckFirstTokenTimeouts(Scheduler& aScheduler, MonoTime aNow);

// Calls that may run concurrently: the limit that the latency goals allow, or
// fewer if more would lower the throughput.
uint32_t
CallLimit(const Scheduler& aScheduler);

// Calls at the target, those of this node and others.
uint32_t
CallsAtTarget(const Scheduler& aScheduler);

// Batch calls that could start now in addition to those already waiting.
uint32_t
BatchRoom(const Scheduler& aScheduler, MonoTime aNow);

// Online calls that run and wait, those of others included.
uint32_t
OnlineCalls(const Scheduler& aScheduler);

// True for batch work with less than 20% of the job's window left.
bool
NearDeadline(const Work& aWork, MonoTime aNow);

} // namespace caraway
