// Batch work: running items at the target.

#include <algorithm>

#include "caraway/node/batch_line.h"
#include "caraway/node/node_internal.h"
#include "caraway/node/target_json.h"

namespace caraway {

namespace {

constexpr size_t kMaxAnswer = 700 * 1024; // bytes; must fit into one message
constexpr size_t kMaxErrorText = 1024;    // bytes of an error answer kept
// Limit of the bytes of a raw item's call that complete no event. An event has
// a few hundred bytes, an error body a few kilobytes.
constexpr size_t kMaxBytesSinceEvent = 256 * 1024;
constexpr double kSmoothing = 0.1; // weight of a new sample
// Timeout of a raw item without a complete event. Events arrive every few tens
// of milliseconds, and within seconds even from a slow target.
constexpr Duration kRawItemTimeout = Seconds(4);
// Calls in a row without an event after which a text is taken as whole although
// no call has stated its end.
constexpr uint32_t kEmptyEndsOfWholeText = 3;

void
ClearProgress(BatchTask& aTask)
{
  aTask.mText.clear();
  aTask.mTokens = 0;
  aTask.mAnswerId.clear();
}

std::string
ItemRequestId(const BatchTask& aTask)
{
  return aTask.mLease.mJob.mValue + "/" + std::to_string(aTask.mIndex);
}

bool
IsRetryable(int aStatus)
{
  return aStatus == 0 || aStatus >= 500 || aStatus == 408 || aStatus == 409 ||
         aStatus == 429;
}

Ending
EndingOf(int aStatus)
{
  if (aStatus == 503) {
    return Ending::eBusy;
  }
  if (aStatus >= 500) {
    return Ending::eServerError;
  }
  return aStatus >= 400 ? Ending::eClientError : Ending::eGood;
}

// Removes the task and queues its result.
void
EndTask(Node& aNode,
        MonoTime aNow,
        WorkId aWork,
        ItemVerdict aVerdict,
        std::string aBody)
{
  auto found = aNode.mBatch.mTasks.find(aWork);
  ++(aVerdict == ItemVerdict::eDone ? aNode.mCounters.mItemsDone
                                    : aNode.mCounters.mItemsFailed);
  AddResult(aNode, aNow, found->second, aVerdict, std::move(aBody));
  aNode.mBatch.mTasks.erase(found);
}

// Updates the moving averages of the time per item and per stated token.
void
UpdateItemTimeEstimate(Node& aNode, MonoTime aNow, WorkId aWork)
{
  auto running = aNode.mScheduler.mRunning.find(aWork);
  if (running == aNode.mScheduler.mRunning.end()) {
    return;
  }
  const double seconds =
    std::max(1e-3, (aNow - running->second.mStarted).Seconds());
  const BatchTask& task = aNode.mBatch.mTasks.at(aWork);
  if (task.mStatedTokens > 0) {
    const Work& work = running->second.mWork;
    const double whole = seconds + work.mRan.Seconds();
    double& perToken = aNode.mBatch.mTokenSeconds;
    const double sample = whole / task.mStatedTokens;
    perToken =
      perToken == 0 ? sample : perToken + kSmoothing * (sample - perToken);
  }
  double& usual = aNode.mBatch.mItemSeconds;
  usual = usual == 0 ? seconds : usual + kSmoothing * (seconds - usual);
}

std::string
ErrorText(const BatchTask& aTask)
{
  return aTask.mAnswer.substr(0, kMaxErrorText);
}

// What wrote a text: only the same service and software version continue it.
std::string
TextOrigin(const Node& aNode, const BatchTask& aTask)
{
  return aTask.mLease.mModel.mValue + "/" + aNode.mRecord.mVersion;
}

// Starts a raw item. It continues after the last event received, unless another
// service or software version wrote that, or the event had no id.
void
StartRawTask(Node& aNode, MonoTime aNow, BatchTask& aTask, NodeActions& aOut)
{
  if (const std::string origin = TextOrigin(aNode, aTask);
      !aTask.mEvents.mLast || aTask.mVersion != origin) {
    aTask.mEvents = {};
    aTask.mText.clear();
    aTask.mHasData = false;
    aTask.mVersion = origin;
  }
  aTask.mStatus = 0;
  aTask.mEventStream = false;
  aTask.mNotRun = aTask.mForeign = false;
  aTask.mAnswer.clear();
  aTask.mEvents.mPending.clear();
  aTask.mBytesSinceEvent = 0;
  StartTargetCall call;
  call.mMethod = "POST";
  call.mPath = aTask.mPath;
  call.mHeaders = aTask.mHeaders;
  call.mBody = aTask.mBody;
  call.mFreshConnection = true;
  call.mIdleLimit = 0; // no call would use it
  call.mTimeout = kRawItemTimeout;
  call.mContext.mRequest = RequestId(aTask.mCustomId);
  call.mContext.mWorkspace = aTask.mLease.mWorkspace;
  call.mContext.mExpected = aNode.mTarget.mAnnounced.mInfo.mId;
  call.mContext.mHost = aTask.mLease.mEndpoint;
  call.mContext.mResumeAfter = aTask.mEvents.mLast;
  TargetCallInfo info;
  info.mUse = TargetUse::eBatch;
  info.mWork = aTask.mWork;
  aTask.mLastByte = aNow;
  aTask.mTargetCall = CallTarget(aNode, aNow, info, std::move(call), aOut);
  ++aNode.mCounters.mStarted;
}

void
LogItem(const Node& aNode,
        const BatchTask& aTask,
        const char* aChoice,
        std::string_view aReason,
        NodeActions& aOut)
{
  DecisionLog log;
  log.mEvent = "item";
  log.mRequest = RequestId(aTask.mCustomId);
  log.mWorkspace = aTask.mLease.mWorkspace;
  log.mChoice = aChoice;
  log.mReason = std::string(aReason);
  log.mExtra = { { "job", aTask.mLease.mJob.mValue },
                 { "lease", std::to_string(aTask.mLease.mToken.mValue) },
                 { "status", std::to_string(aTask.mStatus) },
                 { "events", std::to_string(aTask.mEvents.mEvents) },
                 { "online", std::to_string(aNode.mScheduler.mRunningOnline) },
                 { "batch", std::to_string(BatchCalls(aNode)) },
                 { "answered", aTask.mAnswered ? "true" : "false" },
                 { "ends_by", aTask.mEndsByClose ? "close" : "framing" },
                 { "parts", FormatParts(aTask.mInputParts) } };
  aOut.emplace_back(std::move(log));
}

// Returns an item to the ledger with its progress, so that another node can
// resume it.
void
ReturnTask(Node& aNode, MonoTime aNow, WorkId aWork)
{
  auto found = aNode.mBatch.mTasks.find(aWork);
  ++aNode.mCounters.mItemsReturned;
  AddResult(aNode, aNow, found->second, ItemVerdict::eReturned, {});
  aNode.mBatch.mTasks.erase(found);
}

// Handles the end of the target's answer to a raw item. Only a failure of the
// target itself (500) counts as an attempt, and only 422 marks the item as
// impossible. Everything else returns the item.
void
FinishRawTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  constexpr int kImpossible = 422;
  BatchTask& task = aNode.mBatch.mTasks.at(aWork);
  LogItem(aNode,
          task,
          "answered",
          task.mNotRun    ? "not run"
          : task.mForeign ? "not an answer to this request"
                          : "whole",
          aOut);
  const bool ran = !task.mNotRun && !task.mForeign;
  if (ran && task.mStatus / 100 == 2) {
    EndTask(aNode, aNow, aWork, ItemVerdict::eDone, RawOutputLine(task));
  } else if (ran && task.mStatus == kImpossible) {
    EndTask(
      aNode,
      aNow,
      aWork,
      ItemVerdict::ePermanent,
      ErrorLine(task, "impossible", "the target cannot process this item"));
  } else if (ran && task.mStatus == 500) {
    EndTask(aNode,
            aNow,
            aWork,
            ItemVerdict::eRetryable,
            ErrorLine(task, "target_failed", "the target answered 500"));
  } else {
    ReturnTask(aNode, aNow, aWork);
  }
}

// Lets the item wait for another call. Does not count as an attempt.
void
CallTaskAgain(Node& aNode, MonoTime aNow, BatchTask& aTask, const Work& aWork)
{
  aTask.mTargetCall = {};
  aTask.mWaitingSince = aNow;
  AddBatch(aNode.mScheduler, aWork);
}

// Records that a call ended with its connection. Returns true if the text of a
// raw item may go on after it, which a call that continues it can tell. That
// call may be broken off before its first event, too, so one that brings
// nothing is not enough.
bool
MayGoOn(BatchTask& aTask)
{
  if (!aTask.mRaw || aTask.mStatus / 100 != 2 || aTask.mNotRun ||
      aTask.mForeign || !aTask.mEvents.mLast) {
    return false;
  }
  aTask.mEmptyEnds = aTask.mAnsweredSince == kNever ? aTask.mEmptyEnds + 1 : 0;
  return aTask.mEmptyEnds < kEmptyEndsOfWholeText;
}

} // namespace

