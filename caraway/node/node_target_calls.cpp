// HTTP calls to the target: starts and cancels them, and dispatches their
// events by purpose.

#include "absl/strings/match.h"
#include "caraway/base/absl_view.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr size_t kMaxLoadBytes = 64 * 1024;

BatchTask*
TaskOf(Node& aNode, WorkId aWork)
{
  auto found = aNode.mBatch.mTasks.find(aWork);
  return found == aNode.mBatch.mTasks.end() ? nullptr : &found->second;
}

TargetCallInfo*
InfoOf(Node& aNode, TargetCallId aCall)
{
  auto found = aNode.mTargetCalls.find(aCall);
  return found == aNode.mTargetCalls.end() ? nullptr : &found->second;
}

} // namespace

TargetCallId
CallTarget(Node& aNode,
           MonoTime aNow,
           const TargetCallInfo& aInfo,
           StartTargetCall aCall,
           NodeActions& aOut)
{
  const TargetCallId id(aNode.mNextTargetCall++);
  TargetCallInfo info = aInfo;
  info.mTimeout = aCall.mTimeout;
  info.mLastByte = aNow;
  aNode.mTargetCalls[id] = info;
  aCall.mCall = id;
  aCall.mUrl = aNode.mTarget.mAnnounced.mUrl;
  aOut.emplace_back(std::move(aCall));
  return id;
}

void
CloseTargetCall(Node& aNode, TargetCallId aCall, NodeActions& aOut)
{
  if (aNode.mTargetCalls.erase(aCall) > 0) {
    aOut.emplace_back(CancelTargetCall{ aCall });
  }
}

void
OnTargetBegan(Node& aNode,
              MonoTime aNow,
              const TargetCallBegan& aEvent,
              NodeActions& aOut)
{
  TargetCallInfo* info = InfoOf(aNode, aEvent.mCall);
  if (info == nullptr) {
    return;
  }
  info->mLastByte = aNow;
  info->mStatus = aEvent.mStatus;
  if (info->mUse == TargetUse::eLoad) {
    aNode.mTarget.mLoadStatus = aEvent.mStatus;
  } else if (info->mUse == TargetUse::eOnline) {
    if (NodeCall* call = FindCallByWork(aNode, info->mWork)) {
      call->mStatus = aEvent.mStatus;
      call->mHeaders = aEvent.mHeaders;
    }
  } else if (info->mUse == TargetUse::eBatch) {
    if (BatchTask* task = TaskOf(aNode, info->mWork)) {
      task->mStatus = aEvent.mStatus;
      task->mNotRun = aEvent.mNotRun;
      task->mEndsByClose = aEvent.mEndsByClose;
      task->mForeign =
        aEvent.mForeign ||
        (task->mRaw && aEvent.mEchoesRequestId && !aEvent.mNotRun &&
         aEvent.mAnsweredRequest.mValue != task->mCustomId);
      if (task->mForeign) {
        task->mStatus = 0; // the answer is ignored
      }
      task->mEventStream =
        !task->mRaw && task->mStreamed &&
        absl::StrContains(HeaderValue(aEvent.mHeaders, "Content-Type"),
                          "text/event-stream");
      if (aEvent.mLeaving && !task->mForeign) {
        OnTargetLeave(aNode, aNow, aOut);
      }
    }
  }
}

