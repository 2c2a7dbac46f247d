#pragma once
// A roll-out: the traffic of a service moves to targets of one software
// version, which run beside those of other versions.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/target.h"

namespace caraway {

enum class RolloutPhase : uint8_t
{
  eTrial,      // a bounded share of the requests goes to the version
  eMoving,     // the version is preferred, the old ones help out
  eDraining,   // the old versions finish what they have begun
  eCompleted,  // the old versions get nothing
  eRolledBack, // the version gets nothing
};

struct Rollout
{
  ServiceId mService;
  std::string mTo;
  // Versions that targets of the service had at the start, without mTo. Sorted.
  std::vector<std::string> mFrom;
  // Versions that the roll-out before left without work, and earlier ones of
  // which targets were there at the start. Sorted.
  std::vector<std::string> mWithdrawn;
  RolloutPhase mPhase = RolloutPhase::eTrial;
  uint64_t mNumber = 0; // log index of the order; tells roll-outs apart
  MonoTime mBegunAt;    // logical time of control
  MonoTime mChangedAt;  // of the last change of the phase, logical time
  Duration mDuration;   // stated by the operator: time to complete in

  bool operator==(const Rollout&) const = default;
};

inline bool
IsActive(const Rollout& aRollout)
{
  return aRollout.mPhase < RolloutPhase::eCompleted;
}

inline bool
IsTrialVersion(const Rollout& aRollout, const Target& aTarget)
{
  return aTarget.mService == aRollout.mService &&
         aTarget.mVersion == aRollout.mTo;
}

inline bool
IsOldVersion(const Rollout& aRollout, const Target& aTarget)
{
  return aTarget.mService == aRollout.mService &&
         std::binary_search(
           aRollout.mFrom.begin(), aRollout.mFrom.end(), aTarget.mVersion);
}

inline bool
IsWithdrawnVersion(const Rollout& aRollout, const std::string& aVersion)
{
  return std::binary_search(
    aRollout.mWithdrawn.begin(), aRollout.mWithdrawn.end(), aVersion);
}

// True if the target gets no new work in this phase. Streams that began at its
// version may still go on there.
inline bool
ExcludesNewWork(const Rollout& aRollout, const Target& aTarget)
{
  if (aTarget.mService == aRollout.mService &&
      IsWithdrawnVersion(aRollout, aTarget.mVersion)) {
    return true;
  }
  switch (aRollout.mPhase) {
    case RolloutPhase::eTrial:
    case RolloutPhase::eMoving:
      return false;
    case RolloutPhase::eDraining:
    case RolloutPhase::eCompleted:
      return IsOldVersion(aRollout, aTarget);
    case RolloutPhase::eRolledBack:
      return IsTrialVersion(aRollout, aTarget);
  }
  return false;
}

constexpr std::string_view
RolloutPhaseName(RolloutPhase aPhase)
{
  switch (aPhase) {
    case RolloutPhase::eTrial:
      return "trial";
    case RolloutPhase::eMoving:
      return "moving";
    case RolloutPhase::eDraining:
      return "draining";
    case RolloutPhase::eCompleted:
      return "completed";
    case RolloutPhase::eRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

} // namespace caraway
