// Relays the parts of an answer in sequence.

#include "caraway/entry/relay.h"

#include "absl/strings/match.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/claims.h"
#include "caraway/entry/header_filter.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

constexpr size_t kMaxWholeBytes = 8 << 20; // whole answers held in memory
constexpr size_t kMaxEarlyParts = 64;      // held after a gap
constexpr size_t kMaxEarlyBytes = 4 << 20;
constexpr Duration kSilence = Seconds(1);
constexpr Duration kGapWait = Millis(300);

CallerRequest*
LiveRequest(Entry& aEntry, const RequestId& aId, uint32_t aAttempt)
{
  auto serial = aEntry.mById.find(aId);
  if (serial == aEntry.mById.end()) {
    return nullptr;
  }
  CallerRequest& request = aEntry.mRequests.at(serial->second);
  const bool live = request.mPhase == RequestPhase::eRunning &&
                    request.mAttempts.back().mNumber == aAttempt &&
                    !request.mAttempts.back().mEnded;
  return live ? &request : nullptr;
}

bool
IsStream(const CallerRequest& aRequest)
{
  // A claim stores the whole answer, so it is held until its end.
  return !aRequest.mClaimed &&
         (aRequest.mTarget.mStream ||
          absl::StartsWithIgnoreCase(
            HeaderValue(aRequest.mAnswer.mHeaders, "Content-Type"),
            "text/event-stream"));
}

// Statuses with which a target or a proxy beside it says that it cannot serve.
bool
IsUnserved(uint16_t aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

// Returns false if the attempt was given up for another one.
bool
TakeFirstPart(EntryStep& aStep, CallerRequest& aRequest, AnswerPart& aPart)
{
  const bool unserved = IsUnserved(aPart.mStatus);
  if (unserved) {
    NoteTargetFailure(aStep, aRequest.mAttempts.back());
  }
  if (unserved && aRequest.mTarget.mIdempotent &&
      MayTryAgain(aStep, aRequest) &&
      HasRetry(aStep.mEntry.mRetries, aRequest.mWorkspace)) {
    const Attempt& attempt = aRequest.mAttempts.back();
    Send(aStep,
         attempt.mAddress,
         CancelRequest{ aRequest.mId, attempt.mNumber, attempt.mNodeEpoch });
    AttemptFailed(aStep,
                  aRequest,
                  ErrorKind::eTargetFailed,
                  "the target cannot serve the call");
    return false;
  }
  aRequest.mAnswer.mStatus = aPart.mStatus;
  aRequest.mAnswer.mHeaders = HeadersForCaller(aPart.mHeaders);
  if (IsStream(aRequest)) {
    BeginReply(aStep, aRequest, aPart.mStatus, aRequest.mAnswer.mHeaders);
  }
  return true;
}

void
FinishAnswer(EntryStep& aStep, CallerRequest& aRequest, const AnswerPart& aPart)
{
  Attempt& attempt = aRequest.mAttempts.back();
  EndAttempt(aStep, attempt);
  TakeLoad(aStep,
           attempt.mNode,
           attempt.mNodeEpoch,
           { aPart.mRunning, aPart.mQueued, aPart.mLimit });
  if (!IsUnserved(aRequest.mAnswer.mStatus)) {
    NoteTargetSuccess(aStep, attempt);
  }
  if (aRequest.mBegun) {
    EndReply(aStep, aRequest);
  } else if (aRequest.mClaimed) {
    CompleteAnswerClaim(aStep, aRequest);
  } else {
    ReplyInFull(aStep,
                aRequest,
                aRequest.mAnswer.mStatus,
                std::move(aRequest.mAnswer.mHeaders),
                std::move(aRequest.mAnswer.mBody));
  }
}

// Takes the part that is next in sequence. Returns false if the request or the
// attempt has ended.
bool
TakePart(EntryStep& aStep, CallerRequest& aRequest, AnswerPart& aPart)
{
  Answer& answer = aRequest.mAnswer;
  if (aPart.mPart == 0 && !TakeFirstPart(aStep, aRequest, aPart)) {
    return false;
  }
  ++answer.mNextPart;
  if (aRequest.mBegun) {
    SendReplyChunk(aStep, aRequest, std::move(aPart.mBytes));
  } else if (answer.mBody.size() + aPart.mBytes.size() > kMaxWholeBytes) {
    CallerError error;
    error.mKind = ErrorKind::eTargetFailed;
    error.mMessage = "the answer is larger than 8 MiB";
    error.mRemedy = "ask for a stream or for less in one request";
    FailRequest(aStep, aRequest, std::move(error));
    return false;
  } else {
    answer.mBody += aPart.mBytes;
  }
  if (aPart.mLast) {
    FinishAnswer(aStep, aRequest, aPart);
    return false;
  }
  return true;
}

// Keeps a part that came before its turn. Beyond the bound it is dropped; the
// outcome query makes the node send it again.
void
KeepEarly(CallerRequest& aRequest, const AnswerPart& aPart)
{
  Answer& answer = aRequest.mAnswer;
  const size_t size = aPart.mBytes.size();
  if (answer.mEarly.size() >= kMaxEarlyParts ||
      answer.mEarlyBytes + size > kMaxEarlyBytes) {
    return;
  }
  if (answer.mEarly.try_emplace(aPart.mPart, aPart).second) {
    answer.mEarlyBytes += size;
  }
}

} // namespace

void
HandleAnswerPart(EntryStep& aStep, AnswerPart aPart)
{
  CallerRequest* request =
    LiveRequest(aStep.mEntry, aPart.mRequest, aPart.mAttempt);
  if (request == nullptr ||
      aPart.mNodeEpoch != request->mAttempts.back().mNodeEpoch ||
      aPart.mPart < request->mAnswer.mNextPart) {
    return;
  }
  Attempt& attempt = request->mAttempts.back();
  attempt.mUnanswered = 0;
  Answer& answer = request->mAnswer;
  if (aPart.mPart > answer.mNextPart) {
    if (answer.mEarly.empty()) {
      attempt.mNextQuery = aStep.mNow + kGapWait;
    }
    KeepEarly(*request, aPart);
    ScheduleRequest(aStep, *request);
    return;
  }
  if (!TakePart(aStep, *request, aPart)) {
    return;
  }
  while (!answer.mEarly.empty() &&
         answer.mEarly.begin()->first <= answer.mNextPart) {
    AnswerPart next = std::move(answer.mEarly.begin()->second);
    answer.mEarly.erase(answer.mEarly.begin());
    answer.mEarlyBytes -= next.mBytes.size();
    if (next.mPart == answer.mNextPart && !TakePart(aStep, *request, next)) {
      return;
    }
  }
  attempt.mNextQuery =
    aStep.mNow + (answer.mEarly.empty() ? kSilence : kGapWait);
  ScheduleRequest(aStep, *request);
}

} // namespace caraway