void
OnTargetBytes(Node& aNode,
              MonoTime aNow,
              const TargetCallBytes& aEvent,
              NodeActions& aOut)
{
  TargetCallInfo* info = InfoOf(aNode, aEvent.mCall);
  if (info == nullptr) {
    return;
  }
  if (info->mUse != TargetUse::eBatch) {
    info->mLastByte = aNow;
  }
  if (info->mUse == TargetUse::eLoad) {
    if (aNode.mTarget.mLoadBody.size() < kMaxLoadBytes) {
      aNode.mTarget.mLoadBody.append(aEvent.mBytes);
    }
  } else if (info->mUse == TargetUse::eOnline) {
    if (NodeCall* call = FindCallByWork(aNode, info->mWork)) {
      RelayBytes(aNode, aNow, *call, aEvent.mBytes, aOut);
    }
  } else if (info->mUse == TargetUse::eBatch) {
    if (BatchTask* task = TaskOf(aNode, info->mWork)) {
      switch (ConsumeBatchBytes(aNode, aNow, *task, aEvent.mBytes, aOut)) {
        case BatchProgress::eProgress:
          info->mLastByte = aNow;
          break;
        case BatchProgress::eNone:
          break; // does not extend the timeout of a stalled item
        case BatchProgress::eLimitExceeded:
          aOut.emplace_back(CancelTargetCall{ aEvent.mCall });
          OnTargetFailed(aNode,
                         aNow,
                         { aEvent.mCall,
                           Outcome::eUnknown,
                           "the answer exceeds the size limit" },
                         aOut);
          break;
      }
    }
  }
}

void
OnTargetEnded(Node& aNode,
              MonoTime aNow,
              const TargetCallEnded& aEvent,
              NodeActions& aOut)
{
  auto found = aNode.mTargetCalls.find(aEvent.mCall);
  if (found == aNode.mTargetCalls.end()) {
    return;
  }
  const TargetCallInfo info = std::move(found->second);
  aNode.mTargetCalls.erase(found);
  switch (info.mUse) {
    case TargetUse::eOnline:
      if (NodeCall* call = FindCallByWork(aNode, info.mWork)) {
        FinishCall(aNode, aNow, *call, aOut);
      }
      break;
    case TargetUse::eBatch:
      FinishTask(aNode, aNow, info.mWork, aEvent.mByClose, aOut);
      break;
    case TargetUse::eLoad:
      OnLoadAnswer(aNode, aNow, true, aOut);
      break;
    case TargetUse::eOrder:
      FinishOrder(aNode,
                  info,
                  info.mStatus / 100 == 2,
                  "the target refused the order",
                  aOut);
      break;
    case TargetUse::eCancel:
      break;
  }
}

void
OnTargetFailed(Node& aNode,
               MonoTime aNow,
               const TargetCallFailed& aEvent,
               NodeActions& aOut)
{
  auto found = aNode.mTargetCalls.find(aEvent.mCall);
  if (found == aNode.mTargetCalls.end()) {
    return;
  }
  const TargetCallInfo info = std::move(found->second);
  aNode.mTargetCalls.erase(found);
  if (aEvent.mOutcome == Outcome::eNotRun) {
    // The connection was refused: no call starts until the target is heard
    // from.
    aNode.mScheduler.mHeld = true;
  }
  switch (info.mUse) {
    case TargetUse::eOnline:
      if (NodeCall* call = FindCallByWork(aNode, info.mWork)) {
        ++aNode.mCounters.mFailed;
        LogLimit(
          aNode,
          RecordCallEnd(aNode.mScheduler, aNow, info.mWork, Ending::eBusy, 0),
          "call failed",
          aOut);
        call->mTargetCall = {};
        RefuseCall(aNode,
                   aNow,
                   *call,
                   ErrorKind::eTargetFailed,
                   aEvent.mOutcome,
                   "the call to the target failed: " + aEvent.mReason,
                   Millis(100),
                   aOut);
      }
      break;
    case TargetUse::eBatch:
      FailTask(aNode, aNow, info.mWork, aEvent.mOutcome, aEvent.mReason, aOut);
      break;
    case TargetUse::eLoad:
      OnLoadAnswer(aNode, aNow, aEvent.mOutcome != Outcome::eNotRun, aOut);
      break;
    case TargetUse::eOrder:
      FinishOrder(aNode, info, false, "the call to the target failed", aOut);
      break;
    case TargetUse::eCancel:
      break;
  }
}

} // namespace caraway
