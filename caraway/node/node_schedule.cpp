// Carries out the decisions of the scheduler: start, preempt, expire.

#include "absl/strings/str_cat.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

void
LogStep(const Node& aNode,
        const char* aEvent,
        const RequestId& aRequest,
        const WorkspaceId& aWorkspace,
        const char* aReason,
        LogLevel aLevel,
        NodeActions& aOut)
{
  DecisionLog log;
  log.mLevel = aLevel;
  log.mEvent = aEvent;
  log.mRequest = aRequest;
  log.mWorkspace = aWorkspace;
  log.mChoice = aNode.mTarget.mAnnounced.mInfo.mId.mValue;
  log.mReason = aReason;
  log.mExtra = {
    { "running", std::to_string(RunningCalls(aNode)) },
    { "queued", std::to_string(QueuedCalls(aNode)) },
    { "limit", std::to_string(CallLimit(aNode.mScheduler)) },
    { "online_expected",
      std::to_string(ExpectedOnlineCalls(aNode.mScheduler.mForecast,
                                         aNode.mScheduler.mItemTime)) },
    { "period_ms",
      std::to_string(PeriodOf(aNode.mScheduler.mForecast).Millis()) },
    { "item_ms", std::to_string(aNode.mScheduler.mItemTime.Millis()) },
    { "forecasts_exceeded",
      absl::StrCat(aNode.mScheduler.mForecast.mExceeded,
                   "/",
                   aNode.mScheduler.mForecast.mChecked) },
  };
  aOut.emplace_back(std::move(log));
}

RequestId
ItemName(const BatchTask& aTask)
{
  return RequestId(aTask.mLease.mJob.mValue + "/" +
                   std::to_string(aTask.mIndex));
}

void
StartWork(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  auto task = aNode.mBatch.mTasks.find(aWork);
  if (task != aNode.mBatch.mTasks.end()) {
    LogStep(aNode,
            "start_batch",
            ItemName(task->second),
            task->second.mLease.mWorkspace,
            "capacity left for batch work",
            LogLevel::eDebug,
            aOut);
    StartBatchTask(aNode, aNow, aWork, aOut);
  } else if (GrantSlot(aNode, aNow, aWork, aOut)) {
    return;
  } else if (const NodeCall* call = FindCallByWork(aNode, aWork)) {
    LogStep(aNode,
            "start",
            call->mDispatch.mRequest,
            call->mDispatch.mWorkspace,
            "next in fair-share order",
            LogLevel::eDebug,
            aOut);
    StartOnline(aNode, aNow, aWork, aOut);
  }
}

void
Preempt(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  auto task = aNode.mBatch.mTasks.find(aWork);
  if (task == aNode.mBatch.mTasks.end()) {
    return;
  }
  LogStep(aNode,
          "preempt",
          ItemName(task->second),
          task->second.mLease.mWorkspace,
          "online work needs the capacity",
          LogLevel::eInfo,
          aOut);
  PreemptTask(aNode, aNow, aWork, aOut);
}

void
Expire(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  if (RefuseSlot(aNode, aNow, aWork, aOut)) {
    return;
  }
  if (NodeCall* call = FindCallByWork(aNode, aWork)) {
    RefuseCall(aNode,
               aNow,
               *call,
               ErrorKind::eDeadlineTooShort,
               Outcome::eNotRun,
               "the deadline passed while the request waited; retry later or "
               "allow more time",
               ExpectedWait(aNode.mScheduler.mRate,
                            aNode.mScheduler.mOnline.mBacklog,
                            CallLimit(aNode.mScheduler)),
               aOut);
  }
}

} // namespace

void
RunSchedule(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  LogLimit(aNode,
           CheckFirstTokenTimeouts(aNode.mScheduler, aNow),
           "no first token within the time limit",
           aOut);
  std::vector<ScheduleStep> steps;
  Schedule(aNode.mScheduler, aNow, steps);
  for (const ScheduleStep& step : steps) {
    switch (step.mKind) {
      case StepKind::eStart:
        StartWork(aNode, aNow, step.mWork, aOut);
        break;
      case StepKind::ePreempt:
        Preempt(aNode, aNow, step.mWork, aOut);
        break;
      case StepKind::eExpire:
        Expire(aNode, aNow, step.mWork, aOut);
        break;
    }
  }
}

} // namespace caraway
