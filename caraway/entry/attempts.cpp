// Attempts at targets.

#include "caraway/entry/attempts.h"

#include <algorithm>

#include "caraway/entry/outcome.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

// An attempt without any sign of life is asked about after this long.
constexpr Duration kSilence = Seconds(1);

RouteChoice
Choose(EntryStep& aStep, const CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  RouteQuery query;
  query.mRequest = aRequest.mId;
  query.mWorkspace = aRequest.mWorkspace;
  query.mLocalZone = entry.mSettings.mZone;
  query.mPrefix = aRequest.mTarget.mPrefix;
  query.mRoundRobin = entry.mRoundRobin++;
  query.mAffinityBound = entry.mSettings.mAffinityBound;
  query.mSpillThreshold = entry.mSettings.mSpillThreshold;
  query.mPolicy = entry.mSettings.mPolicy;
  for (const Attempt& attempt : aRequest.mAttempts) {
    query.mExclude.push_back(attempt.mNode);
  }
  return ChooseTarget(CandidatesFor(aStep, aRequest.mTarget),
                      entry.mTargets,
                      query,
                      aStep.mNow,
                      entry.mRandom);
}

Dispatch
MakeDispatch(EntryStep& aStep,
             const CallerRequest& aRequest,
             const Attempt& aAttempt)
{
  const Entry& entry = aStep.mEntry;
  Dispatch message;
  message.mRequest = aRequest.mId;
  message.mAttempt = aAttempt.mNumber;
  message.mEntry = entry.mSettings.mInstance;
  message.mEntryEpoch = aAttempt.mEntryEpoch;
  message.mNodeEpoch = aAttempt.mNodeEpoch;
  message.mSequence = aAttempt.mSequence;
  message.mWorkspace = aRequest.mWorkspace;
  message.mKey = aRequest.mKey;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (contract != entry.mConfig.mContracts.end()) {
    message.mWeight = contract->second.mWeight;
    message.mLatency = contract->second.mLatency;
  }
  const TargetCall& call = aRequest.mTarget;
  message.mModel = call.mModel;
  message.mService = call.mService;
  message.mIdempotent = call.mIdempotent;
  message.mStream = call.mStream;
  message.mDeadline = aRequest.mDeadline - aStep.mNow;
  message.mPromptTokens = call.mPromptTokens;
  message.mOutputTokens = call.mOutputTokens;
  message.mMethod = call.mMethod;
  message.mPath = call.mPath;
  message.mHeaders = call.mHeaders;
  message.mBody = call.mBody;
  return message;
}

void
SendAttempt(EntryStep& aStep, CallerRequest& aRequest, const Member& aNode)
{
  Entry& entry = aStep.mEntry;
  Attempt attempt;
  attempt.mNumber = static_cast<uint32_t>(aRequest.mAttempts.size()) + 1;
  attempt.mNode = aNode.mInstance;
  attempt.mAddress = aNode.mAddress;
  attempt.mNodeEpoch = aNode.mEpoch;
  attempt.mEntryEpoch = entry.mSession.mEpoch;
  attempt.mSequence = ++entry.mSequences[aNode.mEpoch];
  attempt.mSentAt = aStep.mNow;
  attempt.mNextQuery = aStep.mNow + kSilence;
  ++StateOf(aStep, aNode.mInstance, aNode.mEpoch).mOwn;
  ++entry.mMetrics.mDispatches;
  Send(aStep, aNode.mAddress, MakeDispatch(aStep, aRequest, attempt));
  aRequest.mAttempts.push_back(std::move(attempt));
  aRequest.mAnswer = {};
  aRequest.mPhase = RequestPhase::eRunning;
  ScheduleRequest(aStep, aRequest);
}

// Sends one more attempt, or returns false if no target is left.
bool
TrySend(EntryStep& aStep, CallerRequest& aRequest)
{
  // Without an epoch of its own the entry cannot number dispatches.
  if (aStep.mEntry.mSession.mEpoch.IsNone()) {
    return false;
  }
  RouteChoice choice = Choose(aStep, aRequest);
  const Member* node =
    choice.mNode ? NodeOf(aStep.mEntry, *choice.mNode) : nullptr;
  if (choice.mLog.mReason == "prefix affinity") {
    ++aStep.mEntry.mMetrics.mAffinityRouted;
  }
  aStep.mOut.emplace_back(std::move(choice.mLog));
  if (node == nullptr) {
    return false;
  }
  SendAttempt(aStep, aRequest, *node);
  return true;
}