const char*
IncompleteItemReason(const BatchTask& aTask, bool aByClose)
{
  if (!aTask.mRaw || aTask.mNotRun || aTask.mForeign ||
      aTask.mStatus / 100 != 2) {
    return nullptr;
  }
  if (HasPartialEvent(aTask.mEvents)) {
    return "the stream ended inside an event";
  }
  return aByClose && !aTask.mEvents.mLast && aTask.mAnsweredSince == kNever
           ? "the connection closed before the first event"
           : nullptr;
}

void
StartBatchTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  BatchTask& task = aNode.mBatch.mTasks.at(aWork);
  task.mAnsweredSince = kNever;
  task.mAnswered = false;
  if (task.mRaw) {
    StartRawTask(aNode, aNow, task, aOut);
    return;
  }
  const bool resume =
    task.mTokens > 0 && aNode.mTarget.mAnnounced.mInfo.mCanResume;
  if (!resume) {
    ClearProgress(task);
  }
  task.mStatus = 0;
  task.mEventStream = task.mStreamDone = task.mStreamError = false;
  task.mAnswer.clear();
  task.mPending.clear();
  task.mUsage.clear();
  task.mFinishReason.clear();
  StartTargetCall call;
  call.mMethod = "POST";
  call.mPath = task.mPath;
  call.mHeaders = { { "Content-Type", "application/json" },
                    { "X-Request-Id", ItemRequestId(task) } };
  if (resume) {
    call.mHeaders.emplace_back("X-Resume-Tokens", std::to_string(task.mTokens));
  }
  call.mBody = RequestBody(task, resume);
  TargetCallInfo info;
  info.mUse = TargetUse::eBatch;
  info.mWork = aWork;
  task.mLastByte = aNow;
  task.mTargetCall = CallTarget(aNode, aNow, info, std::move(call), aOut);
  ++aNode.mCounters.mStarted;
}

