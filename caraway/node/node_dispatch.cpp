// Handles dispatches and outcome queries of entries: detects duplicates and
// stale epochs, and accepts or refuses new calls.

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// Refuses one copy of a dispatch without changing the state of any call.
void
RefuseDispatch(Node& aNode,
               const PeerAddress& aTo,
               const Dispatch& aDispatch,
               ErrorKind aKind,
               Outcome aOutcome,
               std::string_view aMessage,
               NodeActions& aOut)
{
  Refusal refusal;
  refusal.mRequest = aDispatch.mRequest;
  refusal.mAttempt = aDispatch.mAttempt;
  refusal.mNodeEpoch = aNode.mSession.mEpoch;
  refusal.mSequence = aDispatch.mSequence;
  refusal.mKind = aKind;
  refusal.mOutcome = aOutcome;
  refusal.mMessage = std::string(aMessage);
  refusal.mRunning = RunningCalls(aNode);
  refusal.mQueued = QueuedCalls(aNode);
  refusal.mLimit = CallLimit(aNode.mScheduler);
  ++aNode.mCounters.mRefused;
  DecisionLog log;
  log.mEvent = "refuse";
  log.mRequest = aDispatch.mRequest;
  log.mWorkspace = aDispatch.mWorkspace;
  log.mChoice = std::string(ErrorKindName(aKind));
  log.mReason = refusal.mMessage;
  log.mExtra = { { "outcome", std::string(OutcomeName(aOutcome)) } };
  aOut.emplace_back(std::move(log));
  aOut.emplace_back(SendMessage{ aTo, std::move(refusal) });
}

// Retransmits what the entry may have missed of a call, from part aFrom on.
void
ResendAnswer(Node& aNode,
             const NodeCall& aCall,
             uint32_t aFrom,
             NodeActions& aOut)
{
  if (aCall.mState == CallState::eRefused) {
    aOut.emplace_back(SendMessage{ aCall.mEntryAddress, aCall.mRefusal });
  } else if (aCall.mState == CallState::eRunning ||
             aCall.mState == CallState::eAnswered) {
    ResendParts(aNode, aCall, aFrom, aOut);
  }
}

std::string_view
RefusalText(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::eDraining:
      return "this node is leaving; send it to another target";
    case ErrorKind::eLeaseExpired:
      return "this node lost contact with control; send it to another target";
    case ErrorKind::eZoneOut:
      return "the zone or target is out of service; send it to another target";
    case ErrorKind::eTargetFailed:
      return "no target is announced here; send it to another target";
    case ErrorKind::eDeadlineTooShort:
      return "the request cannot start before its deadline; retry later or "
             "allow more time";
    default:
      return "the queue is full; retry later";
  }
}

Work
WorkFor(const NodeCall& aCall, MonoTime aNow)
{
  const Dispatch& dispatch = aCall.mDispatch;
  Work work;
  work.mId = aCall.mWork;
  work.mWorkspace = dispatch.mWorkspace;
  work.mWeight = std::max<uint32_t>(1, dispatch.mWeight);
  work.mPrompt = dispatch.mPromptTokens;
  work.mCost = std::max<double>(
    1.0, static_cast<double>(dispatch.mPromptTokens) + dispatch.mOutputTokens);
  work.mStreamed = dispatch.mStream && !dispatch.mModel.Empty();
  work.mDeadline = aNow + dispatch.mDeadline;
  return work;
}

bool
KeyWithdrawn(const Node& aNode, const KeyId& aKey)
{
  const auto& keys = aNode.mSession.mView.mKeys;
  auto found = keys.find(aKey);
  return found != keys.end() && found->second.mWithdrawn;
}

void
RefuseEvicted(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  if (RefuseSlot(aNode, aNow, aWork, aOut)) {
    return;
  }
  if (NodeCall* evicted = FindCallByWork(aNode, aWork)) {
    RefuseCall(
      aNode,
      aNow,
      *evicted,
      ErrorKind::eOverloaded,
      Outcome::eNotRun,
      "the queue is full and this workspace holds the largest share of "
      "it; retry later",
      Seconds(1),
      aOut);
  }
}

void
AcceptDispatch(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aFrom,
               const Dispatch& aDispatch,
               NodeActions& aOut)
{
  const AttemptKey key{ aDispatch.mRequest, aDispatch.mAttempt };
  NodeCall& call = aNode.mCalls[key];
  call = NodeCall();
  call.mDispatch = aDispatch;
  call.mEntryAddress = aFrom;
  call.mNodeEpoch = aDispatch.mNodeEpoch;
  call.mArrived = aNow;
  call.mWork = WorkId(aNode.mNextWork++);
  aNode.mAttemptByWork[call.mWork] = key;
  const ErrorKind reason = KeyWithdrawn(aNode, aDispatch.mKey)
                             ? ErrorKind::eWithdrawn
                             : RefusalReason(aNode, aNow);
  OfferResult admission;
  if (reason != ErrorKind::eNone) {
    admission.mVerdict = Verdict::eRefused;
    admission.mKind = reason;
    admission.mRetryAfter = Millis(100);
  } else {
    admission = OfferOnline(aNode.mScheduler, aNow, WorkFor(call, aNow));
  }
  if (admission.mVerdict == Verdict::eRefused) {
    RefuseCall(aNode,
               aNow,
               call,
               admission.mKind,
               Outcome::eNotRun,
               admission.mKind == ErrorKind::eWithdrawn
                 ? "the key was withdrawn; use another key"
                 : RefusalText(admission.mKind),
               admission.mRetryAfter,
               aOut);
  } else if (!admission.mEvicted.IsNone()) {
    RefuseEvicted(aNode, aNow, admission.mEvicted, aOut);
  }
}

} // namespace

