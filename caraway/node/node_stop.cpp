// Graceful stop: drain calls, return items, leave the session.

#include <algorithm>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// Entries learn of the drain within this time after control has acknowledged
// it. Until then the process stays up to refuse their dispatches, which would
// be lost otherwise.
constexpr Duration kDrainPropagationTime = Seconds(2);
// Without a leader, each phase of the stop ends after this time.
constexpr Duration kStopTimeout = Seconds(5);
constexpr Duration kLeaveEvery = Millis(500);

bool
IsIdle(const Node& aNode)
{
  return aNode.mAttemptByWork.empty() && aNode.mBatch.mTasks.empty();
}

bool
ResultsDelivered(const Node& aNode)
{
  return aNode.mBatch.mGroups.empty() && aNode.mBatch.mUnacked.empty();
}

void
BeginLeave(Node& aNode, MonoTime aNow)
{
  aNode.mStop = StopState::eLeaving;
  aNode.mLeaveSince = aNow;
  aNode.mLeaveAt = aNow;
}

void
SendLeave(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  Leave leave;
  leave.mInstance = aNode.mSettings.mInstance;
  leave.mEpoch = aNode.mSession.mEpoch;
  aNode.mLeaveAt = aNow + kLeaveEvery;
  SendToLeader(aNode, std::move(leave), aOut);
  // The verdict eUnknownSession in the reply to this renewal confirms the
  // Leave.
  SendRenew(aNode, aNow, aOut);
}

// Ends what the target still works on: items go back with their progress, and
// callers learn that the outcome is unknown.
void
EndRunningWork(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  DecisionLog log;
  log.mEvent = "stopping";
  log.mChoice = "ended running work";
  log.mReason = "the process is killed soon";
  log.mExtra = { { "calls", std::to_string(aNode.mAttemptByWork.size()) },
                 { "items", std::to_string(aNode.mBatch.mTasks.size()) } };
  aOut.emplace_back(std::move(log));
  ReturnAllItems(aNode, aNow, aOut);
  EndRunningCalls(aNode,
                  aNow,
                  ErrorKind::eTargetFailed, // eDraining would imply not run
                  "this node stops before the target has answered",
                  aOut);
}

} // namespace

void
OnStop(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (aNode.mStop != StopState::eServing) {
    return;
  }
  aNode.mStop = StopState::eDraining;
  aNode.mStopSince = aNow;
  aNode.mDrainAckedAt = MonoTime{ 0 };
  RefuseQueuedCalls(
    aNode, aNow, ErrorKind::eDraining, "this node is leaving", aOut);
  ReturnWaitingItems(aNode, aNow, aOut);
  if (aNode.mSession.mLive) {
    SendRenew(aNode, aNow, aOut);
  }
}

void
ContinueStop(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (aNode.mStop == StopState::eServing ||
      aNode.mStop == StopState::eStopped) {
    return;
  }
  const Duration grace = aNode.mSettings.mStopGrace;
  if (aNow >= ExitDue(aNode.mStopSince, grace)) {
    aNode.mStop = StopState::eStopped;
    return;
  }
  if (aNow >= AnswersDue(aNode.mStopSince, grace) && !IsIdle(aNode)) {
    EndRunningWork(aNode, aNow, aOut);
  }
  if (aNode.mStop == StopState::eDraining && IsIdle(aNode)) {
    const bool known = aNode.mDrainAckedAt.mMicros != 0 &&
                       aNow - aNode.mDrainAckedAt >= kDrainPropagationTime;
    const bool timedOut = aNow - aNode.mStopSince >= kStopTimeout;
    if (!aNode.mSession.mLive) {
      aNode.mStop = StopState::eStopped; // no session to end
    } else if ((known && ResultsDelivered(aNode)) ||
               (timedOut && aNow >= aNode.mSession.mLeaseEnd)) {
      BeginLeave(aNode, aNow);
    }
  }
  if (aNode.mStop == StopState::eLeaving) {
    if (aNow - aNode.mLeaveSince >= kStopTimeout) {
      aNode.mStop = StopState::eStopped;
    } else if (aNow >= aNode.mLeaveAt) {
      SendLeave(aNode, aNow, aOut);
    }
  }
}

MonoTime
StopWakeup(const Node& aNode)
{
  if (aNode.mStop == StopState::eServing ||
      aNode.mStop == StopState::eStopped) {
    return kNever;
  }
  const Duration grace = aNode.mSettings.mStopGrace;
  const MonoTime due =
    IsIdle(aNode) ? kNever : AnswersDue(aNode.mStopSince, grace);
  const MonoTime leave =
    aNode.mStop == StopState::eLeaving ? aNode.mLeaveAt : kNever;
  return std::min({ due, leave, ExitDue(aNode.mStopSince, grace) });
}

} // namespace caraway
