// Applies orders and steps of roll-outs.

#include "caraway/control/apply_rollouts.h"

#include <set>

namespace caraway {

namespace {

// Fills in the versions that targets of the service have beside the new one.
// Those that the last roll-out left without work stay so.
void
SetVersionsBeside(const ConfigView& aView,
                  const Rollout* aLast,
                  Rollout& aRollout)
{
  std::set<std::string> from;
  std::set<std::string> withdrawn;
  for (const auto& [id, target] : aView.mTargets) {
    if (target.mService == aRollout.mService &&
        target.mVersion != aRollout.mTo) {
      const bool unused = aLast != nullptr && ExcludesNewWork(*aLast, target);
      (unused ? withdrawn : from).insert(target.mVersion);
    }
  }
  // Targets of these may be silent at the moment.
  if (aLast != nullptr && aLast->mPhase == RolloutPhase::eRolledBack) {
    withdrawn.insert(aLast->mTo);
  } else if (aLast != nullptr && aLast->mPhase == RolloutPhase::eCompleted) {
    withdrawn.insert(aLast->mFrom.begin(), aLast->mFrom.end());
  }
  withdrawn.erase(aRollout.mTo);
  aRollout.mFrom.assign(from.begin(), from.end());
  aRollout.mWithdrawn.assign(withdrawn.begin(), withdrawn.end());
}

void
SetPhase(ControlState& aState, Rollout aRollout, RolloutPhase aPhase)
{
  aRollout.mPhase = aPhase;
  aRollout.mChangedAt = aState.mLogical;
  AppendChange(aState.mConfig, SetRollout{ std::move(aRollout) });
}

} // namespace

CallReplyBody
ApplyBegin(ControlState& aState, LogIndex aIndex, const BeginRollout& aBegin)
{
  const ConfigView& view = aState.mConfig.mView;
  const Rollout* last = FindRollout(view, aBegin.mService);
  const bool resent =
    last != nullptr && last->mTo == aBegin.mTo &&
    (IsActive(*last) || aState.mLogical - last->mChangedAt < kRolloutResend);
  if (resent) {
    return CallDone{};
  }
  if (last != nullptr && IsActive(*last)) {
    return CallFailed{ ErrorKind::eConflict,
                       "a roll-out of the service to version " + last->mTo +
                         " is active; abort it first" };
  }
  if (!view.mPlan || PlanServiceById(*view.mPlan, aBegin.mService) == nullptr) {
    return CallFailed{ ErrorKind::eNotFound,
                       "the plan has no service " + aBegin.mService.mValue };
  }
  Rollout rollout;
  rollout.mService = aBegin.mService;
  rollout.mTo = aBegin.mTo;
  SetVersionsBeside(view, last, rollout);
  rollout.mNumber = aIndex.mValue;
  rollout.mBegunAt = rollout.mChangedAt = aState.mLogical;
  rollout.mDuration = aBegin.mDuration;
  AppendChange(aState.mConfig, SetRollout{ std::move(rollout) });
  return CallDone{};
}

CallReplyBody
ApplyAbort(ControlState& aState, const AbortRollout& aAbort)
{
  const Rollout* rollout = FindRollout(aState.mConfig.mView, aAbort.mService);
  if (rollout == nullptr) {
    return CallFailed{ ErrorKind::eNotFound,
                       "the service has had no roll-out" };
  }
  if (rollout->mPhase == RolloutPhase::eCompleted) {
    return CallFailed{ ErrorKind::eConflict,
                       "the roll-out is completed; begin one to the version "
                       "that the service is to go back to" };
  }
  if (IsActive(*rollout)) {
    SetPhase(aState, *rollout, RolloutPhase::eRolledBack);
  }
  return CallDone{};
}

void
ApplyAdvance(ControlState& aState, const AdvanceRollout& aAdvance)
{
  const Rollout* rollout = FindRollout(aState.mConfig.mView, aAdvance.mService);
  if (rollout != nullptr && rollout->mNumber == aAdvance.mNumber &&
      rollout->mPhase == aAdvance.mFrom) {
    SetPhase(aState, *rollout, aAdvance.mTo);
  }
}

} // namespace caraway
