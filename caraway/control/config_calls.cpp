// Handles calls of operators and targets that entries forward: serving plans,
// zones, targets and the retirement of replicas.

#include "absl/strings/str_cat.h"
#include "caraway/control/apply_targets.h"
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

// True if the report of an unlisted target has to be proposed. The changes of
// one that are proposed are bounded, whatever it reports.
bool
ProposesUnlisted(ControlStep& aStep, const Target& aTarget)
{
  Control& control = aStep.mControl;
  const UnlistedTargetKey key{ aTarget.mId, aTarget.mService };
  auto& watches = control.mLeadership.mUnlistedWatches;
  const auto held = control.mState.mUnlistedTargets.find(key);
  const bool known = held != control.mState.mUnlistedTargets.end();
  const bool changes = ChangesTargets(control.mState, aTarget);
  if (!known && !changes) {
    return false;
  }
  const auto [watch, made] = watches.try_emplace(key);
  watch->second.mHeardAt = aStep.mNow;
  const bool drains =
    known && aTarget.mDraining && !held->second.mTarget.mDraining;
  const bool due =
    aStep.mNow - watch->second.mProposedAt >= control.mSettings.mTargetSilence;
  if (!changes || !(made || drains || due)) {
    return false;
  }
  watch->second.mProposedAt = aStep.mNow;
  return true;
}

// True if the report changes anything.
bool
NeedsProposal(ControlStep& aStep, const ReportTargets& aReport)
{
  const ControlState& state = aStep.mControl.mState;
  bool needed = !aReport.mDeregistered.empty();
  for (const Target& target : aReport.mSeen) {
    const bool changes = IsUnlisted(state, target)
                           ? ProposesUnlisted(aStep, target)
                           : ChangesTargets(state, target);
    needed = needed || changes;
  }
  return needed;
}

void
RemoveSilentUnlisted(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  auto& watches = control.mLeadership.mUnlistedWatches;
  RemoveUnlistedTargets remove;
  for (const auto& [key, unlisted] : control.mState.mUnlistedTargets) {
    // A target without a watch counts as heard now.
    const auto [watch, made] = watches.try_emplace(key);
    if (made) {
      watch->second.mHeardAt = aStep.mNow;
    }
    if (aStep.mNow - watch->second.mHeardAt >=
        control.mSettings.mTargetSilence) {
      remove.mTargets.push_back({ key, unlisted.mTarget.mStartedAt });
      // Proposed again only after another silence of this length.
      watch->second.mHeardAt = aStep.mNow;
    }
  }
  std::erase_if(watches, [&](const auto& aEntry) {
    return aStep.mNow - aEntry.second.mHeardAt >=
             control.mSettings.mTargetSilence &&
           !control.mState.mUnlistedTargets.contains(aEntry.first);
  });
  if (!remove.mTargets.empty()) {
    (void)Propose(aStep, std::move(remove), {});
  }
}

// Records that an earlier version made of targets that no plan lists. A target
// that lives is kept as an unlisted one after its next report.
void
RemoveStrayRecords(ControlStep& aStep)
{
  constexpr Duration kInterval = Seconds(1);
  Control& control = aStep.mControl;
  if (aStep.mNow - control.mLeadership.mStraysProposedAt < kInterval) {
    return;
  }
  RemoveTargets remove;
  for (const auto& [id, target] : control.mState.mConfig.mView.mTargets) {
    if (IsStrayRecord(control.mState, target)) {
      remove.mTargets.push_back({ id, target.mStartedAt });
      Log(aStep,
          "remove_target",
          id.mValue,
          absl::StrCat("the configuration does not list its service ",
                       target.mService.mValue));
    }
  }
  if (!remove.mTargets.empty()) {
    control.mLeadership.mStraysProposedAt = aStep.mNow;
    (void)Propose(aStep, std::move(remove), {});
  }
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
  if (const auto* report = std::get_if<ReportTargets>(&aBody);
      report != nullptr && !NeedsProposal(aStep, *report)) {
    return CallDone{};
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
  RemoveStrayRecords(aStep);
  RemoveSilentUnlisted(aStep);
}

} // namespace caraway
