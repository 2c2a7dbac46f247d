// Answers of targets to direct requests.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/header_filter.h"
#include "caraway/entry/input_crashes.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/start_times.h"
#include "caraway/entry/target_reports.h"

namespace caraway {

namespace {

constexpr size_t kMaxAnswerBytes = 8 << 20; // of an answer that is not streamed
// Limit of one event. Engines send a few hundred bytes; a faulty target may
// send an event that never ends.
constexpr size_t kMaxEventBytes = 1 << 20;

void
SendEvents(EntryStep& aStep, CallerRequest& aRequest, std::string aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (!aRequest.mReplyBegun) {
    const DirectAttempt& attempt = LiveAttempt(aRequest);
    aRequest.mDirect.mReplyStatus = attempt.mStatus;
    aRequest.mDirect.mReplyEndsByClose = attempt.mEndsByClose;
    BeginReply(aStep,
               aRequest,
               attempt.mStatus,
               HeadersForCaller(attempt.mHeaders),
               attempt.mEndsByClose);
  }
  SendReplyChunk(aStep, aRequest, std::move(aBytes));
}

// Records the input as answered once the stream has gone on for long enough.
void
RecordStreamProgress(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectAttempt& attempt = LiveAttempt(aRequest);
  attempt.mAnsweredSince = std::min(attempt.mAnsweredSince, aStep.mNow);
  if (!attempt.mAnswered &&
      aStep.mNow - attempt.mAnsweredSince >= kAnswerSettles) {
    attempt.mAnswered = true;
    RecordAnsweredInput(aStep, aRequest);
  }
}

void
RecordStatedPace(EntryStep& aStep,
                 DirectAttempt& aAttempt,
                 const TargetCallBegan& aEvent)
{
  aStep.mEntry.mMetrics.mUnreadableLoads += aEvent.mLoadUnreadable ? 1 : 0;
  auto load = aStep.mEntry.mPlacement.find(aAttempt.mTarget);
  if (!aEvent.mLoad || !aEvent.mLoad->mPace ||
      load == aStep.mEntry.mPlacement.end()) {
    return;
  }
  aAttempt.mStatedPace = *aEvent.mLoad->mPace;
  load->second.mStatedPace = aAttempt.mStatedPace;
  load->second.mStatedPaceAt = aStep.mNow;
}

// The time of an answer against the usual time of its route's answers: per
// event of a stream, since their number differs. 0: not measured, since the
// target states no pace or several targets brought the answer.
double
MeasurePace(EntryStep& aStep, const CallerRequest& aRequest)
{
  constexpr uint64_t kLeastEvents = 8;
  const DirectCall& direct = aRequest.mDirect;
  const DirectAttempt& attempt = direct.mAttempts.back();
  if (attempt.mStatedPace <= 0 || attempt.mStatus / 100 != 2 ||
      direct.mAttempts.size() > 1) {
    return 0;
  }
  double seconds = (aStep.mNow - attempt.mStartedAt).Seconds();
  if (IsStream(direct)) {
    if (direct.mEvents.mEvents < kLeastEvents) {
      return 0;
    }
    seconds = (attempt.mLastByte - attempt.mAnsweredSince).Seconds() /
              static_cast<double>(direct.mEvents.mEvents - 1);
  }
  return RecordAgainstUsual(aStep.mEntry.mUsualPaces[direct.mRoute], seconds);
}

// True if the answers that are collected take more than their share of memory,
// and this one more than most do.
bool
ExceedsCollected(const Entry& aEntry, const std::string& aBody)
{
  constexpr size_t kLargeAnswer = 64 << 10;
  if (aBody.size() <= kLargeAnswer) {
    return false;
  }
  size_t collected = 0;
  for (const auto& [serial, request] : aEntry.mRequests) {
    collected += request.mAnswer.mBody.size();
  }
  return collected > aEntry.mSettings.mMaxCollectedBytes;
}

// Stops sending requests to this start of the target. If aReport, control is
// told that it leaves, so that other entries stop as well.
void
StopUsingTarget(EntryStep& aStep, const TargetId& aTarget, bool aReport)
{
  Entry& entry = aStep.mEntry;
  auto known = entry.mConfig.mTargets.find(aTarget);
  if (known == entry.mConfig.mTargets.end() ||
      !entry.mGoneTargets.insert({ aTarget, known->second.mStartedAt })
         .second) {
    return;
  }
  if (aReport && !known->second.mDraining) {
    ReportLeaving(aStep, known->second);
  }
}

} // namespace

void
FinishAnswer(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectAttempt& attempt = LiveAttempt(aRequest);
  LogAttempt(aStep,
             aRequest,
             LogLevel::eInfo,
             "answer",
             attempt.mEndsByClose ? "ended with its connection" : "whole");
  if (attempt.mStatus / 100 == 2) {
    RecordTime(aStep.mEntry.mAnswerTimes[aRequest.mDirect.mRoute],
               aStep.mNow - attempt.mStartedAt);
  }
  if (attempt.mStatus / 100 == 2 && !attempt.mAnswered) {
    attempt.mAnswered = true;
    RecordAnsweredInput(aStep, aRequest);
  }
  NoteResult(aStep, attempt, attempt.mStatus < 500);
  attempt.mPace = MeasurePace(aStep, aRequest);
  auto load = aStep.mEntry.mPlacement.find(attempt.mTarget);
  if (attempt.mPace > 0 && load != aStep.mEntry.mPlacement.end()) {
    RecordPace(load->second.mOwnPace, attempt.mPace);
  }
  RecordRolloutAnswer(aStep, aRequest, attempt, attempt.mStatus < 500);
  CloseAttempt(aStep,
               aRequest,
               attempt.mStatus < 500 ? SlotEnding::eServed
                                     : SlotEnding::eFailed,
               false);
  if (aRequest.mReplyBegun) {
    EndReply(aStep, aRequest);
    return;
  }
  ReplyInFull(aStep,
              aRequest,
              attempt.mStatus,
              HeadersForCaller(attempt.mHeaders),
              std::move(aRequest.mAnswer.mBody),
              attempt.mEndsByClose);
}

void
HandleBrokenAnswer(EntryStep& aStep,
                   CallerRequest& aRequest,
                   const std::string& aReason,
                   Outcome aOutcome)
{
  DirectAttempt& attempt = LiveAttempt(aRequest);
  if (aOutcome != Outcome::eNotRun && !attempt.mAnswered) {
    attempt.mBrokeUnanswered = true;
    RecordBrokenCall(aStep, aRequest, attempt);
  }
  DirectAttemptFailed(aStep,
                      aRequest,
                      ErrorKind::eTargetFailed,
                      aReason,
                      aOutcome == Outcome::eNotRun);
}

void
HandleTargetSent(EntryStep& aStep, const TargetCallSent& aEvent)
{
  if (CallerRequest* request =
        RequestOfTargetCall(aStep.mEntry, aEvent.mCall)) {
    LiveAttempt(*request).mSent = true;
    aStep.mEntry.mMetrics.mReusedConnections +=
      aEvent.mReusedConnection ? 1 : 0;
  }
}

void
HandleTargetBegan(EntryStep& aStep, const TargetCallBegan& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  DirectAttempt& attempt = LiveAttempt(*request);
  attempt.mLastByte = aStep.mNow;
  attempt.mStatus = aEvent.mStatus;
  attempt.mHeaders = aEvent.mHeaders;
  attempt.mEndsByClose = aEvent.mEndsByClose;
  if (AnswersAnother(aEvent, request->mId)) {
    DirectAttemptFailed(aStep,
                        *request,
                        ErrorKind::eTargetFailed,
                        "the response does not belong to this request",
                        false);
    return;
  }
  RecordAnswerRate(aStep, attempt.mTarget, attempt.mTargetStart, aEvent);
  RecordStatedPace(aStep, attempt, aEvent);
  if (aEvent.mWrongTarget || aEvent.mLeaving) {
    StopUsingTarget(aStep, attempt.mTarget, aEvent.mLeaving);
  }
  if (aEvent.mNotRun) {
    DirectAttemptFailed(
      aStep,
      *request,
      ErrorKind::eUnavailable,
      absl::StrCat("the target refused the request with status ",
                   aEvent.mStatus),
      true);
    return;
  }
  // Nothing of such an answer, its end least of all, belongs to the stream that
  // the caller is receiving.
  if (request->mReplyBegun && aEvent.mStatus != request->mDirect.mReplyStatus) {
    DirectAttemptFailed(
      aStep,
      *request,
      ErrorKind::eTargetFailed,
      absl::StrCat("the target answered the resumed stream with status ",
                   aEvent.mStatus),
      false);
    return;
  }
  const bool broken = aEvent.mStatus >= 500;
  if (broken && MayRetryDirect(aStep, *request, false)) {
    DirectAttemptFailed(
      aStep,
      *request,
      ErrorKind::eTargetFailed,
      absl::StrCat("the target answered with status ", aEvent.mStatus),
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
  DirectAttempt& attempt = LiveAttempt(*request);
  if (IsStream(request->mDirect) && attempt.mStatus / 100 == 2) {
    const uint64_t before = request->mDirect.mEvents.mEvents;
    std::string events =
      TakeWholeEvents(request->mDirect.mEvents, aEvent.mBytes);
    // Bytes that complete no event do not reset the stall timeout.
    if (request->mDirect.mEvents.mEvents > before) {
      attempt.mLastByte = aStep.mNow;
      RecordStreamProgress(aStep, *request);
      RecordStreamEvent(aStep, *request);
    }
    // Comments before the first event wait for it, so that a call that brings
    // nothing else can be retried.
    std::string& comments = request->mAnswer.mBody;
    comments += events;
    if (request->mReplyBegun || request->mDirect.mEvents.mEvents > before) {
      SendEvents(aStep, *request, std::exchange(comments, {}));
    }
    if (request->mDirect.mEvents.mPending.size() + comments.size() >
        kMaxEventBytes) {
      DirectAttemptFailed(aStep,
                          *request,
                          ErrorKind::eTargetFailed,
                          "an event of the answer is larger than 1 MiB",
                          false);
    }
    return;
  }
  attempt.mLastByte = aStep.mNow;
  std::string& body = request->mAnswer.mBody;
  if (request->mReplyBegun) {
    SendReplyChunk(aStep, *request, aEvent.mBytes);
    return;
  }
  if (body.size() + aEvent.mBytes.size() > kMaxAnswerBytes) {
    DirectAttemptFailed(aStep,
                        *request,
                        ErrorKind::eTargetFailed,
                        "the answer is larger than 8 MiB",
                        false);
    return;
  }
  body += aEvent.mBytes;
  if (ExceedsCollected(aStep.mEntry, body)) {
    ++aStep.mEntry.mMetrics.mAnswersPassedOn;
    SendEvents(aStep, *request, std::exchange(body, {}));
  }
}

void
HandleTargetFailed(EntryStep& aStep, const TargetCallFailed& aEvent)
{
  CallerRequest* request = RequestOfTargetCall(aStep.mEntry, aEvent.mCall);
  if (request == nullptr) {
    return;
  }
  HandleBrokenAnswer(aStep, *request, aEvent.mReason, aEvent.mOutcome);
}

} // namespace caraway
