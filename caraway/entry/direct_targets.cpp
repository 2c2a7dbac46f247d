// Which targets a direct request may be sent to, with or without a grant.

#include "caraway/entry/direct_internal.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

// The last grants of a node that has not answered for this long lie outside the
// present pace window: one kPaceWindow, plus a tenth of it for a reply in
// flight.
constexpr Duration kGrantsOutdatedAfter = Millis(1100);

} // namespace

const Member*
NodeOfTarget(const Entry& aEntry, const Target& aTarget)
{
  auto node = aEntry.mNodeByTarget.find(aTarget.mId);
  return node == aEntry.mNodeByTarget.end() ? nullptr
                                            : NodeMember(aEntry, node->second);
}

PlacementLoad&
LoadOfTarget(EntryStep& aStep, const Target& aTarget)
{
  PlacementLoad& load = aStep.mEntry.mPlacement[aTarget.mId];
  if (load.mStartedAt != aTarget.mStartedAt || load.mSeenAt.mMicros == 0) {
    PlacementLoad fresh;
    fresh.mOwn = load.mOwn;
    fresh.mUnguarded = load.mUnguarded;
    load = std::move(fresh);
    load.mStartedAt = aTarget.mStartedAt;
    load.mSeenAt = aStep.mNow;
  }
  return load;
}

namespace {

// True if the node beside the target may have granted starts within the last
// second.
bool
NodeMayHaveGranted(EntryStep& aStep, const Target& aTarget)
{
  return NodeOfTarget(aStep.mEntry, aTarget) != nullptr &&
         (LoadOfTarget(aStep, aTarget).mUnansweredSince == kNever ||
          aStep.mNow - LoadOfTarget(aStep, aTarget).mUnansweredSince <=
            kGrantsOutdatedAfter);
}

} // namespace

bool
MayCallWithoutGrant(EntryStep& aStep, const Target& aTarget)
{
  Entry& entry = aStep.mEntry;
  const auto& plan = entry.mConfig.mPlan;
  const PlanService* service =
    plan ? PlanServiceById(*plan, aTarget.mService) : nullptr;
  if (service == nullptr) {
    return false;
  }
  const double coldRate = service->mColdRate;
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  const double statedRate = load.mRate.mPerSecond;
  if (!service->mEngine && coldRate <= 0 && statedRate <= 0) {
    return true;
  }
  if (load.mRankTopology != entry.mTopologyVersion) {
    load.mRankTopology = entry.mTopologyVersion;
    load.mRank = RankAmongEntries(entry, aTarget.mId.mValue);
  }
  const uint32_t entries = EntriesKnown(entry);
  if (service->mEngine &&
      load.mUnguarded >= ShareOfRank(aTarget.mSlots, load.mRank, entries)) {
    return false;
  }
  StartPace& pace = load.mUnguardedPace;
  const double share =
    statedRate > 0 ? UnguardedRateOfRank(statedRate, load.mRank, entries) : 0;
  if (statedRate > 0 && share <= 0) {
    return false;
  }
  pace.mRateBurst = 1;
  if (pace.mStatedRate != share) {
    SetStatedRate(pace, aStep.mNow, share);
  }
  if (coldRate > 0) {
    if (NodeMayHaveGranted(aStep, aTarget)) {
      return false;
    }
    pace.mPerSecond =
      ShareOfRank(UnguardedStarts(entry.mSettings.mColdTolerance, coldRate),
                  load.mRank,
                  entries);
    if (pace.mPerSecond <= 0) {
      return false;
    }
  }
  return MayStart(pace, aStep.mNow, StartKind::eOnline);
}

bool
AcceptsRequest(const EntryStep& aStep,
               const DirectCall& aDirect,
               const Target& aTarget)
{
  return aTarget.mService == aDirect.mService &&
         AcceptsNewWork(aStep.mEntry, aTarget) &&
         MayContinueAt(aDirect, aTarget) &&
         RolloutAccepts(aStep, aDirect, aTarget);
}

bool
AcceptsNewWork(const Entry& aEntry, const Target& aTarget)
{
  return !aTarget.mDraining && ZoneInService(aEntry.mConfig, aTarget.mZone) &&
         TargetInService(aEntry.mConfig, aTarget.mId) &&
         !aEntry.mGoneTargets.contains({ aTarget.mId, aTarget.mStartedAt });
}

} // namespace caraway
