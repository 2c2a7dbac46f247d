// Calls of direct requests to targets: start, retries and timeouts.

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/session.h"
#include "caraway/entry/start_times.h"
#include "caraway/routing/connection_pool.h"

namespace caraway {

namespace {

// Calls per request, including those that did not run.
constexpr size_t kMaxDirectAttempts = 8;
// A connection within a region is established within a few milliseconds. A
// request that is still unsent then has not run and is retried elsewhere.
constexpr Duration kConnectTimeout = Millis(250);
constexpr Duration kMinStallTimeout = Millis(400);
constexpr Duration kMaxStallTimeout = Millis(1500);
// Stall timeout until the first event, in latency goals.
constexpr int64_t kStallLatencyGoals = 2;
// Stall timeout between events, in gap goals.
constexpr int64_t kStallGapGoals = 4;
// A request whose calls break before an answer may be what ends its targets, so
// it is not sent on to a third.
constexpr uint32_t kMaxUnansweredBreaks = 2;
constexpr Duration kCheckInterval = Millis(100);
// Time left to the deadline below which no retry is started.
constexpr Duration kMinTimeForRetry = Millis(20);

uint32_t
CountPossibleRuns(const DirectCall& aDirect)
{
  return static_cast<uint32_t>(
    std::count_if(aDirect.mAttempts.begin(),
                  aDirect.mAttempts.end(),
                  [](const DirectAttempt& aOne) { return !aOne.mNotRun; }));
}

uint32_t
CountUnansweredBreaks(const DirectCall& aDirect)
{
  return static_cast<uint32_t>(std::count_if(
    aDirect.mAttempts.begin(),
    aDirect.mAttempts.end(),
    [](const DirectAttempt& aOne) { return aOne.mBrokeUnanswered; }));
}

// A call that may not run again gets a connection of its own: bytes that a
// target sends after an answer cannot be mistaken for the answer to it, and it
// cannot meet the end of an idle connection.
void
ChooseConnection(const Entry& aEntry,
                 const DirectCall& aDirect,
                 const Target& aTarget,
                 StartTargetCall& aStart)
{
  const auto& plan = aEntry.mConfig.mPlan;
  const PlanService* service =
    plan ? PlanServiceById(*plan, aTarget.mService) : nullptr;
  const bool reuse = aEntry.mSettings.mReuseConnections && service != nullptr;
  aStart.mIdleLimit = reuse ? IdleLimit(service->mMaxConnections,
                                        aTarget.mSlots,
                                        EntriesKnown(aEntry))
                            : 0;
  aStart.mFreshConnection =
    aStart.mIdleLimit == 0 || !MayUseIdle(aDirect.mRepeatable,
                                          CountPossibleRuns(aDirect),
                                          aDirect.mMaxAttempts);
}

// Returns the time without progress after which a repeatable request is retried
// elsewhere.
Duration
StallTimeout(const Entry& aEntry, const CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  const bool begun = direct.mEvents.mEvents > 0;
  const Duration usual = begun ? direct.mGapGoal * kStallGapGoals
                               : direct.mLatencyGoal * kStallLatencyGoals;
  const Duration timeout =
    std::clamp(usual, kMinStallTimeout, kMaxStallTimeout);
  if (IsStream(direct)) {
    return timeout;
  }
  // A plain answer shows no progress before its end. Where answers usually take
  // longer, a second call would only double the work.
  return std::max(timeout, UsualAnswerTime(aEntry, direct, timeout));
}

// Fails a request that cannot be retried any more.
void
FailDirectRequest(EntryStep& aStep,
                  CallerRequest& aRequest,
                  ErrorKind aKind,
                  const std::string& aMessage)
{
  if (DirectProvenNotRun(aRequest) && !aRequest.mReplyBegun) {
    RefuseDirect(
      aStep, aRequest, ErrorKind::eUnavailable, aMessage, Seconds(1));
    return;
  }
  CallerError error;
  // eUnavailable would imply that nothing ran.
  error.mKind = DirectProvenNotRun(aRequest) ? aKind : ErrorKind::eTargetFailed;
  error.mMessage = aMessage;
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace

bool
MayRetryDirect(const EntryStep& aStep,
               const CallerRequest& aRequest,
               bool aNotRun)
{
  const DirectCall& direct = aRequest.mDirect;
  if (aRequest.mCallerGone || direct.mAttempts.size() >= kMaxDirectAttempts ||
      aRequest.mDeadline - aStep.mNow < kMinTimeForRetry ||
      StopsBeforeAnswer(aStep, aRequest, Duration{})) {
    return false;
  }
  if (!DirectProvenNotRun(aRequest) && !direct.mRepeatable) {
    return false;
  }
  if (CountUnansweredBreaks(direct) >= kMaxUnansweredBreaks) {
    return false;
  }
  // A stream can be resumed only after an event whose id is known.
  if (aRequest.mReplyBegun && !direct.mEvents.mLast) {
    return false;
  }
  return aNotRun || CountPossibleRuns(direct) < direct.mMaxAttempts;
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
  if (attempt.mStatus != 0) {
    log.mExtra.push_back(
      { "ends_by", attempt.mEndsByClose ? "close" : "framing" });
  }
  if (aLevel == LogLevel::eWarning) {
    log.mExtra.push_back({ "answered", attempt.mAnswered ? "true" : "false" });
    log.mExtra.push_back({ "parts", FormatParts(aRequest.mInputParts) });
  }
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
    RecordPlacementSuccess(load->second);
  } else {
    RecordPlacementFailure(load->second, aStep.mNow);
  }
}

Duration
UsualAnswerTime(const Entry& aEntry,
                const DirectCall& aDirect,
                Duration aUnknown)
{
  const auto times = aEntry.mAnswerTimes.find(aDirect.mRoute);
  return times == aEntry.mAnswerTimes.end() ? aUnknown
                                            : UsuallyWithin(times->second);
}

void
ForgetAnswerTimes(Entry& aEntry)
{
  if (aEntry.mConfig.mPlan == nullptr) {
    return;
  }
  std::set<RouteId> routes;
  for (const PlanRoute& route : aEntry.mConfig.mPlan->mRoutes) {
    routes.insert(route.mId);
  }
  const auto isGone = [&](const auto& aOne) {
    return !routes.contains(aOne.first);
  };
  std::erase_if(aEntry.mAnswerTimes, isGone);
  std::erase_if(aEntry.mUsualPaces, isGone);
}

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
  attempt.mTargetStart = aTarget.mStartedAt;
  attempt.mTargetAddress = aTarget.mAddress;
  attempt.mTargetVersion = aTarget.mVersion;
  StartTargetCall start;
  start.mCall = attempt.mCall;
  start.mUrl = "http://" + aTarget.mAddress;
  start.mMethod = call.mMethod;
  start.mPath = call.mPath;
  start.mHeaders = call.mHeaders;
  start.mBody = call.mBody;
  ChooseConnection(entry, direct, aTarget, start);
  start.mContext.mRequest = aRequest.mId;
  start.mContext.mWorkspace = aRequest.mWorkspace;
  start.mContext.mExpected = aTarget.mId;
  start.mContext.mHost = direct.mHost;
  start.mContext.mTimeLeft = aRequest.mDeadline - aStep.mNow;
  start.mContext.mResumeAfter =
    direct.mEvents.mLast ? direct.mEvents.mLast : direct.mResumeAfter;
  direct.mEvents.mPending.clear();
  aRequest.mAnswer = {};
  RecordRolloutCall(aStep, aTarget);
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  ++load.mOwn;
  attempt.mUnguarded = aSlotNode.Empty();
  if (attempt.mUnguarded) {
    ++load.mUnguarded;
    RecordCallStart(load.mUnguardedPace, aStep.mNow);
  }
  ++entry.mMetrics.mDispatches;
  entry.mMetrics.mRetries += direct.mAttempts.empty() ? 0 : 1;
  entry.mByTargetCall[attempt.mCall] = aRequest.mSerial;
  direct.mAttempts.push_back(std::move(attempt));
  direct.mCheckAt = aStep.mNow + kCheckInterval;
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
  DirectAttempt& attempt = LiveAttempt(aRequest);
  if (attempt.mEnded) {
    return;
  }
  attempt.mEnded = true;
  if (aCancel) {
    aStep.mOut.emplace_back(CancelTargetCall{ attempt.mCall });
    // Nothing was sent before the cancellation, so nothing runs.
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
    Send(aStep,
         attempt.mSlotNode,
         SlotRelease{ aRequest.mId, aEnding, attempt.mPace });
  }
}

bool
DirectProvenNotRun(const CallerRequest& aRequest)
{
  return std::all_of(
    aRequest.mDirect.mAttempts.begin(),
    aRequest.mDirect.mAttempts.end(),
    [](const DirectAttempt& aAttempt) { return aAttempt.mNotRun; });
}

void
EndDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  CancelSlotRequests(aStep, aRequest);
  CloseAttempt(aStep, aRequest, SlotEnding::eCancelled, true);
}

