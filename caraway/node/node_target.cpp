// Handles what the target reports about itself: announcements, load and
// leaving.

#include <algorithm>

#include "caraway/node/node_internal.h"
#include "caraway/node/target_json.h"

namespace caraway {

namespace {

constexpr Duration kLoadEvery = Seconds(1);

// Resets the state for a target that has (re)started or is new to this node.
// Foreign calls may still run at it, for example those that this node started
// before its own restart, so no call starts until the load has been polled.
void
ResetForNewTarget(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  LogLimit(aNode, RecordColdTarget(aNode.mScheduler), "target started", aOut);
  aNode.mScheduler.mLimit.mWarmValue = 0;
  aNode.mScheduler.mLimit.mTargetReportsCold = false;
  ForgetStatedRate(aNode, aNow);
  aNode.mScheduler.mForeign = 0;
  aNode.mScheduler.mHeld = true;
  aNode.mTarget.mForeignCallsEnded = false;
  aNode.mTarget.mOwnPeak = aNode.mTarget.mOwnPeakBefore = 0;
  aNode.mTarget.mLeaving = false;
  aNode.mDrainAckedAt = MonoTime{ 0 };
  if (!aNode.mTarget.mLoadCall.IsNone()) {
    CloseTargetCall(aNode, aNode.mTarget.mLoadCall, aOut);
    aNode.mTarget.mLoadCall = {};
  }
  aNode.mTarget.mLoadAt = aNow;
}

} // namespace

void
LogLimit(Node& aNode,
         LimitChange aChange,
         std::string_view aReason,
         NodeActions& aOut)
{
  if (aChange == LimitChange::eNone) {
    return;
  }
  if (aChange == LimitChange::eTurnedCold) {
    ++aNode.mCounters.mTurnedCold;
  }
  DecisionLog log;
  log.mLevel =
    aChange == LimitChange::eGrew ? LogLevel::eDebug : LogLevel::eInfo;
  log.mEvent = "limit";
  log.mChoice = std::string(LimitChangeName(aChange));
  log.mReason = std::string(aReason);
  log.mExtra = { { "limit", std::to_string(aNode.mScheduler.mLimit.mValue) },
                 { "running", std::to_string(RunningCalls(aNode)) } };
  aOut.emplace_back(std::move(log));
}

void
OnAnnouncement(Node& aNode,
               MonoTime aNow,
               const Announcement& aAnnouncement,
               NodeActions& aOut)
{
  NodeTarget& target = aNode.mTarget;
  const bool restarted =
    !target.mPresent || target.mAnnounced.mStartId != aAnnouncement.mStartId;
  const bool leaving =
    target.mLeaving && target.mAnnounced.mStartId == aAnnouncement.mStartId;
  const bool changed = target.mAnnounced.mInfo != aAnnouncement.mInfo;
  target.mAnnounced = aAnnouncement;
  target.mPresent = true;
  target.mHeardAt = aNow;
  if (restarted) {
    ResetForNewTarget(aNode, aNow, aOut);
    target.mLeaving = leaving;
  } else if (target.mForeignCallsEnded || target.mLoadCall.IsNone()) {
    aNode.mScheduler.mHeld =
      false; // reachable again after a refused connection
  }
  if ((restarted || changed) && aNode.mSession.mLive) {
    SendRenew(aNode, aNow, aOut);
  }
}

void
OnTargetLeave(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (aNode.mTarget.mLeaving || !aNode.mTarget.mPresent) {
    return;
  }
  aNode.mTarget.mLeaving = true;
  RefuseQueuedCalls(
    aNode, aNow, ErrorKind::eDraining, "the target is leaving", aOut);
  ReturnWaitingItems(aNode, aNow, aOut);
  if (aNode.mSession.mLive) {
    SendRenew(aNode, aNow, aOut);
  }
}

void
OnTargetLost(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  aNode.mTarget.mPresent = false;
  aNode.mScheduler.mHeld = true;
  LogLimit(aNode,
           RecordColdTarget(aNode.mScheduler),
           "target stopped announcing itself",
           aOut);
  RefuseQueuedCalls(aNode,
                    aNow,
                    ErrorKind::eTargetFailed,
                    "the target stopped announcing itself",
                    aOut);
  ReturnWaitingItems(aNode, aNow, aOut);
  if (aNode.mSession.mLive) {
    SendRenew(aNode, aNow, aOut);
  }
}

void
PollLoad(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeTarget& target = aNode.mTarget;
  target.mOwnPeak = std::max(target.mOwnPeak, RunningCalls(aNode));
  if (!target.mPresent || !target.mLoadCall.IsNone() || aNow < target.mLoadAt ||
      UsesDirectory(aNode)) {
    return;
  }
  target.mLoadAt = aNow + kLoadEvery;
  target.mLoadBody.clear();
  target.mLoadStatus = 0;
  StartTargetCall call;
  call.mMethod = "GET";
  call.mPath = "/load";
  call.mTimeout = Seconds(2);
  TargetCallInfo info;
  info.mUse = TargetUse::eLoad;
  target.mLoadCall = CallTarget(aNode, aNow, info, std::move(call), aOut);
}

void
OnLoadAnswer(Node& aNode, MonoTime, bool aComplete, NodeActions& aOut)
{
  NodeTarget& target = aNode.mTarget;
  target.mLoadCall = {};
  const auto load = ParseLoad(target.mLoadBody);
  if (!aComplete || target.mLoadStatus != 200 || !load.ok()) {
    // The target has no load reports, so foreign calls are unknown and count as
    // none. If it refuses connections, scheduling stays held until the next
    // announcement.
    aNode.mScheduler.mForeign = 0;
    if (aComplete) {
      aNode.mScheduler.mHeld = false;
    }
    return;
  }
  const uint32_t reported = load->mRunning + load->mWaiting;
  const uint32_t own =
    std::max({ target.mOwnPeak, target.mOwnPeakBefore, RunningCalls(aNode) });
  target.mOwnPeakBefore = target.mOwnPeak;
  target.mOwnPeak = RunningCalls(aNode);
  // Reports lag, so own calls are taken as the peak of the last two intervals.
  // Foreign calls can only decrease: new work reaches the target only through
  // this node.
  uint32_t foreign = reported > own ? reported - own : 0;
  if (target.mForeignCallsEnded) {
    foreign = 0;
  }
  target.mForeignCallsEnded = target.mForeignCallsEnded || foreign == 0;
  aNode.mScheduler.mForeign = foreign;
  aNode.mScheduler.mHeld = false;
  const bool turned =
    load->mCold && !aNode.mScheduler.mLimit.mTargetReportsCold;
  aNode.mScheduler.mLimit.mTargetReportsCold = load->mCold;
  if (turned) {
    LogLimit(
      aNode, RecordColdTarget(aNode.mScheduler), "target reports cold", aOut);
  }
}

} // namespace caraway
