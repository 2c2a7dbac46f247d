#pragma once
// What the target gets and when. The engine admits everything at once, so the
// order is decided here.
//
// Online work goes first, in fair order over workspaces. Batch work fills what
// is left, and its call with the least progress is stopped in the same step in
// which online work needs the room. Two baselines are kept for comparison.
//
// Under more load than the target bears, a queue in order of arrival makes all
// work late. So work whose goal has passed lets go first what can still be on
// time, and a caller that would wait beyond its goal is told when to come back
// instead of being queued. One that has come back is queued. Work that has
// waited for two thirds of its time is refused, since the load has lasted too
// long to be caught up with.

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/scheduling/batch_cap.h"
#include "caraway/scheduling/burst_tracker.h"
#include "caraway/scheduling/concurrency_limit.h"
#include "caraway/scheduling/fair_queue.h"
#include "caraway/scheduling/knee.h"
#include "caraway/scheduling/queue_drain.h"
#include "caraway/scheduling/service_rate.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

enum class SchedulePolicy : uint8_t
{
  eOnlineFirst, // fair queue, batch fills the rest and yields
  eFirstCome,   // baseline: one queue in arrival order
  eFixedSplit,  // baseline: half of the limit for each kind
};

struct SchedulerSettings
{
  SchedulePolicy mPolicy = SchedulePolicy::eOnlineFirst;
  LimitSettings mLimit;
  uint32_t mMaxOnlineQueue = 512; // waiting online work; more is refused
  uint32_t mFixedLimit = 0;       // places that the target states, 0: learned
};

struct Scheduler
{
  SchedulerSettings mSettings;
  ConcurrencyLimit mLimit;
  BatchCap mBatchCap;
  BurstTracker mBursts;
  ThroughputKnee mKnee;
  ServiceRate mRate;
  StartPace mPace;
  QueueDrain mDrain;
  MonoTime mNextReturn{ 0 }; // room for the next caller that comes back
  FairQueue mOnline;         // waiting online work that can be on time
  // Waiting online work whose goal has passed, by deadline.
  std::set<std::pair<MonoTime, WorkId>> mLateWork;
  std::set<std::pair<MonoTime, WorkId>> mStartGoals; // of mOnline, by goal
  std::set<std::pair<MonoTime, WorkId>> mUrgent; // waiting online, by deadline
  std::map<WorkId, Work> mWaiting;               // online and batch
  std::set<std::pair<MonoTime, WorkId>> mBatch;  // waiting batch, by deadline
  std::map<WorkId, RunningWork> mRunning;        // in the order of arrival
  uint32_t mRunningOnline = 0;                   // of mRunning
  uint32_t mForeign = 0; // calls at the target that this node did not start
  bool mHeld = true;     // nothing starts: the target's state is unknown
};

Scheduler
MakeScheduler(const SchedulerSettings& aSettings);

enum class Verdict : uint8_t
{
  eQueued,
  eRefused, // mKind says why
};

struct OfferResult
{
  Verdict mVerdict = Verdict::eQueued;
  ErrorKind mKind = ErrorKind::eNone;
  Duration mRetryAfter;
  Duration mExpectedWait;
  WorkId mEvicted; // waiting work of a larger backlog that made room
};

// Queues online work or refuses it. Work that cannot start before its deadline
// at the measured rate is refused at once, and so is work that would miss its
// goal and whose caller may return. When the queue is full, the newest work of
// the workspace with the largest backlog per weight goes.
OfferResult
OfferOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

void
AddBatch(Scheduler& aScheduler, const Work& aWork);

// Online work that runs already, started before this scheduler existed.
void
AdoptOnline(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

enum class StepKind : uint8_t
{
  eStart,   // give it to the target now
  ePreempt, // stop this batch call; it waits again
  eExpire,  // its deadline passed while it waited
};

struct ScheduleStep
{
  StepKind mKind = StepKind::eStart;
  WorkId mWork;
};

// Decides what to do now. Carry the steps out in order: a preemption stands
// before the start that it makes room for.
void
Schedule(Scheduler& aScheduler,
         MonoTime aNow,
         std::vector<ScheduleStep>& aSteps);

// The next time at which waiting or running work needs a decision.
MonoTime
NextDecision(const Scheduler& aScheduler);

// Takes waiting work out; true if it was waiting.
bool
RemoveWaiting(Scheduler& aScheduler, WorkId aWork);

// Puts waiting work whose goal has passed behind the rest. It waits for two
// thirds of its time at most: more urgent work may go first for as long as the
// load lasts.
void
DemoteLateWork(Scheduler& aScheduler, MonoTime aNow);

// Waiting work was withdrawn: it went elsewhere, or its caller left.
void
WithdrawWaiting(Scheduler& aScheduler, MonoTime aNow, WorkId aWork);

// Waiting online work.
size_t
WaitingOnline(const Scheduler& aScheduler);

// Until work of this cost and workspace would start, behind what can be on
// time; 0 while places are free.
Duration
ExpectedStart(Scheduler& aScheduler, MonoTime aNow, const Work& aWork);

// A token or piece of a running call came.
LimitChange
RecordToken(Scheduler& aScheduler, MonoTime aNow, WorkId aWork);

enum class Ending : uint8_t
{
  eGood,        // whole answer
  eClientError, // whole answer, 4xx
  eServerError, // whole answer, 5xx
  eBusy,        // 503, or a broken or refused connection
  eCancelled,   // stopped by this side
};

// A running call ended. aCost is the true cost, 0 if not known.
LimitChange
RecordCallEnd(Scheduler& aScheduler,
              MonoTime aNow,
              WorkId aWork,
              Ending aEnding,
              double aCost);

// The target's start id changed or it stopped answering.
LimitChange
RecordColdTarget(Scheduler& aScheduler);

// A running call has waited so long for its first token that the target must
// be cold, although nothing was heard.
LimitChange
CheckFirstTokenTimeouts(Scheduler& aScheduler, MonoTime aNow);

// Calls that may run at once: the limit that the goals allow, or fewer if more
// would lower the throughput.
uint32_t
CallLimit(const Scheduler& aScheduler);

// Calls at the target, this node's and others.
uint32_t
CallsAtTarget(const Scheduler& aScheduler);

// More batch work that could start now, beyond what waits already.
uint32_t
BatchRoom(const Scheduler& aScheduler, MonoTime aNow);

// True if less than 20% of the job's window is left.
bool
NearDeadline(const Work& aWork, MonoTime aNow);

} // namespace caraway
