// What an entry knows of a target that it may call.

#include "caraway/entry/direct_internal.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

// A node that has not answered for this long grants nothing that counts within
// the present second: its last grants are older. A kPaceWindow, and a tenth of
// it for an answer on its way.
constexpr Duration kUnheardBound = Millis(1100);

} // namespace

const Member*
NodeBeside(const Entry& aEntry, const Target& aTarget)
{
  auto node = aEntry.mNodesBeside.find(aTarget.mId);
  return node == aEntry.mNodesBeside.end() ? nullptr
                                           : NodeOf(aEntry, node->second);
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

// This entry's place among all entries in the order for this target.
uint32_t
RankFor(const Entry& aEntry, const TargetId& aTarget)
{
  const InstanceId& self = aEntry.mSettings.mInstance;
  const uint64_t own = RendezvousScore(self.mValue, aTarget.mValue);
  uint32_t rank = 0;
  for (const auto& [id, member] : aEntry.mConfig.mMembers) {
    if (member.mRole == MemberRole::eEntry && id != self &&
        RendezvousScore(id.mValue, aTarget.mValue) > own) {
      ++rank;
    }
  }
  return rank;
}

// True while the node beside the target can still have granted starts in the
// last second.
bool
NodeMayHaveGranted(EntryStep& aStep, const Target& aTarget)
{
  return NodeBeside(aStep.mEntry, aTarget) != nullptr &&
         (LoadOfTarget(aStep, aTarget).mUnansweredSince == kNever ||
          aStep.mNow - LoadOfTarget(aStep, aTarget).mUnansweredSince <=
            kUnheardBound);
}

} // namespace

bool
MayCallUnguarded(EntryStep& aStep, const Target& aTarget)
{
  Entry& entry = aStep.mEntry;
  const auto& plan = entry.mConfig.mPlan;
  const PlanService* service =
    plan ? PlanServiceById(*plan, aTarget.mService) : nullptr;
  if (service == nullptr) {
    return false;
  }
  const double rate = service->mColdRate;
  if (!service->mEngine && rate <= 0) {
    return true;
  }
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  if (load.mRankTopology != entry.mTopology) {
    load.mRankTopology = entry.mTopology;
    load.mRank = RankFor(entry, aTarget.mId);
  }
  const uint32_t entries = EntriesKnown(entry);
  if (service->mEngine &&
      load.mUnguarded >= ShareOfRank(aTarget.mSlots, load.mRank, entries)) {
    return false;
  }
  if (rate <= 0) {
    return true;
  }
  if (NodeMayHaveGranted(aStep, aTarget)) {
    return false;
  }
  load.mUnguardedPace.mPerSecond = ShareOfRank(
    UnguardedStarts(entry.mSettings.mColdTolerance, rate), load.mRank, entries);
  return load.mUnguardedPace.mPerSecond > 0 &&
         MayStart(load.mUnguardedPace, aStep.mNow, StartKind::eOnline);
}

bool
TakesWork(const Entry& aEntry, const Target& aTarget)
{
  return !aTarget.mDraining && ZoneInService(aEntry.mConfig, aTarget.mZone) &&
         TargetInService(aEntry.mConfig, aTarget.mId) &&
         !aEntry.mGoneTargets.contains({ aTarget.mId, aTarget.mStartedAt });
}

} // namespace caraway