void
OnDispatch(Node& aNode,
           MonoTime aNow,
           const PeerAddress& aFrom,
           const Dispatch& aDispatch,
           NodeActions& aOut)
{
  ++aNode.mCounters.mDispatches;
  const AttemptKey key{ aDispatch.mRequest, aDispatch.mAttempt };
  auto known = aNode.mCalls.find(key);
  if (aDispatch.mNodeEpoch != aNode.mSession.mEpoch ||
      aNode.mSession.mEpoch.IsNone()) {
    if (known != aNode.mCalls.end() &&
        known->second.mNodeEpoch == aDispatch.mNodeEpoch) {
      // A late copy of a known call.
      known->second.mEntryAddress = aFrom;
      ResendAnswer(aNode, known->second, 0, aOut);
      return;
    }
    RefuseDispatch(
      aNode,
      aFrom,
      aDispatch,
      ErrorKind::eStaleEpoch,
      Outcome::eNotRun,
      "this node has a different session epoch; fetch the configuration",
      aOut);
    return;
  }
  DispatchWindow& window =
    aNode.mWindows[{ aDispatch.mEntry, aDispatch.mEntryEpoch }];
  const SequenceState state = StateOf(window, aDispatch.mSequence);
  MarkSeen(window, aDispatch.mSequence);
  if (state == SequenceState::eNew && known == aNode.mCalls.end()) {
    AcceptDispatch(aNode, aNow, aFrom, aDispatch, aOut);
    return;
  }
  ++aNode.mCounters.mDuplicateDispatches;
  if (known == aNode.mCalls.end()) {
    RefuseDispatch(
      aNode,
      aFrom,
      aDispatch,
      ErrorKind::eOutcomeUnknown,
      Outcome::eUnknown,
      "an earlier copy was received and its answer is no longer kept; "
      "check the result before sending it again",
      aOut);
    return;
  }
  NodeCall& call = known->second;
  if (call.mState == CallState::eCancelled && call.mEntryAddress.Empty()) {
    RefuseDispatch(
      aNode,
      aFrom,
      aDispatch,
      ErrorKind::eOverloaded,
      Outcome::eNotRun,
      "the request was cancelled before it arrived; send a new one",
      aOut);
    return;
  }
  call.mEntryAddress = aFrom;
  ResendAnswer(aNode, call, 0, aOut);
}

void
OnOutcomeQuery(Node& aNode,
               MonoTime,
               const PeerAddress& aFrom,
               const OutcomeQuery& aQuery,
               NodeActions& aOut)
{
  OutcomeReply reply;
  reply.mRequest = aQuery.mRequest;
  reply.mAttempt = aQuery.mAttempt;
  reply.mNodeEpoch = aQuery.mNodeEpoch;
  auto found = aNode.mCalls.find({ aQuery.mRequest, aQuery.mAttempt });
  if (found != aNode.mCalls.end() &&
      found->second.mNodeEpoch == aQuery.mNodeEpoch) {
    NodeCall& call = found->second;
    call.mEntryAddress = aFrom;
    if (call.mState == CallState::eRefused) {
      ResendAnswer(aNode, call, 0, aOut); // more specific than an OutcomeReply
      return;
    }
    const size_t firstKept = call.mNextPart - call.mParts.size();
    const bool kept = firstKept <= aQuery.mNextPart;
    if (call.mState == CallState::eQueued) {
      reply.mState = AttemptState::eQueued;
    } else if (call.mState == CallState::eRunning && kept) {
      reply.mState = AttemptState::eRunning;
    } else if (call.mState == CallState::eAnswered && kept) {
      reply.mState = AttemptState::eAnswered;
    }
    aOut.emplace_back(SendMessage{ aFrom, reply });
    if (kept) {
      ResendAnswer(aNode, call, aQuery.mNextPart, aOut);
    }
    return;
  }
  if (aQuery.mNodeEpoch != aNode.mSession.mEpoch) {
    reply.mState = AttemptState::eWrongEpoch;
  } else {
    DispatchWindow& window =
      aNode.mWindows[{ aQuery.mEntry, aQuery.mEntryEpoch }];
    if (StateOf(window, aQuery.mSequence) == SequenceState::eNew) {
      // Mark it as seen, so that a late copy cannot run after this reply.
      MarkSeen(window, aQuery.mSequence);
      reply.mState = AttemptState::eNeverSeen;
    }
  }
  aOut.emplace_back(SendMessage{ aFrom, reply });
}

} // namespace caraway
