// Calls to targets: start, answer, failure, silence.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/header_filter.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/target_reports.h"

namespace caraway {

namespace {

constexpr size_t kMaxWholeBytes = 8 << 20; // whole answers held in memory
// Of one event. Engines send a few hundred bytes; a target that is broken may
// send bytes without an end.
constexpr size_t kMaxEventBytes = 1 << 20;
constexpr size_t kMaxTries = 8; // calls for one request, run or not
// A connection within a region is there after a few milliseconds. An unsent
// request has not run and goes elsewhere.
constexpr Duration kConnectWait = Millis(250);
constexpr Duration kShortestStall = Millis(400);
constexpr Duration kLongestStall = Millis(1500);
constexpr int64_t kStallGoals = 2;  // latency goals without a first byte
constexpr int64_t kStallPauses = 4; // pauses without an event
constexpr Duration kCheckEvery = Millis(100);
constexpr Duration kLeastTimeLeft = Millis(20); // for another attempt

DirectAttempt&
Live(CallerRequest& aRequest)
{
  return aRequest.mDirect.mAttempts.back();
}

bool
IsStream(const DirectCall& aDirect)
{
  return aDirect.mKind == CallKind::eStream;
}

uint32_t
Runs(const DirectCall& aDirect)
{
  return static_cast<uint32_t>(
    std::count_if(aDirect.mAttempts.begin(),
                  aDirect.mAttempts.end(),
                  [](const DirectAttempt& aOne) { return !aOne.mNotRun; }));
}

// Silence after which a request that may be repeated goes elsewhere.
Duration
StallBound(const CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  const bool begun = direct.mEvents.mEvents > 0;
  const Duration usual =
    begun ? direct.mGapGoal * kStallPauses : direct.mLatencyGoal * kStallGoals;
  return std::clamp(usual, kShortestStall, kLongestStall);
}

bool
MayTryMore(const EntryStep& aStep, const CallerRequest& aRequest, bool aNotRun)
{
  const DirectCall& direct = aRequest.mDirect;
  if (aRequest.mCallerGone || direct.mAttempts.size() >= kMaxTries ||
      aRequest.mDeadline - aStep.mNow < kLeastTimeLeft) {
    return false;
  }
  if (!DirectNotRun(aRequest) && !direct.mRepeatable) {
    return false;
  }
  // A stream goes on only after an event whose id is known.
  if (aRequest.mBegun && !direct.mEvents.mLast) {
    return false;
  }
  return aNotRun || Runs(direct) < direct.mMaxAttempts;
}

void
LogAttempt(EntryStep& aStep,
           const CallerRequest& aRequest,
           LogLevel aLevel,
           const char* aEvent,
           const std::string& aReason)
{
  const DirectAttempt& attempt = aRequest.mDirect.mAttempts.back();
  DecisionLog log;
  log.mLevel = aLevel;
  log.mEvent = aEvent;
  log.mRequest = aRequest.mId;
  log.mWorkspace = aRequest.mWorkspace;
  log.mChoice = attempt.mTarget.mValue;
  log.mReason = aReason;
  log.mExtra = {
    { "attempt", absl::StrCat(aRequest.mDirect.mAttempts.size()) },
    { "status", absl::StrCat(attempt.mStatus) },
    { "slot", attempt.mSlotNode.Empty() ? "none" : attempt.mSlotNode.mValue },
    { "age_ms", absl::StrCat((aStep.mNow - aRequest.mReceivedAt).Millis()) },
    { "run_ms", absl::StrCat((aStep.mNow - attempt.mStartedAt).Millis()) },
    { "events", absl::StrCat(aRequest.mDirect.mEvents.mEvents) },
  };
  aStep.mOut.emplace_back(std::move(log));
}

void
NoteResult(EntryStep& aStep, const DirectAttempt& aAttempt, bool aGood)
{
  auto load = aStep.mEntry.mPlacement.find(aAttempt.mTarget);
  if (load == aStep.mEntry.mPlacement.end()) {
    return;
  }
  if (aGood) {
    NotePlacementSuccess(load->second);
  } else {
    NotePlacementFailure(load->second, aStep.mNow);
  }
}

void
SendEvents(EntryStep& aStep, CallerRequest& aRequest, std::string aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (!aRequest.mBegun) {
    BeginReply(aStep,
               aRequest,
               Live(aRequest).mStatus,
               HeadersForCaller(Live(aRequest).mHeaders));
  }
  ChunkReply(aStep, aRequest, std::move(aBytes));
}

void
FinishAnswer(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectAttempt& attempt = Live(aRequest);
  LogAttempt(aStep, aRequest, LogLevel::eInfo, "answer", "whole");
  NoteResult(aStep, attempt, attempt.mStatus < 500);
  CloseAttempt(aStep,
               aRequest,
               attempt.mStatus < 500 ? SlotEnding::eServed
                                     : SlotEnding::eFailed,
               false);
  if (aRequest.mBegun) {
    EndReply(aStep, aRequest);
    return;
  }
  ReplyWhole(aStep,
             aRequest,
             attempt.mStatus,
             HeadersForCaller(attempt.mHeaders),
             std::move(aRequest.mAnswer.mBody));
}

// Gives the target no more work from here on. Control is told of one that
// leaves, so that other entries do the same.
void
LeaveTarget(EntryStep& aStep, const TargetId& aTarget, bool aTell)
{
  Entry& entry = aStep.mEntry;
  auto known = entry.mConfig.mTargets.find(aTarget);
  if (known == entry.mConfig.mTargets.end() ||
      !entry.mGoneTargets.insert({ aTarget, known->second.mStartedAt })
         .second) {
    return;
  }
  if (aTell && !known->second.mDraining) {
    ReportLeaving(aStep, known->second);
  }
}

// Ends a request whose last attempt failed for good.
void
GiveUp(EntryStep& aStep,
       CallerRequest& aRequest,
       ErrorKind aKind,
       const std::string& aMessage)
{
  if (DirectNotRun(aRequest) && !aRequest.mBegun) {
    RefuseDirect(
      aStep, aRequest, ErrorKind::eUnavailable, aMessage, Seconds(1));
    return;
  }
  CallerError error;
  // "Unavailable" would promise that nothing ran.
  error.mKind = DirectNotRun(aRequest) ? aKind : ErrorKind::eTargetFailed;
  error.mMessage = aMessage;
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace

CallerRequest*
RequestOfTargetCall(Entry& aEntry, TargetCallId aCall)
{
  auto serial = aEntry.mByTargetCall.find(aCall);
  if (serial == aEntry.mByTargetCall.end()) {
    return nullptr;
  }
  auto request = aEntry.mRequests.find(serial->second);
  return request == aEntry.mRequests.end() ? nullptr : &request->second;
}

void
CallTarget(EntryStep& aStep,
           CallerRequest& aRequest,
           const Target& aTarget,
           const PeerAddress& aSlotNode)
{
  Entry& entry = aStep.mEntry;
  DirectCall& direct = aRequest.mDirect;
  const TargetCall& call = aRequest.mTarget;
  DirectAttempt attempt;
  attempt.mTarget = aTarget.mId;
  attempt.mCall = TargetCallId(entry.mNextTargetCall++);
  attempt.mSlotNode = aSlotNode;
  attempt.mStartedAt = attempt.mLastByte = aStep.mNow;
  StartTargetCall start;
  start.mCall = attempt.mCall;
  start.mUrl = "http://" + aTarget.mAddress;
  start.mMethod = call.mMethod;
  start.mPath = call.mPath;
  start.mHeaders = call.mHeaders;
  start.mBody = call.mBody;
  // A connection of its own: nothing that a target sends beyond an answer can
  // be taken for another one.
  start.mFreshConnection = true;
  start.mContext.mRequest = aRequest.mId;
  start.mContext.mWorkspace = aRequest.mWorkspace;
  start.mContext.mExpected = aTarget.mId;
  start.mContext.mHost = direct.mHost;
  start.mContext.mTimeLeft = aRequest.mDeadline - aStep.mNow;
  start.mContext.mResumeAfter =
    direct.mEvents.mLast ? direct.mEvents.mLast : direct.mResumeAfter;
  direct.mEvents.mPending.clear();
  aRequest.mAnswer = {};
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  ++load.mOwn;
  attempt.mUnguarded = aSlotNode.Empty();
  if (attempt.mUnguarded) {
    ++load.mUnguarded;
    NoteStart(load.mUnguardedPace, aStep.mNow);
  }
  ++entry.mMetrics.mDispatches;
  entry.mMetrics.mRetries += direct.mAttempts.empty() ? 0 : 1;
  entry.mByTargetCall[attempt.mCall] = aRequest.mSerial;
  direct.mAttempts.push_back(std::move(attempt));
  direct.mCheckAt = aStep.mNow + kCheckEvery;
  aRequest.mPhase = RequestPhase::eDirect;
  LogAttempt(aStep,
             aRequest,
             LogLevel::eInfo,
             "call",
             start.mContext.mResumeAfter ? "resume" : "run");
  aStep.mOut.emplace_back(std::move(start));
  ScheduleRequest(aStep, aRequest);
}

void
CloseAttempt(EntryStep& aStep,
             CallerRequest& aRequest,
             SlotEnding aEnding,
             bool aCancel)
{
  if (aRequest.mDirect.mAttempts.empty()) {
    return;
  }
  DirectAttempt& attempt = Live(aRequest);
  if (attempt.mEnded) {
    return;
  }
  attempt.mEnded = true;
  if (aCancel) {
    aStep.mOut.emplace_back(CancelTargetCall{ attempt.mCall });
    // Nothing left before the cancellation, so nothing runs.
    attempt.mNotRun = attempt.mNotRun || !attempt.mSent;
  }
  aStep.mEntry.mByTargetCall.erase(attempt.mCall);
  auto load = aStep.mEntry.mPlacement.find(attempt.mTarget);
  if (load != aStep.mEntry.mPlacement.end()) {
    load->second.mOwn -= load->second.mOwn > 0 ? 1 : 0;
    load->second.mUnguarded -=
      attempt.mUnguarded && load->second.mUnguarded > 0 ? 1 : 0;
  }
  if (!attempt.mSlotNode.Empty()) {
    Send(aStep, attempt.mSlotNode, SlotRelease{ aRequest.mId, aEnding });
  }
}

bool
DirectNotRun(const CallerRequest& aRequest)
{
  return std::all_of(
    aRequest.mDirect.mAttempts.begin(),
    aRequest.mDirect.mAttempts.end(),
    [](const DirectAttempt& aAttempt) { return aAttempt.mNotRun; });
}

void
EndDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  EndAsks(aStep, aRequest);
  CloseAttempt(aStep, aRequest, SlotEnding::eCancelled, true);
}

void
DirectFailed(EntryStep& aStep,
             CallerRequest& aRequest,
             ErrorKind aKind,
             const std::string& aMessage,
             bool aNotRun)
{
  DirectAttempt& attempt = Live(aRequest);
  attempt.mNotRun = aNotRun;
  const bool again = MayTryMore(aStep, aRequest, aNotRun);
  LogAttempt(aStep,
             aRequest,
             LogLevel::eWarning,
             again ? "attempt_failed" : "request_failed",
             absl::StrCat(aMessage, aNotRun ? " (not run)" : ""));
  NoteResult(aStep, attempt, false);
  CloseAttempt(aStep, aRequest, SlotEnding::eFailed, true);
  if (!again) {
    GiveUp(aStep, aRequest, aKind, aMessage);
    return;
  }
  aRequest.mDirect.mTried.push_back(attempt.mTarget);
  StartDirect(aStep, aRequest);
}

void
HandleTargetSent(EntryStep& aStep, const TargetCallSent& aEvent)
{
  if (CallerRequest* request =
        RequestOfTargetCall(aStep.mEntry, aEvent.mCall)) {
    Live(*request).mSent = true;
  }
}

void
HandleTargetBegan(EntryStep& aStep, const TargetCallBegan& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  DirectAttempt& attempt = Live(*request);
  attempt.mLastByte = aStep.mNow;
  attempt.mStatus = aEvent.mStatus;
  attempt.mHeaders = aEvent.mHeaders;
  if (aEvent.mForeign ||
      (aEvent.mEchoesRequestId && aEvent.mAnsweredRequest != request->mId &&
       !aEvent.mNotRun)) {
    DirectFailed(aStep,
                 *request,
                 ErrorKind::eTargetFailed,
                 "the bytes are no answer to this request",
                 false);
    return;
  }
  if (aEvent.mWrongTarget || aEvent.mLeaving) {
    LeaveTarget(aStep, attempt.mTarget, aEvent.mLeaving);
  }
  if (aEvent.mNotRun) {
    DirectFailed(aStep,
                 *request,
                 ErrorKind::eUnavailable,
                 absl::StrCat("the target refused with ", aEvent.mStatus),
                 true);
    return;
  }
  const bool broken = aEvent.mStatus >= 500;
  if (broken && MayTryMore(aStep, *request, false)) {
    DirectFailed(aStep,
                 *request,
                 ErrorKind::eTargetFailed,
                 absl::StrCat("the target answered ", aEvent.mStatus),
                 false);
  }
}

void
HandleTargetBytes(EntryStep& aStep, const TargetCallBytes& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  DirectAttempt& attempt = Live(*request);
  if (IsStream(request->mDirect) && attempt.mStatus / 100 == 2) {
    std::string events =
      TakeWholeEvents(request->mDirect.mEvents, aEvent.mBytes);
    if (!events.empty()) {
      // Bytes that complete no event do not keep a stalled stream alive.
      attempt.mLastByte = aStep.mNow;
    }
    SendEvents(aStep, *request, std::move(events));
    if (request->mDirect.mEvents.mPending.size() > kMaxEventBytes) {
      DirectFailed(aStep,
                   *request,
                   ErrorKind::eTargetFailed,
                   "an event of the answer is larger than 1 MiB",
                   false);
    }
    return;
  }
  attempt.mLastByte = aStep.mNow;
  std::string& body = request->mAnswer.mBody;
  if (body.size() + aEvent.mBytes.size() > kMaxWholeBytes) {
    DirectFailed(aStep,
                 *request,
                 ErrorKind::eTargetFailed,
                 "the answer is larger than 8 MiB",
                 false);
    return;
  }
  body += aEvent.mBytes;
}

void
HandleTargetEnded(EntryStep& aStep, const TargetCallEnded& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  EventStream& events = request->mDirect.mEvents;
  if (request->mBegun) {
    ChunkReply(aStep, *request, std::move(events.mPending));
  } else if (IsStream(request->mDirect)) {
    request->mAnswer.mBody += events.mPending;
  }
  events.mPending.clear();
  FinishAnswer(aStep, *request);
}

void
HandleTargetFailed(EntryStep& aStep, const TargetCallFailed& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  DirectFailed(aStep,
               *request,
               ErrorKind::eTargetFailed,
               aEvent.mReason,
               aEvent.mOutcome == Outcome::eNotRun);
}

void
TickDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (aStep.mNow < direct.mCheckAt) {
    ScheduleRequest(aStep, aRequest);
    return;
  }
  if (!IsCalling(direct)) {
    TickAsks(aStep, aRequest);
    return;
  }
  const DirectAttempt& attempt = Live(aRequest);
  if (!attempt.mSent && aStep.mNow - attempt.mStartedAt >= kConnectWait) {
    DirectFailed(aStep,
                 aRequest,
                 ErrorKind::eTargetFailed,
                 "the target does not take the connection",
                 true);
    return;
  }
  if (attempt.mSent && direct.mRepeatable &&
      aStep.mNow - attempt.mLastByte >= StallBound(aRequest) &&
      MayTryMore(aStep, aRequest, false)) {
    DirectFailed(aStep,
                 aRequest,
                 ErrorKind::eTargetFailed,
                 "the target fell silent",
                 false);
    return;
  }
  direct.mCheckAt = aStep.mNow + kCheckEvery;
  ScheduleRequest(aStep, aRequest);
}

} // namespace caraway
