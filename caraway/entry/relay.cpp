// Relays the parts of an answer to the caller in order.

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

constexpr size_t kMaxAnswerBytes = 8 << 20; // of an answer that is not streamed
constexpr size_t kMaxOutOfOrderParts = 64;  // held after a missing part
constexpr size_t kMaxOutOfOrderBytes = 4 << 20;
constexpr Duration kSilence = Seconds(1);
constexpr Duration kMissingPartTimeout = Millis(300);

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
  // A claim stores the complete answer, so the answer is buffered to its end.
  return !aRequest.mClaimed &&
         (aRequest.mTarget.mStream ||
          absl::StartsWithIgnoreCase(
            HeaderValue(aRequest.mAnswer.mHeaders, "Content-Type"),
            "text/event-stream"));
}

// True for statuses by which a target, or a proxy beside it, says that it
// cannot serve the call.
bool
IsUnavailableStatus(uint16_t aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

// Returns false if the attempt failed and was replaced by a retry.
bool
ProcessFirstPart(EntryStep& aStep, CallerRequest& aRequest, AnswerPart& aPart)
{
  const bool unserved = IsUnavailableStatus(aPart.mStatus);
  if (unserved) {
    NoteTargetFailure(aStep, aRequest.mAttempts.back());
  }
  if (unserved && aRequest.mTarget.mIdempotent &&
      MayRetryAttempt(aStep, aRequest) &&
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
  aRequest.mAnswer.mEndsByClose = aPart.mEndsByClose;
  if (IsStream(aRequest)) {
    BeginReply(aStep,
               aRequest,
               aPart.mStatus,
               aRequest.mAnswer.mHeaders,
               aPart.mEndsByClose);
  }
  return true;
}

void
FinishAnswer(EntryStep& aStep, CallerRequest& aRequest, const AnswerPart& aPart)
{
  Attempt& attempt = aRequest.mAttempts.back();
  EndAttempt(aStep, attempt);
  RecordNodeLoad(aStep,
                 attempt.mNode,
                 attempt.mNodeEpoch,
                 { aPart.mRunning, aPart.mQueued, aPart.mLimit });
  if (!IsUnavailableStatus(aRequest.mAnswer.mStatus)) {
    NoteTargetSuccess(aStep, attempt);
  }
  if (aRequest.mReplyBegun) {
    EndReply(aStep, aRequest);
  } else if (aRequest.mClaimed) {
    CompleteAnswerClaim(aStep, aRequest);
  } else {
    ReplyInFull(aStep,
                aRequest,
                aRequest.mAnswer.mStatus,
                std::move(aRequest.mAnswer.mHeaders),
                std::move(aRequest.mAnswer.mBody),
                aRequest.mAnswer.mEndsByClose);
  }
}

// Processes the next part in order. Returns false if the request or the attempt
// has ended.
bool
ProcessPart(EntryStep& aStep, CallerRequest& aRequest, AnswerPart& aPart)
{
  Answer& answer = aRequest.mAnswer;
  if (aPart.mPart == 0 && !ProcessFirstPart(aStep, aRequest, aPart)) {
    return false;
  }
  ++answer.mNextPart;
  if (aRequest.mReplyBegun) {
    SendReplyChunk(aStep, aRequest, std::move(aPart.mBytes));
  } else if (answer.mBody.size() + aPart.mBytes.size() > kMaxAnswerBytes) {
    CallerError error;
    error.mKind = ErrorKind::eTargetFailed;
    error.mMessage = "the answer is larger than 8 MiB";
    error.mRemedy = "request a stream, or less in one request";
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

// Buffers a part that was received out of order. Beyond the limit it is
// dropped; an outcome query makes the node retransmit it.
void
BufferOutOfOrder(CallerRequest& aRequest, const AnswerPart& aPart)
{
  Answer& answer = aRequest.mAnswer;
  const size_t size = aPart.mBytes.size();
  if (answer.mOutOfOrder.size() >= kMaxOutOfOrderParts ||
      answer.mOutOfOrderBytes + size > kMaxOutOfOrderBytes) {
    return;
  }
  if (answer.mOutOfOrder.try_emplace(aPart.mPart, aPart).second) {
    answer.mOutOfOrderBytes += size;
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
    if (answer.mOutOfOrder.empty()) {
      attempt.mNextQuery = aStep.mNow + kMissingPartTimeout;
    }
    BufferOutOfOrder(*request, aPart);
    ScheduleRequest(aStep, *request);
    return;
  }
  if (!ProcessPart(aStep, *request, aPart)) {
    return;
  }
  while (!answer.mOutOfOrder.empty() &&
         answer.mOutOfOrder.begin()->first <= answer.mNextPart) {
    AnswerPart next = std::move(answer.mOutOfOrder.begin()->second);
    answer.mOutOfOrder.erase(answer.mOutOfOrder.begin());
    answer.mOutOfOrderBytes -= next.mBytes.size();
    if (next.mPart == answer.mNextPart && !ProcessPart(aStep, *request, next)) {
      return;
    }
  }
  attempt.mNextQuery =
    aStep.mNow + (answer.mOutOfOrder.empty() ? kSilence : kMissingPartTimeout);
  ScheduleRequest(aStep, *request);
}

} // namespace caraway
