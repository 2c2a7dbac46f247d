// Judges targets by the configuration.

#include "caraway/config/target_use.h"

namespace caraway {

bool
TakesWork(const ConfigView& aView, const Target& aTarget)
{
  return !aTarget.mDraining && ZoneInService(aView, aTarget.mZone) &&
         TargetInService(aView, aTarget.mId);
}

bool
IsOutOfUse(const ConfigView& aView, const Target& aTarget)
{
  const Rollout* rollout = FindRollout(aView, aTarget.mService);
  return rollout != nullptr && ExcludesNewWork(*rollout, aTarget);
}

} // namespace caraway
