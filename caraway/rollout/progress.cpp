// Phases of a roll-out.

#include "caraway/rollout/progress.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

// From the preference for the new version to the end of new work at the old
// ones: the new targets' caches and limits grow meanwhile.
constexpr Duration kMovingTime = Millis(1500);
// Between the last report and the operator's next question.
constexpr Duration kReserve = Seconds(1);
// Least part of the time that the trial takes.
constexpr int64_t kTrialShareNumerator = 2;
constexpr int64_t kTrialShareDenominator = 5;
// Items and calls that crossed the change of phase have begun by then.
constexpr Duration kLeastDraining = Seconds(1);
// Targets of the version must offer this part of the slots of the old ones
// before the traffic moves.
constexpr uint64_t kSlotShareNumerator = 7;
constexpr uint64_t kSlotShareDenominator = 10;

Duration
TrialTime(const Rollout& aRollout, const RolloutStatus& aStatus)
{
  const Duration rest =
    kMovingTime + std::max(aStatus.mStreamTime, kLeastDraining) + kReserve;
  return std::max(aRollout.mDuration * kTrialShareNumerator /
                    kTrialShareDenominator,
                  aRollout.mDuration - rest);
}

// What is missing while there are not enough targets.
std::string
TargetShortage(const RolloutStatus& aStatus)
{
  return aStatus.mTrialSlots == 0
           ? "no target of the version takes work"
           : absl::StrCat("too few targets of the version: ",
                          aStatus.mTrialSlots,
                          " slots beside ",
                          aStatus.mOldSlots);
}

} // namespace

bool
HasEnoughTargets(const RolloutStatus& aStatus)
{
  return aStatus.mTrialSlots > 0 &&
         aStatus.mTrialSlots * kSlotShareDenominator >=
           aStatus.mOldSlots * kSlotShareNumerator;
}

std::optional<RolloutStep>
NextRolloutStep(const Rollout& aRollout,
                const RolloutStatus& aStatus,
                MonoTime aNow)
{
  if (!IsActive(aRollout)) {
    return std::nullopt;
  }
  const RolloutJudgement& judgement = aStatus.mJudgement;
  if (judgement.mVerdict == RolloutVerdict::eBad) {
    return RolloutStep{ RolloutPhase::eRolledBack, judgement.mReason };
  }
  const Duration inPhase = aNow - aRollout.mChangedAt;
  switch (aRollout.mPhase) {
    case RolloutPhase::eTrial:
      if (judgement.mVerdict == RolloutVerdict::eGood &&
          HasEnoughTargets(aStatus) &&
          inPhase >= TrialTime(aRollout, aStatus)) {
        return RolloutStep{ RolloutPhase::eMoving, judgement.mReason };
      }
      break;
    case RolloutPhase::eMoving:
      if (inPhase >= kMovingTime && HasEnoughTargets(aStatus)) {
        return RolloutStep{ RolloutPhase::eDraining, "the traffic has moved" };
      }
      break;
    case RolloutPhase::eDraining:
      if (!HasEnoughTargets(aStatus)) {
        // The old targets are still there and can help out again.
        return RolloutStep{ RolloutPhase::eMoving, TargetShortage(aStatus) };
      }
      if (inPhase >= kLeastDraining && aStatus.mAllReported &&
          aStatus.mCallsAtOld == 0) {
        return RolloutStep{ RolloutPhase::eCompleted,
                            "nothing runs at the old versions" };
      }
      break;
    case RolloutPhase::eCompleted:
    case RolloutPhase::eRolledBack:
      break;
  }
  return std::nullopt;
}

std::string
RolloutAlarm(const Rollout& aRollout,
             const RolloutStatus& aStatus,
             MonoTime aNow)
{
  const Duration inPhase = aNow - aRollout.mChangedAt;
  if (aRollout.mPhase == RolloutPhase::eTrial &&
      inPhase > TrialTime(aRollout, aStatus)) {
    return HasEnoughTargets(aStatus) ? aStatus.mJudgement.mReason
                                     : TargetShortage(aStatus);
  }
  if (IsActive(aRollout) && aNow - aRollout.mBegunAt > aRollout.mDuration) {
    if (!HasEnoughTargets(aStatus)) {
      return TargetShortage(aStatus);
    }
    return aStatus.mAllReported
             ? absl::StrCat(aStatus.mCallsAtOld, " calls at old versions")
             : "not all entries have reported since the last change";
  }
  return {};
}

} // namespace caraway