void
DirectAttemptFailed(EntryStep& aStep,
                    CallerRequest& aRequest,
                    ErrorKind aKind,
                    const std::string& aMessage,
                    bool aNotRun)
{
  DirectAttempt& attempt = LiveAttempt(aRequest);
  attempt.mNotRun = aNotRun;
  const bool willRetry = MayRetryDirect(aStep, aRequest, aNotRun);
  LogAttempt(aStep,
             aRequest,
             LogLevel::eWarning,
             willRetry ? "attempt_failed" : "request_failed",
             absl::StrCat(aMessage, aNotRun ? " (not run)" : ""));
  NoteResult(aStep, attempt, false);
  if (!aNotRun) {
    RecordRolloutAnswer(aStep, aRequest, attempt, false);
  }
  CloseAttempt(aStep, aRequest, SlotEnding::eFailed, true);
  if (!willRetry) {
    FailDirectRequest(aStep, aRequest, aKind, aMessage);
    return;
  }
  aRequest.mDirect.mTried.push_back(attempt.mTarget);
  StartDirect(aStep, aRequest);
}

void
TickDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (aStep.mNow < direct.mCheckAt) {
    ScheduleRequest(aStep, aRequest);
    return;
  }
  if (NeedsOrigin(aRequest)) {
    TickOriginSearch(aStep, aRequest);
    return;
  }
  if (!IsCalling(direct)) {
    TickSlotRequests(aStep, aRequest);
    return;
  }
  const DirectAttempt& attempt = LiveAttempt(aRequest);
  if (!attempt.mSent && aStep.mNow - attempt.mStartedAt >= kConnectTimeout) {
    DirectAttemptFailed(aStep,
                        aRequest,
                        ErrorKind::eTargetFailed,
                        "the target did not accept the connection in time",
                        true);
    return;
  }
  if (attempt.mSent && direct.mRepeatable && !attempt.mEndCheck &&
      aStep.mNow - attempt.mLastByte >= StallTimeout(aStep.mEntry, aRequest) &&
      MayRetryDirect(aStep, aRequest, false)) {
    DirectAttemptFailed(aStep,
                        aRequest,
                        ErrorKind::eTargetFailed,
                        "the target made no progress within the stall timeout",
                        false);
    return;
  }
  direct.mCheckAt = aStep.mNow + kCheckInterval;
  ScheduleRequest(aStep, aRequest);
}

} // namespace caraway
