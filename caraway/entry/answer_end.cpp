// Judges the ends of answers to direct requests: whether an answer is complete,
// and what its caller may be told.
//
// An answer with a length or chunks states its end. One without ends with its
// connection, also when its target breaks it off, so nobody can verify its end.
// It is complete at most if its target still runs, and its caller gets a
// response that does not state its end either.

#include "caraway/entry/direct_internal.h"
#include "caraway/entry/reply.h"

namespace caraway {

namespace {

// Returns why a stream that ended is not complete, nullptr if it may be.
const char*
IncompleteStreamReason(const DirectCall& aDirect,
                       const DirectAttempt& aAttempt,
                       bool aEndedByClose)
{
  if (!IsStream(aDirect) || aAttempt.mStatus / 100 != 2) {
    return nullptr;
  }
  if (HasPartialEvent(aDirect.mEvents)) {
    return "the stream ended inside an event";
  }
  const bool resumed = aDirect.mEvents.mLast || aDirect.mResumeAfter;
  if (aEndedByClose && !resumed && aAttempt.mAnsweredSince == kNever) {
    return "the connection closed before the first event";
  }
  return nullptr;
}

void
FinishEndedAnswer(EntryStep& aStep, CallerRequest& aRequest)
{
  EventStream& events = aRequest.mDirect.mEvents;
  if (aRequest.mReplyBegun) {
    SendReplyChunk(aStep, aRequest, std::move(events.mPending));
  } else if (IsStream(aRequest.mDirect)) {
    aRequest.mAnswer.mBody += events.mPending;
  }
  events.mPending.clear();
  FinishAnswer(aStep, aRequest);
}

} // namespace

void
HandleTargetEnded(EntryStep& aStep, const TargetCallEnded& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  DirectAttempt& attempt = LiveAttempt(*request);
  if (const char* reason =
        IncompleteStreamReason(request->mDirect, attempt, aEvent.mByClose)) {
    HandleBrokenAnswer(aStep, *request, reason, Outcome::eUnknown);
    return;
  }
  if (!aEvent.mByClose) {
    FinishEndedAnswer(aStep, *request);
    return;
  }
  attempt.mEndCheck = true;
  aStep.mOut.emplace_back(MakeEndCheck(attempt.mCall, attempt.mTargetAddress));
}

bool
HandleEndChecked(EntryStep& aStep, const TargetChecked& aEvent)
{
  const TargetCallId call = CallOfEndCheck(aEvent.mCheck);
  if (call.IsNone()) {
    return false;
  }
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, call);
  if (request == nullptr) {
    return true;
  }
  if (aEvent.mReach != TargetReach::eAccepts) {
    HandleBrokenAnswer(aStep,
                       *request,
                       "the target ended with the connection of its answer",
                       Outcome::eUnknown);
  } else if (request->mReplyBegun && !request->mDirect.mReplyEndsByClose) {
    HandleBrokenAnswer(aStep,
                       *request,
                       "the end of the resumed answer cannot be verified",
                       Outcome::eUnknown);
  } else {
    FinishEndedAnswer(aStep, *request);
  }
  return true;
}

} // namespace caraway