// These say something of the request itself; another target would say the same.
bool
IsFinalKind(ErrorKind aKind)
{
  return aKind == ErrorKind::eInvalidArgument ||
         aKind == ErrorKind::eTooLarge || aKind == ErrorKind::eWithdrawn ||
         aKind == ErrorKind::eNotPermitted;
}

void
FailWithLast(EntryStep& aStep, CallerRequest& aRequest)
{
  CallerError error;
  error.mKind = aRequest.mLastKind;
  error.mMessage = aRequest.mLastMessage;
  error.mRetryAfter = aRequest.mRetryAfter;
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace

void
StartAttempts(EntryStep& aStep, CallerRequest& aRequest)
{
  EarnRetries(aStep.mEntry.mRetries, aRequest.mWorkspace);
  if (TrySend(aStep, aRequest)) {
    return;
  }
  CallerError error;
  error.mKind = ErrorKind::eUnavailable;
  error.mMessage = "no target in service offers this";
  FailRequest(aStep, aRequest, std::move(error));
}

bool
MayTryAgain(EntryStep& aStep, const CallerRequest& aRequest)
{
  const Entry& entry = aStep.mEntry;
  const bool safe =
    OutcomeOf(aRequest) == Outcome::eNotRun || aRequest.mTarget.mIdempotent;
  // Another attempt of keyed work is new work, which needs the lease.
  const bool permitted =
    aRequest.mKey.Empty() || HasValidLease(entry, aStep.mNow);
  return safe && permitted && !aRequest.mBegun && !aRequest.mCallerGone &&
         aRequest.mAttempts.size() < entry.mSettings.mMaxAttempts &&
         aStep.mNow < aRequest.mDeadline;
}

void
AttemptFailed(EntryStep& aStep,
              CallerRequest& aRequest,
              ErrorKind aKind,
              std::string aMessage,
              Duration aRetryAfter)
{
  EndAttempt(aStep, aRequest.mAttempts.back());
  aRequest.mLastKind = aKind;
  aRequest.mLastMessage = std::move(aMessage);
  aRequest.mRetryAfter = aRetryAfter;
  if (IsFinalKind(aKind) || !MayTryAgain(aStep, aRequest) ||
      !TakeRetry(aStep.mEntry.mRetries, aRequest.mWorkspace)) {
    FailWithLast(aStep, aRequest);
    return;
  }
  if (!TrySend(aStep, aRequest)) {
    ReturnRetry(aStep.mEntry.mRetries, aRequest.mWorkspace);
    FailWithLast(aStep, aRequest);
    return;
  }
  ++aStep.mEntry.mMetrics.mRetries;
}

void
NoteTargetFailure(EntryStep& aStep, const Attempt& aAttempt)
{
  auto state = aStep.mEntry.mTargets.find(aAttempt.mNode);
  if (state != aStep.mEntry.mTargets.end() &&
      state->second.mEpoch == aAttempt.mNodeEpoch) {
    RecordFailure(state->second, aStep.mNow);
  }
}

void
NoteTargetSuccess(EntryStep& aStep, const Attempt& aAttempt)
{
  auto state = aStep.mEntry.mTargets.find(aAttempt.mNode);
  if (state != aStep.mEntry.mTargets.end() &&
      state->second.mEpoch == aAttempt.mNodeEpoch) {
    RecordSuccess(state->second, aAttempt.mSentAt);
  }
}

void
ScheduleRequest(EntryStep& aStep, const CallerRequest& aRequest)
{
  if (aRequest.mPhase == RequestPhase::eDone) {
    return;
  }
  MonoTime due = aRequest.mDeadline;
  if (aRequest.mPhase == RequestPhase::eAdmitting) {
    due = std::min(due, aRequest.mAskUntil);
  }
  if (aRequest.mPhase == RequestPhase::eRunning &&
      !aRequest.mAttempts.back().mEnded) {
    due = std::min(due, aRequest.mAttempts.back().mNextQuery);
  }
  if (aRequest.mPhase == RequestPhase::eDirect) {
    due = std::min(due, aRequest.mDirect.mCheckAt);
  }
  SetTimer(aStep.mEntry.mRequestTimers, aRequest.mSerial, due);
}

} // namespace caraway
