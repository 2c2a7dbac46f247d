// Discovery: finds this node's target in the configuration, and the control
// replicas by asking the seed addresses.

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kQueryEvery = Millis(300);  // while no replica is known
constexpr Duration kRefreshEvery = Seconds(5); // afterwards

// Returns the latest record with the address of this node's target, or nullptr.
const Target*
FindTargetRecord(const Node& aNode)
{
  const Target* newest = nullptr;
  for (const auto& [id, target] : aNode.mSession.mView.mTargets) {
    if (target.mAddress == aNode.mSettings.mTargetAddress &&
        (newest == nullptr || IsLaterStart(target, *newest))) {
      newest = &target;
    }
  }
  return newest;
}

Announcement
AnnouncementOf(const Target& aTarget)
{
  Announcement announcement;
  announcement.mInfo.mId = aTarget.mId;
  announcement.mInfo.mKind = TargetKind::eEngine;
  announcement.mInfo.mModels = { ModelId(aTarget.mService.mValue) };
  announcement.mInfo.mServices = { aTarget.mService };
  announcement.mInfo.mCanResume = true;
  announcement.mUrl = "http://" + aTarget.mAddress;
  announcement.mStartId =
    aTarget.mId.mValue + "/" + std::to_string(aTarget.mStartedAt);
  return announcement;
}

// Sets how many calls may start per second, which depends on whether the target
// is cold now.
void
UpdateStartRate(Node& aNode, MonoTime aNow)
{
  StartPace& pace = aNode.mScheduler.mPace;
  pace.mPerSecond = GrantableStarts(aNode.mSettings.mColdTolerance,
                                    aNode.mRecord.mColdRate,
                                    aNode.mRecord.mSlots,
                                    aNow < aNode.mColdUntil);
}

void
StoreTargetRecord(Node& aNode, MonoTime aNow, const Target& aRecord)
{
  if (aNode.mRecord != aRecord && aRecord.mColdFor > Duration{}) {
    aNode.mColdUntil = aNow + aRecord.mColdFor;
  }
  if (aNode.mRecord.mStartedAt != aRecord.mStartedAt) {
    aNode.mPace = {};
    // A node that restarts beside a target that lives on floods nothing: the
    // target is warm.
    if (aNode.mSettings.mSlowStart && aNode.mRecord.mStartedAt != 0) {
      BeginSlowStart(aNode.mScheduler.mSlowStart);
    }
  }
  aNode.mRecord = aRecord;
}

} // namespace

bool
UsesDirectory(const Node& aNode)
{
  return !aNode.mSettings.mTargetAddress.empty();
}

void
UpdateTargetFromDirectory(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (!UsesDirectory(aNode)) {
    return;
  }
  NodeTarget& target = aNode.mTarget;
  const Revision revision = aNode.mSession.mView.mRevision;
  if (target.mPresent && aNode.mRecordRevision == revision) {
    target.mHeardAt = aNow;       // present as long as control keeps the record
    UpdateStartRate(aNode, aNow); // the cold time may have ended
    return;
  }
  aNode.mRecordRevision = revision;
  const Target* record = FindTargetRecord(aNode);
  if (record == nullptr) {
    if (target.mPresent) {
      OnTargetLost(aNode, aNow, aOut);
      ReturnAllItems(aNode, aNow, aOut);
    }
    return;
  }
  const Announcement announcement = AnnouncementOf(*record);
  const bool targetChanged =
    !target.mPresent || target.mAnnounced.mStartId != announcement.mStartId ||
    target.mAnnounced.mInfo != announcement.mInfo;
  if (targetChanged) {
    ReturnAllItems(aNode, aNow, aOut);
    aNode.mScheduler.mSettings.mFixedLimit = std::max(1U, record->mSlots);
    OnAnnouncement(aNode, aNow, announcement, aOut);
    // Entries report the slots that they hold (SlotsHeld), and there are no
    // other calls at this target.
    target.mForeignCallsEnded = true;
    aNode.mScheduler.mHeld = false;
  }
  target.mHeardAt = aNow;
  StoreTargetRecord(aNode, aNow, *record);
  UpdateStartRate(aNode, aNow);
  if (record->mDraining && !target.mLeaving) {
    OnTargetLeave(aNode, aNow, aOut);
  }
}

void
OnControlMap(Node& aNode, MonoTime aNow, const ControlMap& aMap)
{
  if (aMap.mReplicas.empty() || aMap.mReplicas == aNode.mSettings.mControl) {
    return;
  }
  const bool first = aNode.mSettings.mControl.empty();
  aNode.mSettings.mControl = aMap.mReplicas;
  if (first) {
    aNode.mSession.mRegisterAt = aNow;
    aNode.mSession.mFetchTimeout = aNow;
  }
}

void
QueryControlMap(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  const std::vector<PeerAddress>& seeds = aNode.mSettings.mSeeds;
  if (seeds.empty() || aNow < aNode.mQueryAt) {
    return;
  }
  const bool known = !aNode.mSettings.mControl.empty();
  aNode.mQueryAt = aNow + (known ? kRefreshEvery : kQueryEvery);
  aOut.emplace_back(
    SendMessage{ seeds[aNode.mNextSeed++ % seeds.size()], ControlQuery{} });
}

} // namespace caraway
