// What an entry knows of a target that it may call.

#include "caraway/entry/direct_internal.h"

namespace caraway {

const Member*
NodeBeside(const Entry& aEntry, const Target& aTarget)
{
  for (const auto& [instance, member] : aEntry.mConfig.mMembers) {
    if (member.mRole == MemberRole::eNode && !member.mDraining &&
        member.mTarget.mId == aTarget.mId) {
      return &member;
    }
  }
  return nullptr;
}

PlacementLoad&
LoadOfTarget(EntryStep& aStep, const Target& aTarget)
{
  PlacementLoad& load = aStep.mEntry.mPlacement[aTarget.mId];
  if (load.mStartedAt != aTarget.mStartedAt || load.mSeenAt.mMicros == 0) {
    const uint32_t own = load.mOwn;
    load = {};
    load.mOwn = own;
    load.mStartedAt = aTarget.mStartedAt;
    load.mSeenAt = aStep.mNow;
  }
  return load;
}

bool
TakesWork(const Entry& aEntry, const Target& aTarget)
{
  return !aTarget.mDraining && ZoneInService(aEntry.mConfig, aTarget.mZone) &&
         TargetInService(aEntry.mConfig, aTarget.mId) &&
         !aEntry.mGoneTargets.contains({ aTarget.mId, aTarget.mStartedAt });
}

} // namespace caraway
