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

Duration
TrialTime(const Rollout& aRollout, const RolloutStatus& aStatus)
{
  const Duration rest = kMovingTime + aStatus.mStreamTime + kReserve;
  return std::max(aRollout.mDuration * kTrialShareNumerator /
                    kTrialShareDenominator,
                  aRollout.mDuration - rest);
}

} // namespace

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
      if (judgement.mVerdict == RolloutVerdict::eGood && aStatus.mHasTargets &&
          inPhase >= TrialTime(aRollout, aStatus)) {
        return RolloutStep{ RolloutPhase::eMoving, judgement.mReason };
      }
      break;
    case RolloutPhase::eMoving:
      if (inPhase >= kMovingTime && aStatus.mHasTargets) {
        return RolloutStep{ RolloutPhase::eDraining, "the traffic has moved" };
      }
      break;
    case RolloutPhase::eDraining:
      if (inPhase >= kLeastDraining && aStatus.mAllReported &&
          aStatus.mCallsAtOld == 0 && aStatus.mHasTargets) {
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
    return aStatus.mHasTargets ? aStatus.mJudgement.mReason
                               : "no target of the version takes work";
  }
  if (IsActive(aRollout) && aNow - aRollout.mBegunAt > aRollout.mDuration) {
    return aStatus.mAllReported
             ? absl::StrCat(aStatus.mCallsAtOld, " calls at old versions")
             : "not all entries have reported since the last change";
  }
  return {};
}

} // namespace caraway
