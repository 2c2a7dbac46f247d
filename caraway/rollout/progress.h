#pragma once
// When a roll-out goes from one phase to the next.
//
// Load pattern: the whole traffic of a service moves while it runs. It moves as
// late as the operator's time allows, since a version that turns bad late has
// then met the fewest requests, and the old targets may be stopped only when
// nothing runs there.

#include <optional>
#include <string>

#include "caraway/config/rollout.h"
#include "caraway/rollout/verdict.h"

namespace caraway {

// What the leader knows of a roll-out at one moment.
struct RolloutStatus
{
  RolloutJudgement mJudgement;
  // Of targets that take work: of the version on trial, and of the old ones.
  uint64_t mTrialSlots = 0;
  uint64_t mOldSlots = 0;
  bool mAllReported = false; // every entry has reported since the last change
  uint64_t mCallsAtOld = 0;  // by these reports
  Duration mStreamTime;      // longest time that a call may take
};

struct RolloutStep
{
  RolloutPhase mNext = RolloutPhase::eTrial;
  std::string mReason;
};

// True if the targets of the version can take the service's traffic.
bool
HasEnoughTargets(const RolloutStatus& aStatus);

// The next phase, or nullopt while the present one goes on. aNow is logical
// time of control.
std::optional<RolloutStep>
NextRolloutStep(const Rollout& aRollout,
                const RolloutStatus& aStatus,
                MonoTime aNow);

// Why the roll-out cannot complete in its time; empty while it can.
std::string
RolloutAlarm(const Rollout& aRollout,
             const RolloutStatus& aStatus,
             MonoTime aNow);

} // namespace caraway
