// Handles calls of operators and targets that entries forward: serving plans,
// zones, targets and the retirement of replicas.

#include "absl/strings/str_cat.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

CallFailed
NoSuchInstance(const InstanceId& aInstance)
{
  return { ErrorKind::eNotFound,
           absl::StrCat("no control replica runs on ",
                        aInstance.mValue,
                        "; check the name of the instance") };
}

CallReplyBody
DescribePlan(const ControlStep& aStep)
{
  const auto& plan = aStep.mControl.mState.mConfig.mView.mPlan;
  return plan ? PlanReply{ plan->mVersion, plan->mSource } : PlanReply{};
}

CallReplyBody
RetirementStatus(const ControlStep& aStep, const InstanceId& aInstance)
{
  const Control& control = aStep.mControl;
  if (!control.mState.mRetiring.contains(aInstance)) {
    return NoSuchInstance(aInstance);
  }
  return RetirementReply{ ReplicaOfInstance(control, aInstance).mPresence ==
                          Presence::eAbsent };
}

// Returns the reply, or nullopt if the retirement must be proposed.
std::optional<CallReplyBody>
AnswerRetirement(const ControlStep& aStep, const InstanceId& aInstance)
{
  const Control& control = aStep.mControl;
  if (control.mState.mRetiring.contains(aInstance)) {
    return CallDone{};
  }
  switch (ReplicaOfInstance(control, aInstance).mPresence) {
    case Presence::eAbsent:
      return NoSuchInstance(aInstance);
    case Presence::eUnknown:
      return CallFailed{ ErrorKind::eUnavailable,
                         "not every control replica has told its instance to "
                         "the new leader yet; try again" };
    case Presence::ePresent:
      break;
  }
  if (!MayRetireInstance(aStep, aInstance)) {
    return CallFailed{ ErrorKind::eConflict,
                       "too few replicas would remain; add one first" };
  }
  return std::nullopt;
}

} // namespace

std::optional<CallReplyBody>
AnswerConfigCall(ControlStep& aStep, const CallBody& aBody)
{
  const ConfigView& view = aStep.mControl.mState.mConfig.mView;
  if (std::holds_alternative<ReadPlan>(aBody)) {
    return DescribePlan(aStep);
  }
  if (const auto* describe = std::get_if<DescribeRetirement>(&aBody)) {
    return RetirementStatus(aStep, describe->mInstance);
  }
  if (const auto* describe = std::get_if<DescribeRollout>(&aBody)) {
    const Rollout* rollout = FindRollout(view, describe->mService);
    return rollout != nullptr
             ? CallReplyBody(RolloutReply{ *rollout })
             : CallReplyBody(CallFailed{ ErrorKind::eNotFound,
                                         "the service has had no roll-out" });
  }
  if (const auto* retire = std::get_if<RetireReplica>(&aBody)) {
    return AnswerRetirement(aStep, retire->mInstance);
  }
  if (const auto* replace = std::get_if<ReplacePlan>(&aBody)) {
    if (view.mPlan && replace->mPlan.mVersion <= view.mPlan->mVersion) {
      return CallDone{};
    }
    if (absl::Status status = CheckPlan(replace->mPlan); !status.ok()) {
      return CallFailed{ ErrorKind::eInvalidArgument,
                         std::string(status.message()) };
    }
  }
  return std::nullopt;
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress&,
              const TargetsHeard& aMessage)
{
  if (!MayServe(aStep)) {
    return;
  }
  auto& heard = aStep.mControl.mLeadership.mTargetHeardAt;
  for (const TargetId& target : aMessage.mTargets) {
    heard[target] = aStep.mNow;
  }
}

void
RemoveSilentTargets(ControlStep& aStep)
{
  const Control& control = aStep.mControl;
  auto& heard = aStep.mControl.mLeadership.mTargetHeardAt;
  RemoveTargets remove;
  for (const auto& [id, target] : control.mState.mConfig.mView.mTargets) {
    // A target without an entry in the map counts as heard now.
    const MonoTime last = heard.try_emplace(id, aStep.mNow).first->second;
    if (aStep.mNow - last >= control.mSettings.mTargetSilence) {
      remove.mTargets.push_back({ id, target.mStartedAt });
      // Proposed again only after another silence of this length.
      heard[id] = aStep.mNow;
      Log(aStep,
          "remove_target",
          id.mValue,
          absl::StrCat("no heartbeat for ",
                       control.mSettings.mTargetSilence.Millis(),
                       " ms"));
    }
  }
  std::erase_if(heard, [&](const auto& aHeard) {
    return !control.mState.mConfig.mView.mTargets.contains(aHeard.first);
  });
  if (!remove.mTargets.empty()) {
    (void)Propose(aStep, std::move(remove), {});
  }
}

} // namespace caraway
