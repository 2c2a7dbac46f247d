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

// "ip:port" of the target.
std::string
TargetAddress(const Node& aNode)
{
  const std::string& url = aNode.mTarget.mAnnounced.mUrl;
  const size_t scheme = url.find("://");
  return scheme == std::string::npos ? url : url.substr(scheme + 3);
}

// True if an answer that ended with its connection may be complete, which
// depends on whether the target still runs.
bool
NeedsEndCheck(Node& aNode, const TargetCallInfo& aInfo)
{
  if (aInfo.mUse == TargetUse::eOnline) {
    return true;
  }
  const BatchTask* task =
    aInfo.mUse == TargetUse::eBatch ? TaskOf(aNode, aInfo.mWork) : nullptr;
  return task != nullptr && !task->mNotRun && !task->mForeign &&
         IncompleteItemReason(*task, true) == nullptr;
}

void
FinishTargetCall(Node& aNode,
                 MonoTime aNow,
                 const TargetCallInfo& aInfo,
                 bool aByClose,
                 NodeActions& aOut)
{
  switch (aInfo.mUse) {
    case TargetUse::eOnline:
      if (NodeCall* call = FindCallByWork(aNode, aInfo.mWork)) {
        FinishCall(aNode, aNow, *call, aOut);
      }
      break;
    case TargetUse::eBatch:
      FinishTask(aNode, aNow, aInfo.mWork, aByClose, aOut);
      break;
    case TargetUse::eLoad:
      OnLoadAnswer(aNode, aNow, true, aOut);
      break;
    case TargetUse::eOrder:
      FinishOrder(aNode,
                  aInfo,
                  aInfo.mStatus / 100 == 2,
                  "the target refused the order",
                  aOut);
      break;
    case TargetUse::eCancel:
      break;
  }
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
  if (info->mUse == TargetUse::eOnline || info->mUse == TargetUse::eBatch) {
    OnStatedRate(aNode, aNow, aEvent, aOut);
  }
  if (info->mUse == TargetUse::eLoad) {
    aNode.mTarget.mLoadStatus = aEvent.mStatus;
  } else if (info->mUse == TargetUse::eOnline) {
    if (NodeCall* call = FindCallByWork(aNode, info->mWork)) {
      call->mStatus = aEvent.mStatus;
      call->mHeaders = aEvent.mHeaders;
      call->mEndsByClose = aEvent.mEndsByClose;
    }
  } else if (info->mUse == TargetUse::eBatch) {
    if (BatchTask* task = TaskOf(aNode, info->mWork)) {
      task->mStatus = aEvent.mStatus;
      task->mNotRun = aEvent.mNotRun;
      task->mEndsByClose = aEvent.mEndsByClose;
      task->mForeign = task->mRaw
                         ? AnswersAnother(aEvent, RequestId(task->mCustomId))
                         : aEvent.mForeign;
      if (task->mForeign) {
        task->mStatus = 0; // the answer is ignored
        task->mNotRun = false;
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
  TargetCallInfo& live = found->second;
  if (aEvent.mByClose && NeedsEndCheck(aNode, live)) {
    live.mEndCheck = true;
    live.mLastByte = aNow;
    aOut.emplace_back(MakeEndCheck(aEvent.mCall, TargetAddress(aNode)));
    return;
  }
  const TargetCallInfo info = std::move(live);
  aNode.mTargetCalls.erase(found);
  FinishTargetCall(aNode, aNow, info, aEvent.mByClose, aOut);
}

void
OnEndChecked(Node& aNode,
             MonoTime aNow,
             TargetCallId aCall,
             TargetReach aReach,
             NodeActions& aOut)
{
  auto found = aNode.mTargetCalls.find(aCall);
  if (found == aNode.mTargetCalls.end() || !found->second.mEndCheck) {
    return; // the call was given up meanwhile
  }
  if (aReach != TargetReach::eAccepts) {
    OnTargetFailed(aNode,
                   aNow,
                   { aCall,
                     Outcome::eUnknown,
                     "the target ended with the connection of its answer" },
                   aOut);
    return;
  }
  const TargetCallInfo info = std::move(found->second);
  aNode.mTargetCalls.erase(found);
  FinishTargetCall(aNode, aNow, info, true, aOut);
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
