// Online calls: starting them at the target, cancelling and refusing them.

#include <algorithm>

#include "absl/strings/match.h"
#include "caraway/node/node_internal.h"
#include "caraway/node/target_json.h"

namespace caraway {

namespace {

constexpr Duration kMaxCallTimeout = Seconds(600);
constexpr size_t kCallOverhead = 512; // bytes accounted per ended call

// True for headers that are not forwarded to the target: credentials, and those
// that the HTTP client sets itself.
bool
IsWithheld(const std::string& aName)
{
  for (const char* name : { "authorization",
                            "proxy-authorization",
                            "cookie",
                            "connection",
                            "keep-alive",
                            "transfer-encoding",
                            "content-length",
                            "host",
                            "x-request-id" }) {
    if (absl::EqualsIgnoreCase(aName, name)) {
      return true;
    }
  }
  return false;
}

Headers
TargetHeaders(const Dispatch& aDispatch)
{
  Headers headers;
  for (const auto& header : aDispatch.mHeaders) {
    if (!IsWithheld(header.first)) {
      headers.push_back(header);
    }
  }
  headers.emplace_back("X-Request-Id", aDispatch.mRequest.mValue);
  return headers;
}

// Sets the final state and drops what a kept answer does not need.
void
EndCall(Node& aNode, MonoTime aNow, NodeCall& aCall, CallState aState)
{
  aNode.mAttemptByWork.erase(aCall.mWork);
  aCall.mState = aState;
  aCall.mEnded = aNow;
  aCall.mTargetCall = {};
  aCall.mDispatch.mBody.clear();
  aCall.mDispatch.mHeaders.clear();
  aNode.mKeptBytes += kCallOverhead;
  aCall.mKeptBytes += kCallOverhead;
  aNode.mEndedOrder.emplace_back(aCall.mDispatch.mRequest,
                                 aCall.mDispatch.mAttempt);
}

void
SendCancelToTarget(Node& aNode,
                   MonoTime aNow,
                   const RequestId& aRequest,
                   NodeActions& aOut)
{
  if (!aNode.mTarget.mAnnounced.mCanCancel) {
    return;
  }
  StartTargetCall call;
  call.mMethod = "POST";
  call.mPath = "/cancel";
  call.mHeaders = { { "Content-Type", "application/json" } };
  call.mBody = CancelBody(aRequest);
  call.mTimeout = Seconds(5);
  TargetCallInfo info;
  info.mUse = TargetUse::eCancel;
  CallTarget(aNode, aNow, info, std::move(call), aOut);
}

} // namespace

NodeCall*
FindCallByWork(Node& aNode, WorkId aWork)
{
  auto key = aNode.mAttemptByWork.find(aWork);
  if (key == aNode.mAttemptByWork.end()) {
    return nullptr;
  }
  auto call = aNode.mCalls.find(key->second);
  return call == aNode.mCalls.end() ? nullptr : &call->second;
}

void
StartOnline(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  NodeCall* call = FindCallByWork(aNode, aWork);
  if (call == nullptr) {
    return;
  }
  Dispatch& dispatch = call->mDispatch;
  StartTargetCall start;
  start.mMethod = dispatch.mMethod;
  start.mPath = dispatch.mPath;
  start.mHeaders = TargetHeaders(dispatch);
  start.mBody = std::move(dispatch.mBody);
  dispatch.mBody.clear();
  // A reused idle connection may be closed by the target at the same moment,
  // which leaves the outcome unknown. Calls that are not idempotent therefore
  // get a fresh connection.
  start.mFreshConnection = !dispatch.mIdempotent;
  const Duration left = call->mArrived + dispatch.mDeadline - aNow;
  start.mTimeout = std::clamp(left, Seconds(1), kMaxCallTimeout);
  TargetCallInfo info;
  info.mWork = aWork;
  call->mState = CallState::eRunning;
  call->mLastByte = aNow;
  call->mTargetCall = CallTarget(aNode, aNow, info, std::move(start), aOut);
  ++aNode.mCounters.mStarted;
}

void
AbortCall(Node& aNode, MonoTime aNow, NodeCall& aCall, NodeActions& aOut)
{
  if (aCall.mState == CallState::eQueued) {
    RemoveWaiting(aNode.mScheduler, aCall.mWork);
    return;
  }
  RecordCallEnd(aNode.mScheduler, aNow, aCall.mWork, Ending::eCancelled, 0);
  if (!aCall.mTargetCall.IsNone()) {
    CloseTargetCall(aNode, aCall.mTargetCall, aOut);
    SendCancelToTarget(aNode, aNow, aCall.mDispatch.mRequest, aOut);
  }
}

void
RefuseCall(Node& aNode,
           MonoTime aNow,
           NodeCall& aCall,
           ErrorKind aKind,
           Outcome aOutcome,
           std::string_view aMessage,
           Duration aRetryAfter,
           NodeActions& aOut)
{
  AbortCall(aNode, aNow, aCall, aOut);
  EndCall(aNode, aNow, aCall, CallState::eRefused);
  Refusal& refusal = aCall.mRefusal;
  refusal.mRequest = aCall.mDispatch.mRequest;
  refusal.mAttempt = aCall.mDispatch.mAttempt;
  refusal.mNodeEpoch = aCall.mNodeEpoch;
  refusal.mSequence = aCall.mDispatch.mSequence;
  refusal.mKind = aKind;
  refusal.mOutcome = aOutcome;
  refusal.mMessage = std::string(aMessage);
  refusal.mRetryAfter = aRetryAfter;
  refusal.mRunning = RunningCalls(aNode);
  refusal.mQueued = QueuedCalls(aNode);
  refusal.mLimit = CallLimit(aNode.mScheduler);
  ++aNode.mCounters.mRefused;
  DecisionLog log;
  log.mEvent = "refuse";
  log.mRequest = refusal.mRequest;
  log.mWorkspace = aCall.mDispatch.mWorkspace;
  log.mChoice = std::string(ErrorKindName(aKind));
  log.mReason = refusal.mMessage;
  log.mExtra = { { "outcome", std::string(OutcomeName(aOutcome)) },
                 { "running", std::to_string(refusal.mRunning) },
                 { "queued", std::to_string(refusal.mQueued) },
                 { "limit", std::to_string(refusal.mLimit) } };
  aOut.emplace_back(std::move(log));
  aOut.emplace_back(SendMessage{ aCall.mEntryAddress, refusal });
}

void
FinishCall(Node& aNode, MonoTime aNow, NodeCall& aCall, NodeActions& aOut)
{
  Ending ending = Ending::eGood;
  if (aCall.mStatus == 503) {
    ending = Ending::eBusy;
  } else if (aCall.mStatus >= 500) {
    ending = Ending::eServerError;
  } else if (aCall.mStatus >= 400) {
    ending = Ending::eClientError;
  }
  const Dispatch& dispatch = aCall.mDispatch;
  const double cost =
    dispatch.mStream && aCall.mEvents > 0
      ? static_cast<double>(dispatch.mPromptTokens) + aCall.mEvents
      : 0.0;
  LogLimit(aNode,
           RecordCallEnd(aNode.mScheduler, aNow, aCall.mWork, ending, cost),
           "call ended",
           aOut);
  RelayBytes(aNode, aNow, aCall, {}, aOut);
  EndCall(aNode, aNow, aCall, CallState::eAnswered);
  ++aNode.mCounters.mAnswered;
}

void
OnCancelRequest(Node& aNode,
                MonoTime aNow,
                const CancelRequest& aCancel,
                NodeActions& aOut)
{
  const AttemptKey key{ aCancel.mRequest, aCancel.mAttempt };
  auto found = aNode.mCalls.find(key);
  if (found == aNode.mCalls.end()) {
    // The dispatch may still arrive; this record prevents it from running.
    NodeCall& call = aNode.mCalls[key];
    call.mDispatch.mRequest = aCancel.mRequest;
    call.mDispatch.mAttempt = aCancel.mAttempt;
    call.mNodeEpoch = aCancel.mNodeEpoch;
    EndCall(aNode, aNow, call, CallState::eCancelled);
    return;
  }
  NodeCall& call = found->second;
  if (call.mState == CallState::eQueued || call.mState == CallState::eRunning) {
    AbortCall(aNode, aNow, call, aOut);
    EndCall(aNode, aNow, call, CallState::eCancelled);
  }
}

} // namespace caraway
