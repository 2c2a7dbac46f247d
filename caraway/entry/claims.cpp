// Idempotency claims of non-idempotent service calls.

#include "caraway/entry/claims.h"

#include "caraway/entry/attempts.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"

namespace caraway {

namespace {

CallerError
UnknownOutcomeError()
{
  CallerError error;
  error.mKind = ErrorKind::eOutcomeUnknown;
  error.mMessage = "the first request with this idempotency key may have run";
  error.mOutcome = Outcome::eUnknown;
  error.mStatus = 409;
  return error;
}

// Returns the error stored in place of an answer that is too large to store.
CallerError
TooLargeAnswerError()
{
  CallerError error;
  error.mKind = ErrorKind::eTooLarge;
  error.mMessage = "the request ran, but its answer was too large to store";
  error.mRemedy = "read the result from the service";
  error.mOutcome = Outcome::eRan;
  error.mStatus = 409;
  return error;
}

// Returns the error stored in place of an answer that may not be whole.
CallerError
UnverifiedAnswerError()
{
  CallerError error;
  error.mKind = ErrorKind::eOutcomeUnknown;
  error.mMessage = "the request ran, but its answer was not stored since its "
                   "end could not be verified";
  error.mRemedy = "read the result from the service";
  error.mOutcome = Outcome::eRan;
  error.mStatus = 409;
  return error;
}

CompleteClaim
MakeCompletion(const CallerRequest& aRequest, const CallerError& aError)
{
  CompleteClaim complete;
  complete.mKey = aRequest.mClaimKey;
  complete.mRequest = aRequest.mId;
  complete.mStatus = static_cast<uint16_t>(aError.mStatus);
  complete.mContentType = "application/json";
  complete.mBody = ErrorBody(aError);
  return complete;
}

void
RefuseClaim(EntryStep& aStep, CallerRequest& aRequest, CallerError aError)
{
  aRequest.mClaimed = false; // the claim belongs to another request
  FailRequest(aStep, aRequest, std::move(aError));
}

void
Replay(EntryStep& aStep, CallerRequest& aRequest, const ClaimReply& aReply)
{
  Headers headers{ { "X-Idempotent-Replay", "true" } };
  if (!aReply.mContentType.empty()) {
    headers.emplace_back("Content-Type", aReply.mContentType);
  }
  ReplyInFull(
    aStep, aRequest, aReply.mStatus, std::move(headers), aReply.mBody);
}

} // namespace

void
StartClaim(EntryStep& aStep, CallerRequest& aRequest)
{
  aRequest.mPhase = RequestPhase::eClaiming;
  aRequest.mClaimed = true;
  CallControl(aStep,
              aRequest,
              Claim{ aRequest.mClaimKey, aRequest.mFingerprint, aRequest.mId });
  ScheduleRequest(aStep, aRequest);
}

void
HandleClaimReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody)
{
  const auto* reply = std::get_if<ClaimReply>(&aBody);
  if (reply == nullptr) {
    CallerError error;
    error.mKind = ErrorKind::eUnavailable;
    error.mMessage = "the idempotency key could not be claimed";
    RefuseClaim(aStep, aRequest, std::move(error));
    return;
  }
  CallerError error;
  switch (reply->mVerdict) {
    case ClaimVerdict::eGranted:
      StartAttempts(aStep, aRequest);
      return;
    case ClaimVerdict::eCompleted:
      Replay(aStep, aRequest, *reply);
      return;
    case ClaimVerdict::eInProgress:
      error.mKind = ErrorKind::eInProgress;
      error.mMessage =
        "the first request with this idempotency key is still in progress";
      error.mRetryAfter = Seconds(1);
      break;
    case ClaimVerdict::eUnknown:
      // If the claim is this request's own, from an ended session, this
      // releases it; the ledger ignores a release by any other request.
      CallControlInBackground(aStep,
                              aRequest.mWorkspace,
                              ReleaseClaim{ aRequest.mClaimKey, aRequest.mId });
      error = UnknownOutcomeError();
      break;
    case ClaimVerdict::eMismatch:
      error.mKind = ErrorKind::eConflict;
      error.mMessage =
        "this idempotency key was used with a different request before";
      error.mRemedy = "use a new key for a new request";
      error.mStatus = 422;
      break;
  }
  RefuseClaim(aStep, aRequest, std::move(error));
}

void
CompleteAnswerClaim(EntryStep& aStep, CallerRequest& aRequest)
{
  const Answer& answer = aRequest.mAnswer;
  aRequest.mPhase = RequestPhase::eCompleting;
  CompleteClaim complete;
  if (answer.mBody.size() > kMaxPartBytes) {
    complete = MakeCompletion(aRequest, TooLargeAnswerError());
  } else if (answer.mEndsByClose) {
    complete = MakeCompletion(aRequest, UnverifiedAnswerError());
  } else {
    complete.mKey = aRequest.mClaimKey;
    complete.mRequest = aRequest.mId;
    complete.mStatus = answer.mStatus;
    complete.mContentType = HeaderValue(answer.mHeaders, "Content-Type");
    complete.mBody = answer.mBody;
  }
  CallControl(aStep, aRequest, std::move(complete));
  ScheduleRequest(aStep, aRequest);
}

void
FinishCompletedClaim(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  auto call = entry.mCalls.find(aRequest.mPendingCall);
  if (call != entry.mCalls.end()) {
    // The deadline passed first. The caller gets its answer; storing it goes on
    // in the background, since without it the key would stay claimed.
    CallControlInBackground(
      aStep, aRequest.mWorkspace, call->second.mMessage.mBody);
  }
  Answer answer = std::move(aRequest.mAnswer);
  ReplyInFull(aStep,
              aRequest,
              answer.mStatus,
              std::move(answer.mHeaders),
              std::move(answer.mBody),
              answer.mEndsByClose);
}

void
SettleFailedClaim(EntryStep& aStep,
                  CallerRequest& aRequest,
                  const CallerError& aError)
{
  if (!aRequest.mClaimed) {
    return;
  }
  aRequest.mClaimed = false;
  if (aError.mOutcome == Outcome::eNotRun) {
    CallControlInBackground(aStep,
                            aRequest.mWorkspace,
                            ReleaseClaim{ aRequest.mClaimKey, aRequest.mId });
    return;
  }
  CallControlInBackground(aStep,
                          aRequest.mWorkspace,
                          MakeCompletion(aRequest, UnknownOutcomeError()));
}

} // namespace caraway
