// Decides whether the node accepts new work, and names its state.

#include "caraway/node/node_internal.h"

namespace caraway {

bool
HasLease(const Node& aNode, MonoTime aNow)
{
  return aNode.mSettings.mServeWithoutLease ||
         (aNode.mSession.mLive && aNow < aNode.mSession.mLeaseEnd);
}

bool
IsDraining(const Node& aNode)
{
  return aNode.mStop != StopState::eServing || aNode.mTarget.mLeaving;
}

ErrorKind
RefusalReason(const Node& aNode, MonoTime aNow)
{
  if (IsDraining(aNode)) {
    return ErrorKind::eDraining;
  }
  if (!HasLease(aNode, aNow)) {
    return ErrorKind::eLeaseExpired;
  }
  const ConfigView& view = aNode.mSession.mView;
  if (!ZoneInService(view, aNode.mSettings.mZone) ||
      !TargetInService(view, aNode.mTarget.mAnnounced.mInfo.mId)) {
    return ErrorKind::eZoneOut;
  }
  return aNode.mTarget.mPresent ? ErrorKind::eNone : ErrorKind::eTargetFailed;
}

std::string_view
StateName(const Node& aNode, MonoTime aNow)
{
  if (IsDraining(aNode)) {
    const bool idle =
      aNode.mAttemptByWork.empty() && aNode.mBatch.mTasks.empty();
    return idle ? "drained" : "draining";
  }
  if (aNode.mSession.mEpoch.IsNone()) {
    return "registering";
  }
  switch (RefusalReason(aNode, aNow)) {
    case ErrorKind::eLeaseExpired:
      return "lease_expired";
    case ErrorKind::eZoneOut:
      return "out_of_service";
    case ErrorKind::eTargetFailed:
      return "target_missing";
    default:
      return aNode.mScheduler.mLimit.mRamping ? "cold" : "ready";
  }
}

uint32_t
RunningCalls(const Node& aNode)
{
  return static_cast<uint32_t>(aNode.mScheduler.mRunning.size());
}

uint32_t
QueuedCalls(const Node& aNode)
{
  return static_cast<uint32_t>(aNode.mScheduler.mUrgent.size());
}

} // namespace caraway
