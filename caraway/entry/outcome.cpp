// The outcome of a request, and how a request fails.

#include "caraway/entry/outcome.h"

#include <algorithm>

#include "caraway/admission/token_holder.h"
#include "caraway/entry/claims.h"
#include "caraway/entry/direct.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/reply.h"
#include "caraway/refusal/not_run.h"

namespace caraway {

namespace {

// True if the request waits for a control call that changes files or batches:
// without a reply, the change may have been made.
bool
MayHaveChanged(const CallerRequest& aRequest)
{
  if (aRequest.mPhase != RequestPhase::eControl) {
    return false;
  }
  switch (aRequest.mControl.mStep) {
    case ControlStep::eCreateFile:
    case ControlStep::eDeleteFile:
    case ControlStep::eCreateUpload:
    case ControlStep::eAppendUpload:
    case ControlStep::eCompleteUpload:
    case ControlStep::eCancelUpload:
    case ControlStep::eCreateJob:
    case ControlStep::eCancelJob:
      return aRequest.mPendingCall != 0;
    default:
      return false;
  }
}

void
LogFailure(EntryStep& aStep,
           const CallerRequest& aRequest,
           const CallerError& aError)
{
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "fail";
  log.mRequest = aRequest.mId;
  log.mWorkspace = aRequest.mWorkspace;
  log.mChoice = std::string(OutcomeName(aError.mOutcome));
  log.mReason = std::string(ErrorKindName(aError.mKind));
  log.mExtra = {
    { "attempts",
      std::to_string(aRequest.mAttempts.size() +
                     aRequest.mDirect.mAttempts.size()) },
    { "message", aError.mMessage },
    { "age_ms", std::to_string((aStep.mNow - aRequest.mReceivedAt).Millis()) },
    { "retry_after_ms", std::to_string(aError.mRetryAfter.Millis()) },
  };
  aStep.mOut.emplace_back(std::move(log));
}

} // namespace

Outcome
OutcomeOf(const CallerRequest& aRequest)
{
  const bool proven =
    std::all_of(aRequest.mAttempts.begin(),
                aRequest.mAttempts.end(),
                [](const Attempt& aAttempt) { return aAttempt.mNotRun; });
  return proven && DirectProvenNotRun(aRequest) && !MayHaveChanged(aRequest)
           ? Outcome::eNotRun
           : Outcome::eUnknown;
}

void
EndAttempt(EntryStep& aStep, Attempt& aAttempt)
{
  if (aAttempt.mEnded) {
    return;
  }
  aAttempt.mEnded = true;
  auto state = aStep.mEntry.mTargets.find(aAttempt.mNode);
  if (state != aStep.mEntry.mTargets.end() &&
      state->second.mEpoch == aAttempt.mNodeEpoch && state->second.mOwn > 0) {
    --state->second.mOwn;
  }
}

void
EndAttempts(EntryStep& aStep, CallerRequest& aRequest, bool aCancel)
{
  for (Attempt& attempt : aRequest.mAttempts) {
    if (!attempt.mEnded && aCancel) {
      Send(aStep,
           attempt.mAddress,
           CancelRequest{ aRequest.mId, attempt.mNumber, attempt.mNodeEpoch });
    }
    EndAttempt(aStep, attempt);
  }
  if (IsDirect(aRequest.mDirect)) {
    EndDirect(aStep, aRequest);
  }
}

void
FailRequest(EntryStep& aStep,
            CallerRequest& aRequest,
            CallerError aError,
            bool aCancelAll)
{
  if (aRequest.mPhase == RequestPhase::eDone) {
    return;
  }
  EndAttempts(aStep, aRequest, aCancelAll || aRequest.mTarget.mIdempotent);
  aError.mOutcome = OutcomeOf(aRequest);
  if (aError.mStatus == 0) {
    aError.mKind = KindForCaller(aError.mKind, aError.mOutcome);
  }
  if (aError.mOutcome == Outcome::eNotRun && aRequest.mTokenTaken) {
    ReturnToken(aStep.mEntry.mTokens, aStep.mNow, aRequest.mWorkspace);
    ++aStep.mEntry.mMetrics.mReturned;
  }
  SettleFailedClaim(aStep, aRequest, aError);
  LogFailure(aStep, aRequest, aError);
  ReplyError(aStep, aRequest, aError);
}

void
FailStoppingRequest(EntryStep& aStep, CallerRequest& aRequest)
{
  CallerError error = StoppingError();
  if (IsDirect(aRequest.mDirect)) {
    EndDirect(aStep, aRequest); // proves that an unsent call has not run
  }
  if (OutcomeOf(aRequest) != Outcome::eNotRun) {
    // eDraining would imply that nothing ran.
    error = {};
    error.mKind = ErrorKind::eTargetFailed;
    error.mMessage = "this instance stops before the target has answered";
  }
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace caraway
