// Responses and errors to callers, and the end of requests.

#include "caraway/entry/reply.h"

#include "caraway/entry/control_calls.h"

namespace caraway {

namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";

void
CountAnswer(EntryStep& aStep, int aStatus)
{
  ++aStep.mEntry.mMetrics.mAnswers[aStatus];
}

void
CountError(EntryStep& aStep, const CallerError& aError)
{
  EntryMetrics& metrics = aStep.mEntry.mMetrics;
  ++metrics.mFailures[std::string(ErrorKindName(aError.mKind))];
  ++metrics.mOutcomes[std::string(OutcomeName(aError.mOutcome))];
}

int
StatusOf(const CallerError& aError)
{
  return aError.mStatus != 0 ? aError.mStatus : HttpStatusOf(aError.mKind);
}

} // namespace

namespace {

// A draining entry closes connections so that callers reconnect elsewhere.
void
CloseWhenDraining(const EntryStep& aStep, Headers& aHeaders)
{
  if (aStep.mEntry.mDrain.mSince != kNever) {
    aHeaders.emplace_back("Connection", "close");
  }
}

} // namespace

void
ReplyToHttpCall(EntryStep& aStep,
                HttpCallId aCall,
                int aStatus,
                Headers aHeaders,
                std::string aBody)
{
  CloseWhenDraining(aStep, aHeaders);
  CountAnswer(aStep, aStatus);
  aStep.mOut.emplace_back(
    HttpResponse{ aCall, aStatus, std::move(aHeaders), std::move(aBody) });
}

void
RefuseHttpCall(EntryStep& aStep, HttpCallId aCall, const CallerError& aError)
{
  CountError(aStep, aError);
  ReplyToHttpCall(
    aStep, aCall, StatusOf(aError), ErrorHeaders(aError), ErrorBody(aError));
}

void
ReplyInFull(EntryStep& aStep,
            CallerRequest& aRequest,
            int aStatus,
            Headers aHeaders,
            std::string aBody,
            bool aEndsByClose)
{
  if (!aRequest.mCallerGone) {
    aHeaders.emplace_back(kRequestIdHeader, aRequest.mId.mValue);
    CloseWhenDraining(aStep, aHeaders);
    CountAnswer(aStep, aStatus);
    aStep.mOut.emplace_back(HttpResponse{ aRequest.mCall,
                                          aStatus,
                                          std::move(aHeaders),
                                          std::move(aBody),
                                          aEndsByClose });
    aStep.mEntry.mMetrics.mFirstByte.Record(aStep.mNow - aRequest.mReceivedAt);
  }
  aStep.mEntry.mMetrics.mWhole.Record(aStep.mNow - aRequest.mReceivedAt);
  FinishRequest(aStep, aRequest);
}

void
BeginReply(EntryStep& aStep,
           CallerRequest& aRequest,
           int aStatus,
           Headers aHeaders,
           bool aEndsByClose)
{
  aRequest.mReplyBegun = true;
  aStep.mEntry.mMetrics.mFirstByte.Record(aStep.mNow - aRequest.mReceivedAt);
  if (aRequest.mCallerGone) {
    return;
  }
  CountAnswer(aStep, aStatus);
  aHeaders.emplace_back(kRequestIdHeader, aRequest.mId.mValue);
  CloseWhenDraining(aStep, aHeaders);
  aStep.mOut.emplace_back(
    HttpBegin{ aRequest.mCall, aStatus, std::move(aHeaders), aEndsByClose });
}

void
SendReplyChunk(EntryStep& aStep, CallerRequest& aRequest, std::string aBytes)
{
  if (!aRequest.mCallerGone && !aBytes.empty()) {
    aStep.mOut.emplace_back(HttpChunk{ aRequest.mCall, std::move(aBytes) });
  }
}

void
EndReply(EntryStep& aStep, CallerRequest& aRequest)
{
  if (!aRequest.mCallerGone) {
    aStep.mOut.emplace_back(HttpEnd{ aRequest.mCall });
  }
  aStep.mEntry.mMetrics.mWhole.Record(aStep.mNow - aRequest.mReceivedAt);
  FinishRequest(aStep, aRequest);
}

void
ReplyError(EntryStep& aStep, CallerRequest& aRequest, const CallerError& aError)
{
  if (!aRequest.mReplyBegun) {
    CountError(aStep, aError);
    ReplyInFull(aStep,
                aRequest,
                StatusOf(aError),
                ErrorHeaders(aError),
                ErrorBody(aError));
    return;
  }
  CountError(aStep, aError);
  if (aRequest.mTarget.mStream) {
    SendReplyChunk(aStep, aRequest, ErrorEvent(aError));
  }
  if (!aRequest.mCallerGone) {
    aStep.mOut.emplace_back(HttpAbort{ aRequest.mCall });
  }
  FinishRequest(aStep, aRequest);
}

void
FinishRequest(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  if (aRequest.mPhase == RequestPhase::eDone) {
    return;
  }
  aRequest.mPhase = RequestPhase::eDone;
  if (aRequest.mPendingCall != 0) {
    DropCall(aStep, aRequest.mPendingCall);
    aRequest.mPendingCall = 0;
  }
  entry.mById.erase(aRequest.mId);
  if (!aRequest.mCallerGone) {
    entry.mByCall.erase(aRequest.mCall);
  }
  ClearTimer(entry.mRequestTimers, aRequest.mSerial);
  entry.mFinished.push_back(aRequest.mSerial);
}

} // namespace caraway
