// What direct requests hold at nodes: lost connections, load reports, and the
// slots that this entry holds.

#include <map>
#include <set>
#include <vector>

#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/start_times.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

// After more losses of all requested nodes, a request waits kHedgeDelay before
// it requests slots again.
constexpr uint32_t kMaxNodeLossRounds = 3;
constexpr Duration kDirectWatchInterval = Seconds(4);
constexpr Duration kSlotsHeldInterval = Seconds(1);

} // namespace

void
RecordNodeRate(EntryStep& aStep,
               const Target& aTarget,
               const std::optional<HeardRate>& aRate,
               Duration aWait)
{
  LoadOfTarget(aStep, aTarget).mNextStartAt = aStep.mNow + aWait;
  if (aRate) {
    RecordRateNotice(aStep, aTarget.mId, *aRate, "its node");
  }
}

void
DirectPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  Entry& entry = aStep.mEntry;
  std::vector<uint64_t> waiting;
  std::set<TargetId> lost;
  for (auto& [serial, request] : entry.mRequests) {
    if (request.mPhase != RequestPhase::eDirect) {
      continue;
    }
    for (DirectAttempt& attempt : request.mDirect.mAttempts) {
      if (attempt.mSlotNode == aPeer) {
        attempt.mSlotNode = {};
      }
    }
    if (const PendingSlotRequest* slotRequest =
          FindSlotRequest(request, aPeer)) {
      waiting.push_back(serial);
      lost.insert(slotRequest->mTarget);
    }
  }
  for (const TargetId& target : lost) {
    auto load = entry.mPlacement.find(target);
    if (load != entry.mPlacement.end()) {
      RecordPlacementFailure(load->second, aStep.mNow);
    }
  }
  for (const uint64_t serial : waiting) {
    CallerRequest& request = entry.mRequests.at(serial);
    PendingSlotRequest* slotRequest = FindSlotRequest(request, aPeer);
    if (slotRequest == nullptr || request.mPhase != RequestPhase::eDirect) {
      continue;
    }
    slotRequest->mState = SlotRequestState::eRefused;
    if (!AllRefused(request.mDirect)) {
      continue;
    }
    CancelSlotRequests(aStep, request);
    if (++request.mDirect.mNodeLossRounds <= kMaxNodeLossRounds) {
      StartDirect(aStep, request);
    } else {
      // Without a pause, nodes that refuse connections would be retried in a
      // tight loop.
      request.mDirect.mCheckAt = aStep.mNow + kHedgeDelay;
      ScheduleRequest(aStep, request);
    }
  }
}

void
RecordDirectLoad(EntryStep& aStep, const LoadReport& aReport)
{
  Entry& entry = aStep.mEntry;
  const Member* node = NodeMember(entry, aReport.mNode);
  if (node == nullptr || node->mEpoch != aReport.mNodeEpoch) {
    return;
  }
  auto target = entry.mConfig.mTargets.find(node->mTarget.mId);
  if (target != entry.mConfig.mTargets.end()) {
    LoadOfTarget(aStep, target->second).mUnansweredSince = kNever;
    RecordLoadReport(LoadOfTarget(aStep, target->second),
                     aStep.mNow,
                     aReport.mRunning - aReport.mBatch + aReport.mQueued,
                     aReport.mBatch,
                     aReport.mLimit,
                     aReport.mQueued);
    RecordNodeRate(aStep, target->second, aReport.mRate, aReport.mRateWait);
    LoadOfTarget(aStep, target->second).mNodePace = aReport.mPace;
  }
}

void
TickDirectNodes(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (entry.mConfig.mTargets.empty() || aStep.mNow < entry.mNextSlotsHeld) {
    return;
  }
  entry.mNextSlotsHeld = aStep.mNow + kSlotsHeldInterval;
  const bool watch = aStep.mNow >= entry.mNextDirectWatch;
  if (watch) {
    entry.mNextDirectWatch = aStep.mNow + kDirectWatchInterval;
  }
  std::map<PeerAddress, SlotsHeld> held;
  for (const auto& [serial, request] : entry.mRequests) {
    for (const DirectAttempt& attempt : request.mDirect.mAttempts) {
      if (!attempt.mEnded && !attempt.mSlotNode.Empty()) {
        held[attempt.mSlotNode].mRequests.push_back(request.mId);
      }
    }
  }
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    const Member* node = NodeOfTarget(entry, target);
    if (node == nullptr) {
      continue;
    }
    auto slots = held.find(node->mAddress);
    if (slots != held.end()) {
      Send(aStep, node->mAddress, std::move(slots->second));
    }
    if (watch) {
      Send(aStep, node->mAddress, Watch{ entry.mSettings.mAddress });
    }
  }
  std::erase_if(entry.mPlacement, [&](const auto& aLoad) {
    return aLoad.second.mOwn == 0 &&
           !entry.mConfig.mTargets.contains(aLoad.first);
  });
  ForgetStartTimes(entry);
}

MonoTime
DirectWakeup(const Entry& aEntry)
{
  return aEntry.mConfig.mTargets.empty() ? kNever : aEntry.mNextSlotsHeld;
}

} // namespace caraway