void
PreemptTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  BatchTask& task = aNode.mBatch.mTasks.at(aWork);
  CloseTargetCall(aNode, task.mTargetCall, aOut);
  task.mTargetCall = {};
  task.mWaitingSince = aNow;
  task.mPreempted = true;
  ++aNode.mCounters.mPreempted;
  if (aNode.mTarget.mAnnounced.mCanCancel) {
    StartTargetCall call;
    call.mMethod = "POST";
    call.mPath = "/cancel";
    call.mHeaders = { { "Content-Type", "application/json" } };
    call.mBody = CancelBody(RequestId(ItemRequestId(task)));
    call.mTimeout = Seconds(5);
    TargetCallInfo info;
    info.mUse = TargetUse::eCancel;
    CallTarget(aNode, aNow, info, std::move(call), aOut);
  }
}

BatchProgress
ConsumeBatchBytes(Node& aNode,
                  MonoTime aNow,
                  BatchTask& aTask,
                  std::string_view aBytes,
                  NodeActions& aOut)
{
  aTask.mLastByte = aNow;
  if (aTask.mRaw) {
    std::string events;
    const uint64_t before = aTask.mEvents.mEvents;
    if (aTask.mStatus / 100 == 2) {
      events = TakeWholeEvents(aTask.mEvents, aBytes);
    }
    const bool progress = aTask.mEvents.mEvents > before;
    aTask.mBytesSinceEvent =
      progress ? 0 : aTask.mBytesSinceEvent + aBytes.size();
    if (aTask.mBytesSinceEvent > kMaxBytesSinceEvent ||
        aTask.mText.size() + events.size() > kMaxRawText) {
      return BatchProgress::eLimitExceeded;
    }
    if (!progress) {
      return BatchProgress::eNone;
    }
    aTask.mHasData = AppendEventData(events, aTask.mHasData, aTask.mText);
  } else if (aTask.mEventStream) {
    if (ParseStreamBytes(aTask, aBytes) == 0) {
      return BatchProgress::eNone;
    }
  } else if (aTask.mAnswer.size() <= kMaxAnswer) {
    aTask.mAnswer.append(aBytes);
  }
  aTask.mAnsweredSince = std::min(aTask.mAnsweredSince, aNow);
  if (aNow - aTask.mAnsweredSince >= kAnswerSettles) {
    RecordAnsweredItem(aNode, aNow, aTask, aOut);
  }
  LogLimit(aNode,
           RecordToken(aNode.mScheduler, aNow, aTask.mWork),
           "latency goal missed",
           aOut);
  return BatchProgress::eProgress;
}

void
FinishTask(Node& aNode,
           MonoTime aNow,
           WorkId aWork,
           bool aByClose,
           NodeActions& aOut)
{
  auto found = aNode.mBatch.mTasks.find(aWork);
  if (found == aNode.mBatch.mTasks.end()) {
    return;
  }
  BatchTask& task = found->second;
  if (const char* reason = IncompleteItemReason(task, aByClose)) {
    FailTask(aNode, aNow, aWork, Outcome::eUnknown, reason, aOut);
    return;
  }
  auto running = aNode.mScheduler.mRunning.find(aWork);
  if (aByClose && MayGoOn(task) && running != aNode.mScheduler.mRunning.end()) {
    const Work work = running->second.mWork;
    LogItem(aNode, task, "continued", "its end cannot be verified", aOut);
    LogLimit(aNode,
             RecordCallEnd(aNode.mScheduler, aNow, aWork, Ending::eGood, 0),
             "item continued",
             aOut);
    CallTaskAgain(aNode, aNow, task, work);
    return;
  }
  if (task.mStatus / 100 == 2) {
    RecordAnsweredItem(aNode, aNow, task, aOut);
  }
  const bool truncated =
    task.mEventStream ? !task.mStreamDone || task.mStreamError
                      : aByClose && !task.mRaw && task.mStatus / 100 == 2 &&
                          !IsWholeJson(task.mAnswer);
  if (!truncated && !task.mNotRun) {
    UpdateItemTimeEstimate(aNode, aNow, aWork);
  }
  LogLimit(
    aNode,
    RecordCallEnd(aNode.mScheduler, aNow, aWork, EndingOf(task.mStatus), 0),
    "item ended",
    aOut);
  if (task.mRaw) {
    FinishRawTask(aNode, aNow, aWork, aOut);
    return;
  }
  if (IsRetryable(task.mStatus) || truncated) {
    EndTask(aNode,
            aNow,
            aWork,
            ItemVerdict::eRetryable,
            ErrorLine(task, "target_failed", ErrorText(task)));
    return;
  }
  if (task.mStatus >= 400) {
    EndTask(
      aNode,
      aNow,
      aWork,
      ItemVerdict::ePermanent,
      ErrorLine(task, "http_" + std::to_string(task.mStatus), ErrorText(task)));
    return;
  }
  const std::string answer =
    task.mEventStream ? StreamedAnswer(task) : std::move(task.mAnswer);
  if (answer.size() > kMaxAnswer) {
    EndTask(aNode,
            aNow,
            aWork,
            ItemVerdict::ePermanent,
            ErrorLine(task,
                      "too_large",
                      "the answer exceeds 700 KiB; ask for less output"));
    return;
  }
  EndTask(aNode, aNow, aWork, ItemVerdict::eDone, OutputLine(task, answer));
}

void
FailTask(Node& aNode,
         MonoTime aNow,
         WorkId aWork,
         Outcome aOutcome,
         std::string_view aReason,
         NodeActions& aOut)
{
  auto found = aNode.mBatch.mTasks.find(aWork);
  if (found == aNode.mBatch.mTasks.end()) {
    return;
  }
  BatchTask& task = found->second;
  auto running = aNode.mScheduler.mRunning.find(aWork);
  const bool again =
    aOutcome == Outcome::eNotRun && running != aNode.mScheduler.mRunning.end();
  const Work work =
    running == aNode.mScheduler.mRunning.end() ? Work() : running->second.mWork;
  LogLimit(aNode,
           RecordCallEnd(aNode.mScheduler, aNow, aWork, Ending::eBusy, 0),
           "item failed",
           aOut);
  if (again) {
    // The request did not reach the target: the item waits again, and this does
    // not count as an attempt.
    CallTaskAgain(aNode, aNow, task, work);
    return;
  }
  if (task.mRaw) {
    LogItem(aNode, task, "broken", aReason, aOut);
    ReturnTask(aNode, aNow, aWork);
    return;
  }
  EndTask(aNode,
          aNow,
          aWork,
          ItemVerdict::eRetryable,
          ErrorLine(task, "target_failed", aReason));
}

} // namespace caraway
